package io.saltflow.kv;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.RateLimiter;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import java.util.List;
import java.util.function.Consumer;

/**
 * The key-value store of PROTOCOL's state section as a deterministic state machine that evaluates
 * requests and enforces rate limits and outages. The caller passes in requests and the time,
 * persists the batches of {@link #nextGroup}, and reports the outcome with {@link #onDurable} or
 * {@link #onWriteFailed}. Not thread-safe.
 */
public final class KeyValueCore {
  /** Maximum number of replies waiting for durability, above which requests are rejected. */
  private static final int MAX_PENDING_REPLIES = 4096;

  private final KeyValueStore store = new KeyValueStore();
  private final CommitPipeline pipeline;
  private RateLimiter requests;
  private RateLimiter writes;
  private boolean down;
  private boolean writesStalled;

  /** Creates an empty store. */
  public KeyValueCore(KeyValueLimits limits, MonotonicTime now) {
    pipeline = new CommitPipeline(store, limits);
    requests = new RateLimiter(limits.requestsPerSecond(), limits.requestsPerSecond(), now);
    writes = new RateLimiter(limits.writesPerSecond(), limits.writesPerSecond(), now);
  }

  /** Sets the limits for all later requests. */
  public void setLimits(KeyValueLimits limits, MonotonicTime now) {
    pipeline.setLimits(limits);
    requests = new RateLimiter(limits.requestsPerSecond(), limits.requestsPerSecond(), now);
    writes = new RateLimiter(limits.writesPerSecond(), limits.writesPerSecond(), now);
  }

  /** Returns the durable contents. */
  public KeyValueStore store() {
    return store;
  }

  /** Continues from the store's contents after they were recovered, and renews all leases. */
  public void onRestored(MonotonicTime now) {
    store.renewAllLeases(now);
    pipeline.onRestored();
  }

  /** Renews all leases after the process stood still, which is an outage to its clients. */
  public void onProcessPaused(MonotonicTime now) {
    store.renewAllLeases(now);
  }

  /** Begins or ends an outage, during which no request is served. Its end renews all leases. */
  public void setDown(boolean isDown, MonotonicTime now) {
    if (down && !isDown) {
      store.renewAllLeases(now);
    }
    down = isDown;
  }

  /**
   * Begins or ends a write stall, caused by a failed or slow disk. During a stall writes are
   * rejected immediately, reads are served and no lease expires. Its end renews all leases.
   */
  public void setWritesStalled(boolean isStalled, MonotonicTime now) {
    if (writesStalled && !isStalled) {
      store.renewAllLeases(now);
    }
    writesStalled = isStalled;
  }

  /** Returns whether writes are stalled. */
  public boolean writesStalled() {
    return writesStalled;
  }

  /** Returns whether there is an outage. */
  public boolean down() {
    return down;
  }

  /**
   * Checks whether a request is rejected because of an outage or the rate limits.
   *
   * @param writeCount the number of writes in the request
   * @return the rejecting reply, or {@code null} if the request may proceed
   */
  public Reply rejection(int writeCount, MonotonicTime now) {
    if (down) {
      return Reply.of(503);
    }
    if (!requests.tryAcquire(1, now)) {
      return Reply.of(429);
    }
    return writeCount > 0 && !writes.tryAcquire(writeCount, now) ? Reply.of(429) : null;
  }

  private boolean rejects(boolean isWrite) {
    return (isWrite && writesStalled) || pipeline.pendingReplyCount() >= MAX_PENDING_REPLIES;
  }

  /** Executes a transaction; see {@link CommitPipeline#commit}. */
  public void commit(MessageBody transaction, Consumer<Reply> replyTo)
      throws InvalidMessageException {
    if (rejects(CommitPipeline.writeCount(transaction) > 0)) {
      replyTo.accept(Reply.of(503));
    } else {
      pipeline.commit(transaction, replyTo);
    }
  }

  /** Grants a lease; see {@link CommitPipeline#grantLease}. */
  public void grantLease(MessageBody request, Consumer<Reply> replyTo)
      throws InvalidMessageException {
    if (rejects(true)) {
      replyTo.accept(Reply.of(503));
    } else {
      pipeline.grantLease(request, replyTo);
    }
  }

  /** Renews a lease. */
  public void renewLease(long leaseId, MonotonicTime now, Consumer<Reply> replyTo) {
    pipeline.renewLease(leaseId, now, replyTo);
  }

  /** Revokes a lease and deletes the keys attached to it. */
  public void revokeLease(long leaseId, Consumer<Reply> replyTo) {
    if (rejects(true)) {
      replyTo.accept(Reply.of(503));
    } else {
      pipeline.revokeLease(leaseId, replyTo);
    }
  }

  /** Revokes expired leases, except during an outage or a write stall. */
  public void expireLeases(MonotonicTime now) {
    if (!down && !writesStalled) {
      pipeline.expireLeases(now);
    }
  }

  /**
   * Returns the batches of the next group to persist. The list is empty if there are none or a
   * group is already being persisted.
   */
  public List<WriteBatch> nextGroup() {
    return pipeline.nextGroup();
  }

  /** Returns whether no changes are pending. */
  public boolean isIdle() {
    return pipeline.isIdle();
  }

  /** Must be called when the group being persisted is durable. */
  public void onDurable(MonotonicTime now) {
    pipeline.onDurable(now);
  }

  /** Abandons the group being persisted when its outcome is unknown. */
  public void abandon() {
    pipeline.abandon();
  }

  /** Must be called when the group being persisted could not be written. */
  public void onWriteFailed() {
    pipeline.onWriteFailed();
  }
}
