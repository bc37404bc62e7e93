package io.saltflow.statestore;

import io.saltflow.kv.Pipeline;
import io.saltflow.kv.Reply;
import io.saltflow.kv.StateCore;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.Loop;
import io.saltflow.transport.RequestTarget;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The state service over HTTP: requests to the core, and watches that wait. After each request the
 * shell is told that something may be to be written down.
 */
public final class StateFront extends Routine {
  private static final Span LEASES_EVERY = Span.millis(50);
  private static final long MOST_HOLD_MS = 60_000;
  private static final int MOST_WATCHES = 1000;

  private record Watch(String prefix, long after, Time until, Consumer<HttpReply> answer) {}

  private final Loop loop;
  private final StateCore core;
  private final Runnable pump;
  private final List<Watch> watches = new ArrayList<>();

  /**
   * @param pump called whenever the core may have something to be written down
   */
  public StateFront(Routine parent, Loop loop, StateCore core, Runnable pump) {
    super(parent);
    this.loop = loop;
    this.core = core;
    this.pump = pump;
    loop.every(
        LEASES_EVERY,
        this,
        () -> {
          core.expire(loop.now());
          pump.run();
          tellWatches();
        });
  }

  /** Whether the path belongs to the state service. */
  public static boolean serves(String target) {
    return target.startsWith(Wire.PATH_KV)
        || target.startsWith(Wire.PATH_TXN)
        || target.startsWith(Wire.PATH_LEASES)
        || target.startsWith(Wire.PATH_WATCH);
  }

  /** Answers a request, at once or once it is durable. */
  public void handle(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    Consumer<Reply> told = r -> answer.accept(http(r));
    try {
      ask(method, RequestTarget.of(target), body, answer, told);
    } catch (BadMessage | NumberFormatException e) {
      told.accept(Reply.malformed(e.getMessage()));
    }
    pump.run();
    tellWatches();
  }

  private static HttpReply http(Reply r) {
    if (r == Reply.NONE) {
      return HttpReply.NONE;
    }
    return r.body() == null
        ? HttpReply.empty(r.status())
        : HttpReply.of(r.status(), MsgPack.encode(r.body()));
  }

  private void ask(
      String method, RequestTarget t, byte[] body, Consumer<HttpReply> answer, Consumer<Reply> told)
      throws BadMessage {
    Time now = loop.now();
    core.expire(now);
    boolean transaction = t.is(method, "POST", Wire.PATH_TXN);
    Body txn = transaction ? MsgPack.decode(body) : null;
    Reply refusal = core.refusal(transaction ? Pipeline.writeCount(txn) : 0, now);
    if (refusal != null) {
      told.accept(refusal);
    } else if (transaction) {
      core.commit(txn, told);
    } else if (t.is(method, "GET", Wire.PATH_KV)) {
      told.accept(
          core.store()
              .list(t.query(Wire.PREFIX, ""), t.query(Wire.AFTER, ""), t.number(Wire.PAGE, 1000)));
    } else if (method.equals("GET") && t.path().startsWith(Wire.PATH_KV + "/")) {
      told.accept(core.store().get(t.path().substring(Wire.PATH_KV.length() + 1)));
    } else if (t.is(method, "GET", Wire.PATH_WATCH)) {
      watch(t, now, answer, told);
    } else if (t.is(method, "POST", Wire.PATH_LEASES)) {
      core.grant(MsgPack.decode(body), told);
    } else if (t.path().startsWith(Wire.PATH_LEASES + "/")) {
      lease(method, t.path().substring(Wire.PATH_LEASES.length() + 1), now, told);
    } else {
      told.accept(Reply.malformed("no such request"));
    }
  }

  private void lease(String method, String rest, Time now, Consumer<Reply> told) {
    if (method.equals("POST") && rest.endsWith(Wire.END_RENEW)) {
      String id = rest.substring(0, rest.length() - Wire.END_RENEW.length());
      core.extend(Long.parseLong(id), now, told);
    } else if (method.equals("DELETE")) {
      core.release(Long.parseLong(rest), told);
    } else {
      told.accept(Reply.malformed("no such request"));
    }
  }

  private void watch(RequestTarget t, Time now, Consumer<HttpReply> answer, Consumer<Reply> told) {
    long after = Long.parseLong(t.query(Wire.AFTER, "0"));
    long hold = Long.parseLong(t.query(Wire.HOLD_MS, "0"));
    if (hold < 0 || hold > MOST_HOLD_MS) {
      told.accept(Reply.malformed(Wire.HOLD_MS + ": out of range"));
      return;
    }
    Reply at = core.store().changes(t.query(Wire.PREFIX, ""), after, hold == 0);
    if (at != null) {
      told.accept(at);
    } else if (watches.size() >= MOST_WATCHES) {
      told.accept(Reply.of(429));
    } else {
      watches.add(new Watch(t.query(Wire.PREFIX, ""), after, now.plus(Span.millis(hold)), answer));
    }
  }

  /** Whoever watches here is told to ask elsewhere. */
  void refuseWatches() {
    List<Watch> all = List.copyOf(watches);
    watches.clear();
    all.forEach(w -> w.answer.accept(HttpReply.empty(503)));
  }

  /** During an outage open watches stay open. */
  public void tellWatches() {
    if (core.down()) {
      return;
    }
    Time now = loop.now();
    for (Watch w : new ArrayList<>(watches)) {
      Reply reply = core.store().changes(w.prefix, w.after, now.after(w.until));
      if (reply != null) {
        watches.remove(w);
        w.answer.accept(http(reply));
      }
    }
  }
}
