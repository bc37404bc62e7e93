package io.saltflow.standin;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The state service over HTTP: requests to the store, and watches that wait. */
public final class StateFront extends Routine {
  private static final Span LEASES_EVERY = Span.millis(50);
  private static final long MOST_HOLD_MS = 60_000;
  private static final int MOST_WATCHES = 1000;

  private record Watch(String prefix, long after, Time until, Consumer<HttpReply> answer) {}

  private final Loop loop;
  private final StateStore store;
  private final List<Watch> watches = new ArrayList<>();

  public StateFront(Routine parent, Loop loop, StateStore store) {
    super(parent);
    this.loop = loop;
    this.store = store;
    loop.every(
        LEASES_EVERY,
        this,
        () -> {
          store.expire(loop.now());
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

  public void handle(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    try {
      Target t = Target.of(target);
      StateStore.Reply reply = reply(method, t, body, answer);
      if (reply != null) {
        answer.accept(http(reply));
        tellWatches();
      }
    } catch (BadMessage | NumberFormatException e) {
      answer.accept(http(StateStore.Reply.malformed(e.getMessage())));
    }
  }

  private static HttpReply http(StateStore.Reply r) {
    return r.body() == null
        ? HttpReply.empty(r.status())
        : HttpReply.of(r.status(), MsgPack.encode(r.body()));
  }

  /** Null: a watch, which is answered later. */
  private StateStore.Reply reply(String method, Target t, byte[] body, Consumer<HttpReply> answer)
      throws BadMessage {
    Time now = loop.now();
    store.expire(now);
    boolean transaction = t.is(method, "POST", Wire.PATH_TXN);
    Body txn = transaction ? MsgPack.decode(body) : null;
    StateStore.Reply refusal = store.refusal(transaction ? StateStore.writeCount(txn) : 0, now);
    if (refusal != null) {
      return refusal;
    }
    if (transaction) {
      return store.commit(txn);
    }
    if (t.is(method, "GET", Wire.PATH_KV)) {
      return store.list(
          t.query(Wire.PREFIX, ""), t.query(Wire.AFTER, ""), t.number(Wire.PAGE, 1000));
    }
    if (method.equals("GET") && t.path().startsWith(Wire.PATH_KV + "/")) {
      return store.get(t.path().substring(Wire.PATH_KV.length() + 1));
    }
    if (t.is(method, "GET", Wire.PATH_WATCH)) {
      return watch(t, now, answer);
    }
    if (t.is(method, "POST", Wire.PATH_LEASES)) {
      return store.grant(MsgPack.decode(body), now);
    }
    if (t.path().startsWith(Wire.PATH_LEASES + "/")) {
      String rest = t.path().substring(Wire.PATH_LEASES.length() + 1);
      if (method.equals("POST") && rest.endsWith(Wire.END_RENEW)) {
        String id = rest.substring(0, rest.length() - Wire.END_RENEW.length());
        return store.extend(Long.parseLong(id), now);
      }
      if (method.equals("DELETE")) {
        return store.release(Long.parseLong(rest));
      }
    }
    return StateStore.Reply.malformed("no such request");
  }

  private StateStore.Reply watch(Target t, Time now, Consumer<HttpReply> answer) {
    long after = Long.parseLong(t.query(Wire.AFTER, "0"));
    long hold = Long.parseLong(t.query(Wire.HOLD_MS, "0"));
    if (hold < 0 || hold > MOST_HOLD_MS) {
      return StateStore.Reply.malformed(Wire.HOLD_MS + ": out of range");
    }
    StateStore.Reply at = store.changes(t.query(Wire.PREFIX, ""), after, hold == 0);
    if (at != null) {
      return at;
    }
    if (watches.size() >= MOST_WATCHES) {
      return StateStore.Reply.of(429);
    }
    watches.add(new Watch(t.query(Wire.PREFIX, ""), after, now.plus(Span.millis(hold)), answer));
    return null;
  }

  /** During an outage open watches stay open. */
  private void tellWatches() {
    if (store.down()) {
      return;
    }
    Time now = loop.now();
    for (Watch w : new ArrayList<>(watches)) {
      StateStore.Reply reply = store.changes(w.prefix, w.after, now.after(w.until));
      if (reply != null) {
        watches.remove(w);
        w.answer.accept(http(reply));
      }
    }
  }
}
