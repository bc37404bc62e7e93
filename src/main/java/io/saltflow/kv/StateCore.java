package io.saltflow.kv;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Budget;
import io.saltflow.protocol.Time;
import java.util.List;
import java.util.function.Consumer;

/**
 * PROTOCOL's state section on one node, as a deterministic core that is told the time: contents,
 * decisions and rates. A shell brings requests, writes down what {@link #next} says, and tells
 * whether that worked.
 */
public final class StateCore {
  /** Answers that wait for something to be durable; more are refused. */
  private static final int MOST_WAITING = 4096;

  private final KeyStore store = new KeyStore();
  private final Pipeline pipeline;
  private Budget requests;
  private Budget writes;
  private boolean down;
  private boolean stuck;

  public StateCore(Limits limits, Time now) {
    pipeline = new Pipeline(store, limits);
    requests = new Budget(limits.rps(), limits.rps(), now);
    writes = new Budget(limits.writeRps(), limits.writeRps(), now);
  }

  /** Other limits hold from now on; what is stored stays as it is. */
  public void setLimits(Limits limits, Time now) {
    pipeline.limits(limits);
    requests = new Budget(limits.rps(), limits.rps(), now);
    writes = new Budget(limits.writeRps(), limits.writeRps(), now);
  }

  /** The contents as far as they are durable. */
  public KeyStore store() {
    return store;
  }

  /** What was read at the start has been applied to the store. */
  public void restored(Time now) {
    store.renewAll(now);
    pipeline.restored();
  }

  /** An outage begins or ends; at its end every lease has its full time again. */
  public void setDown(boolean isDown, Time now) {
    if (down && !isDown) {
      store.renewAll(now);
    }
    down = isDown;
  }

  /**
   * Nothing can be written down, or what is being written down takes too long: what would change
   * something is refused at once, reads go on, and no lease ends. When that is over, every lease
   * has its full time again.
   */
  public void setStuck(boolean isStuck, Time now) {
    if (stuck && !isStuck) {
      store.renewAll(now);
    }
    stuck = isStuck;
  }

  /** Whether changes are refused now. */
  public boolean stuck() {
    return stuck;
  }

  /** Whether nothing is served. */
  public boolean down() {
    return down;
  }

  /** Null when the request is within the rates and the service is up; else its answer. */
  public Reply refusal(int writeCount, Time now) {
    if (down) {
      return Reply.of(503);
    }
    if (!requests.take(1, now)) {
      return Reply.of(429);
    }
    return writeCount > 0 && !writes.take(writeCount, now) ? Reply.of(429) : null;
  }

  private boolean refuses(boolean changes) {
    return (changes && stuck) || pipeline.waiting() >= MOST_WAITING;
  }

  /** All of the writes or none, if every guard holds. */
  public void commit(Body txn, Consumer<Reply> answer) throws BadMessage {
    if (refuses(Pipeline.writeCount(txn) > 0)) {
      answer.accept(Reply.of(503));
    } else {
      pipeline.commit(txn, answer);
    }
  }

  /** A new lease. */
  public void grant(Body request, Consumer<Reply> answer) throws BadMessage {
    if (refuses(true)) {
      answer.accept(Reply.of(503));
    } else {
      pipeline.grant(request, answer);
    }
  }

  /** A lease has its full time again. */
  public void extend(long lease, Time now, Consumer<Reply> answer) {
    pipeline.extend(lease, now, answer);
  }

  /** A lease ends now. */
  public void release(long lease, Consumer<Reply> answer) {
    if (refuses(true)) {
      answer.accept(Reply.of(503));
    } else {
      pipeline.release(lease, answer);
    }
  }

  /** Leases that were not renewed end, unless there is an outage. */
  public void expire(Time now) {
    if (!down && !stuck) {
      pipeline.expire(now);
    }
  }

  /** What is to be written down next; empty: nothing, or a batch is under way. */
  public List<Step> next() {
    return pipeline.next();
  }

  /** Whether nothing waits to be written down. */
  public boolean idle() {
    return pipeline.idle();
  }

  /** The batch under way is durable. */
  public void durable(Time now) {
    pipeline.durable(now);
  }

  /** Whether the batch under way will happen is not known, and not decided here any more. */
  public void abandon() {
    pipeline.abandon();
  }

  /** The batch under way could not be written down. */
  public void failed() {
    pipeline.failed();
  }
}
