package io.saltflow.kvserver;

import io.saltflow.kv.CommitPipeline;
import io.saltflow.kv.KeyValueCore;
import io.saltflow.kv.Reply;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.RequestTarget;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP interface of the key-value store. Passes requests to the core and holds watches until
 * there are changes or they time out. Runs on the event loop's thread.
 */
public final class KeyValueServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueServer.class);
  private static final TimeSpan LEASE_CHECK_INTERVAL = TimeSpan.millis(50);
  private static final long MAX_WATCH_TIMEOUT_MS = 60_000;
  private static final int MAX_WATCHES = 1000;

  /** A watch for changes under a key prefix after a revision. */
  private record Watch(
      String prefix, long after, MonotonicTime deadline, Consumer<HttpResponse> replyTo) {}

  private final EventLoop loop;
  private final KeyValueCore core;
  private final Runnable writeNext;
  private final List<Watch> watches = new ArrayList<>();
  private TimeSpan pausedTime;

  /**
   * Creates the interface.
   *
   * @param writeNext called whenever the core may have write batches to persist
   */
  public KeyValueServer(Routine parent, EventLoop loop, KeyValueCore core, Runnable writeNext) {
    super(parent);
    this.loop = loop;
    this.core = core;
    this.writeNext = writeNext;
    pausedTime = loop.pausedTime();
    loop.scheduleRepeating(
        LEASE_CHECK_INTERVAL,
        this,
        () -> {
          expireLeases(loop.now());
          writeNext.run();
          notifyWatches();
        });
  }

  /**
   * Revokes the expired leases. If the process stood still since the last call, it renews all of
   * them instead: requests that arrived meanwhile have not been read yet.
   */
  private void expireLeases(MonotonicTime now) {
    TimeSpan paused = loop.pausedTime();
    if (paused.equals(pausedTime)) {
      core.expireLeases(now);
      return;
    }
    double stoodStillS = paused.minus(pausedTime).toSeconds();
    LOG.warn("process stood still for {} s, all leases are renewed", stoodStillS);
    pausedTime = paused;
    core.onProcessPaused(loop.now());
  }

  /** Returns whether a request target belongs to this interface. */
  public static boolean serves(String target) {
    return target.startsWith(Wire.PATH_KV)
        || target.startsWith(Wire.PATH_TRANSACTION)
        || target.startsWith(Wire.PATH_LEASES)
        || target.startsWith(Wire.PATH_WATCH);
  }

  /**
   * Handles a request.
   *
   * @param httpReplyTo receives the response, either immediately or once the writes that it depends
   *     on are durable
   */
  public void handle(
      String method, String target, byte[] body, Consumer<HttpResponse> httpReplyTo) {
    Consumer<Reply> replyTo = reply -> httpReplyTo.accept(toHttp(reply));
    try {
      dispatch(method, RequestTarget.of(target), body, httpReplyTo, replyTo);
    } catch (InvalidMessageException | NumberFormatException exception) {
      replyTo.accept(Reply.malformed(exception.getMessage()));
    }
    writeNext.run();
    notifyWatches();
  }

  private static HttpResponse toHttp(Reply reply) {
    if (reply == Reply.NONE) {
      return HttpResponse.NONE;
    }
    return reply.body() == null
        ? HttpResponse.empty(reply.status())
        : HttpResponse.of(reply.status(), MessagePackCodec.encode(reply.body()));
  }

  private void dispatch(
      String method,
      RequestTarget request,
      byte[] body,
      Consumer<HttpResponse> httpReplyTo,
      Consumer<Reply> replyTo)
      throws InvalidMessageException {
    MonotonicTime now = loop.now();
    expireLeases(now);
    boolean isTransaction = request.is(method, "POST", Wire.PATH_TRANSACTION);
    MessageBody transaction = isTransaction ? MessagePackCodec.decode(body) : null;
    Reply rejection =
        core.rejection(isTransaction ? CommitPipeline.writeCount(transaction) : 0, now);
    if (rejection != null) {
      replyTo.accept(rejection);
    } else if (isTransaction) {
      core.commit(transaction, replyTo);
    } else if (request.is(method, "GET", Wire.PATH_KV)) {
      replyTo.accept(
          core.store()
              .list(
                  request.query(Wire.PREFIX, ""),
                  request.query(Wire.AFTER, ""),
                  request.number(Wire.PAGE, 1000)));
    } else if (method.equals("GET") && request.path().startsWith(Wire.PATH_KV + "/")) {
      replyTo.accept(core.store().get(request.path().substring(Wire.PATH_KV.length() + 1)));
    } else if (request.is(method, "GET", Wire.PATH_WATCH)) {
      handleWatch(request, now, httpReplyTo, replyTo);
    } else if (request.is(method, "POST", Wire.PATH_LEASES)) {
      core.grantLease(MessagePackCodec.decode(body), replyTo);
    } else if (request.path().startsWith(Wire.PATH_LEASES + "/")) {
      handleLease(method, request.path().substring(Wire.PATH_LEASES.length() + 1), now, replyTo);
    } else {
      replyTo.accept(Reply.malformed("no such request"));
    }
  }

  private void handleLease(
      String method, String idAndAction, MonotonicTime now, Consumer<Reply> replyTo) {
    if (method.equals("POST") && idAndAction.endsWith(Wire.RENEW_SUFFIX)) {
      String id = idAndAction.substring(0, idAndAction.length() - Wire.RENEW_SUFFIX.length());
      core.renewLease(Long.parseLong(id), now, replyTo);
    } else if (method.equals("DELETE")) {
      core.revokeLease(Long.parseLong(idAndAction), replyTo);
    } else {
      replyTo.accept(Reply.malformed("no such request"));
    }
  }

  private void handleWatch(
      RequestTarget request,
      MonotonicTime now,
      Consumer<HttpResponse> httpReplyTo,
      Consumer<Reply> replyTo) {
    long after = Long.parseLong(request.query(Wire.AFTER, "0"));
    long timeoutMs = Long.parseLong(request.query(Wire.WATCH_TIMEOUT_MS, "0"));
    if (timeoutMs < 0 || timeoutMs > MAX_WATCH_TIMEOUT_MS) {
      replyTo.accept(Reply.malformed(Wire.WATCH_TIMEOUT_MS + ": out of range"));
      return;
    }
    Reply reply = core.store().changesSince(request.query(Wire.PREFIX, ""), after, timeoutMs == 0);
    if (reply != null) {
      replyTo.accept(reply);
    } else if (watches.size() >= MAX_WATCHES) {
      replyTo.accept(Reply.of(429));
    } else {
      watches.add(
          new Watch(
              request.query(Wire.PREFIX, ""),
              after,
              now.plus(TimeSpan.millis(timeoutMs)),
              httpReplyTo));
    }
  }

  /** Rejects all watches with 503, because this node no longer serves requests. */
  void rejectWatches() {
    List<Watch> rejected = List.copyOf(watches);
    watches.clear();
    rejected.forEach(watch -> watch.replyTo.accept(HttpResponse.empty(503)));
  }

  /** Completes the watches that have changes or have timed out. Does nothing during an outage. */
  public void notifyWatches() {
    if (core.down()) {
      return;
    }
    MonotonicTime now = loop.now();
    for (Watch watch : new ArrayList<>(watches)) {
      Reply reply = core.store().changesSince(watch.prefix, watch.after, now.after(watch.deadline));
      if (reply != null) {
        watches.remove(watch);
        watch.replyTo.accept(toHttp(reply));
      }
    }
  }
}
