package io.saltflow.kv;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Evaluates requests in arrival order with group commit. One group of write batches is persisted
 * while the next accumulates, and a reply is sent once all changes that it depends on are durable.
 * Requests are evaluated against the store including both pending groups, while reads see only
 * durable contents.
 *
 * <p>If a group cannot be persisted, its requests and all requests evaluated after it fail with
 * 503.
 */
public final class CommitPipeline {
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
  private static final int GUARDS_PER_WRITE = 4;
  private static final long MIN_TTL_MS = 100;
  private static final long MAX_TTL_MS = 600_000;

  /** A group of write batches that becomes durable as a unit, with the resulting changes. */
  private static final class CommitGroup {
    final List<WriteBatch> batches = new ArrayList<>();
    final List<Runnable> replies = new ArrayList<>();

    /** Receivers of the failure reply if the group cannot be persisted. */
    final List<Consumer<Reply>> pendingReceivers = new ArrayList<>();

    /** New values by key, where {@code null} marks a deleted key. */
    final Map<String, KeyValueStore.Value> values = new HashMap<>();

    /** Times to live of new leases by id, where {@code null} marks a revoked lease. */
    final Map<Long, TimeSpan> leaseTtls = new LinkedHashMap<>();
  }

  private final KeyValueStore store;
  private KeyValueLimits limits;

  /** The group that is being persisted, or {@code null}. */
  private CommitGroup persisting;

  private CommitGroup accumulating = new CommitGroup();
  private long revision;
  private long lastLeaseId;

  /** Creates a pipeline in front of a store. */
  public CommitPipeline(KeyValueStore store, KeyValueLimits limits) {
    this.store = store;
    this.limits = limits;
    reset();
  }

  /** Sets the limits for all later requests. */
  void setLimits(KeyValueLimits newLimits) {
    limits = newLimits;
  }

  /** Continues from the store's contents after they were recovered. */
  void onRestored() {
    reset();
  }

  private void reset() {
    revision = store.revision();
    lastLeaseId = store.lastLeaseId();
  }

  // ---- The store including pending changes

  private KeyValueStore.Value pendingValue(String key) {
    if (accumulating.values.containsKey(key)) {
      return accumulating.values.get(key);
    }
    if (persisting != null && persisting.values.containsKey(key)) {
      return persisting.values.get(key);
    }
    return store.value(key);
  }

  /** Returns a lease's time to live, or {@code null} if it does not exist or is being revoked. */
  private TimeSpan pendingTtl(long leaseId) {
    if (accumulating.leaseTtls.containsKey(leaseId)) {
      return accumulating.leaseTtls.get(leaseId);
    }
    if (persisting != null && persisting.leaseTtls.containsKey(leaseId)) {
      return persisting.leaseTtls.get(leaseId);
    }
    return store.leaseTtl(leaseId);
  }

  // ---- Requests

  /**
   * Returns the number of writes in a transaction. They count against the write rate even if it
   * fails.
   */
  public static int writeCount(MessageBody transaction) {
    return transaction.get(Wire.WRITES) instanceof List<?> writes ? writes.size() : 0;
  }

  /**
   * Executes a transaction, applying all of its writes if every guard holds and none otherwise.
   *
   * @param replyTo receives the reply once all changes that it depends on are durable
   * @throws InvalidMessageException if the transaction is malformed
   */
  public void commit(MessageBody transaction, Consumer<Reply> replyTo)
      throws InvalidMessageException {
    List<MessageBody> guards = listOf(transaction, Wire.GUARDS);
    List<MessageBody> writes = listOf(transaction, Wire.WRITES);
    if (writes.size() > limits.maxTransactionWrites()
        || guards.size() > limits.maxTransactionWrites() * GUARDS_PER_WRITE) {
      replyTo.accept(Reply.malformed("more than a transaction may hold"));
      return;
    }
    if (JsonSize.of(transaction) > MAX_TRANSACTION_BYTES) {
      replyTo.accept(Reply.malformed("the transaction is too large"));
      return;
    }
    List<Mutation> mutations = new ArrayList<>();
    for (MessageBody write : writes) {
      Mutation mutation = evaluate(write, replyTo);
      if (mutation == null) {
        return;
      }
      mutations.add(mutation);
    }
    List<String> failed = failedGuards(guards);
    if (!failed.isEmpty()) {
      replyOnceDurable(
          new Reply(409, MessageBody.of().with(Wire.FAILED, failed).with(Wire.REVISION, revision)),
          replyTo);
      return;
    }
    if (!mutations.isEmpty()) {
      stage(mutations, true);
    }
    replyOnceDurable(new Reply(200, MessageBody.of().with(Wire.REVISION, revision)), replyTo);
  }

  private static List<MessageBody> listOf(MessageBody transaction, String field)
      throws InvalidMessageException {
    return transaction.get(field) == null ? List.of() : transaction.maps(field);
  }

  /** Returns the mutation of a write, or {@code null} if the write was rejected with a reply. */
  private Mutation evaluate(MessageBody write, Consumer<Reply> replyTo)
      throws InvalidMessageException {
    String putKey = write.textOr(Wire.PUT, null);
    String key = putKey == null ? write.text(Wire.DELETE) : putKey;
    if (!KeyValueStore.isValidKey(key)) {
      replyTo.accept(Reply.malformed(Wire.KEY));
      return null;
    }
    if (putKey == null) {
      return new Mutation.Delete(key);
    }
    long leaseId = write.integerOr(Wire.LEASE, 0);
    MessageBody data = write.map(Wire.VALUE);
    if (data != null && JsonSize.of(data) > limits.maxValueKib() * 1024) {
      replyTo.accept(Reply.malformed(key + ": the value is too large"));
      return null;
    }
    if (leaseId != 0 && pendingTtl(leaseId) == null) {
      replyOnceDurable(Reply.malformed(Wire.NO_SUCH_LEASE), replyTo);
      return null;
    }
    return new Mutation.Put(key, data, leaseId);
  }

  /** Returns the keys whose current version differs from that of their guard. */
  private List<String> failedGuards(List<MessageBody> guards) throws InvalidMessageException {
    List<String> failed = new ArrayList<>();
    for (MessageBody guard : guards) {
      String key = guard.text(Wire.KEY);
      KeyValueStore.Value current = pendingValue(key);
      if ((current == null ? 0 : current.modRevision()) != guard.integer(Wire.VERSION)) {
        failed.add(key);
      }
    }
    return failed;
  }

  /**
   * Grants a lease.
   *
   * @param request the request body, with the time to live in milliseconds
   * @throws InvalidMessageException if the request is malformed
   */
  public void grantLease(MessageBody request, Consumer<Reply> replyTo)
      throws InvalidMessageException {
    long ttlMs = request.integer(Wire.TTL_MS);
    if (ttlMs < MIN_TTL_MS || ttlMs > MAX_TTL_MS) {
      replyTo.accept(Reply.malformed(Wire.TTL_MS + ": out of range"));
      return;
    }
    // The grant must be durable, or a restarted server would grant the same id again.
    stage(List.of(new Mutation.GrantLease(++lastLeaseId, new TimeSpan(ttlMs))), false);
    replyOnceDurable(new Reply(200, MessageBody.of().with(Wire.LEASE, lastLeaseId)), replyTo);
  }

  /** Renews a lease. Renewals are not persisted, as a restarted server renews all leases. */
  public void renewLease(long leaseId, MonotonicTime now, Consumer<Reply> replyTo) {
    if (pendingTtl(leaseId) == null) {
      // The lease does not exist, or its revocation is pending and may still fail.
      replyOnceDurable(Reply.of(404), replyTo);
    } else if (store.renew(leaseId, now)) {
      replyTo.accept(new Reply(200, MessageBody.of().with(Wire.LEASE, leaseId)));
    } else {
      // The grant is not durable yet, so no client knows the id.
      replyTo.accept(Reply.of(404));
    }
  }

  /** Revokes a lease and deletes the keys attached to it. */
  public void revokeLease(long leaseId, Consumer<Reply> replyTo) {
    if (pendingTtl(leaseId) == null) {
      replyOnceDurable(Reply.of(404), replyTo);
    } else {
      revoke(leaseId);
      replyOnceDurable(new Reply(200, MessageBody.of()), replyTo);
    }
  }

  /** Revokes the expired leases and deletes the keys attached to them. */
  public void expireLeases(MonotonicTime now) {
    for (long leaseId : store.expiredLeases(now)) {
      if (pendingTtl(leaseId) != null) {
        revoke(leaseId);
      }
    }
  }

  private void revoke(long leaseId) {
    TreeSet<String> keys = new TreeSet<>(store.attachedKeys(leaseId));
    if (persisting != null) {
      keys.addAll(persisting.values.keySet());
    }
    keys.addAll(accumulating.values.keySet());
    List<Mutation> mutations = new ArrayList<>();
    for (String key : keys) {
      KeyValueStore.Value value = pendingValue(key);
      if (value != null && value.leaseId() == leaseId) {
        mutations.add(new Mutation.Delete(key));
      }
    }
    boolean changesKeys = !mutations.isEmpty();
    mutations.add(new Mutation.RevokeLease(leaseId));
    stage(mutations, changesKeys);
  }

  private void stage(List<Mutation> mutations, boolean changesKeys) {
    revision += changesKeys ? 1 : 0;
    accumulating.batches.add(new WriteBatch(revision, mutations));
    for (Mutation mutation : mutations) {
      if (mutation instanceof Mutation.Put put) {
        accumulating.values.put(
            put.key(), new KeyValueStore.Value(put.data(), revision, put.leaseId()));
      } else if (mutation instanceof Mutation.Delete delete) {
        accumulating.values.put(delete.key(), null);
      } else if (mutation instanceof Mutation.GrantLease grant) {
        accumulating.leaseTtls.put(grant.leaseId(), grant.ttl());
      } else if (mutation instanceof Mutation.RevokeLease revoke) {
        accumulating.leaseTtls.put(revoke.leaseId(), null);
      }
    }
  }

  /** Sends a reply once all changes staged so far are durable, as it may depend on them. */
  private void replyOnceDurable(Reply reply, Consumer<Reply> replyTo) {
    CommitGroup dependsOn = accumulating.batches.isEmpty() ? persisting : accumulating;
    if (dependsOn == null) {
      replyTo.accept(reply);
    } else {
      dependsOn.replies.add(() -> replyTo.accept(reply));
      dependsOn.pendingReceivers.add(replyTo);
    }
  }

  // ---- Group commit

  /**
   * Returns the batches of the next group to persist, in order. The list is empty if there are none
   * or a group is already being persisted.
   */
  public List<WriteBatch> nextGroup() {
    if (persisting != null || accumulating.batches.isEmpty()) {
      return List.of();
    }
    persisting = accumulating;
    accumulating = new CommitGroup();
    return persisting.batches;
  }

  /** Returns the number of replies that wait for a group to become durable. */
  int pendingReplyCount() {
    return accumulating.pendingReceivers.size()
        + (persisting == null ? 0 : persisting.pendingReceivers.size());
  }

  /** Returns whether no changes are pending. */
  public boolean isIdle() {
    return persisting == null && accumulating.batches.isEmpty();
  }

  /** Applies the persisted group to the store and sends its replies. */
  public void onDurable(MonotonicTime now) {
    CommitGroup done = persisting;
    persisting = null;
    done.batches.forEach(batch -> store.apply(batch, now));
    done.replies.forEach(Runnable::run);
  }

  /**
   * Abandons the group that is being persisted when its outcome is unknown. Its requests get {@link
   * Reply#NONE}, and those of the accumulating group fail.
   */
  void abandon() {
    List<Consumer<Reply>> outcomeUnknown =
        persisting == null ? List.of() : List.copyOf(persisting.pendingReceivers);
    persisting = null;
    onWriteFailed();
    outcomeUnknown.forEach(replyTo -> replyTo.accept(Reply.NONE));
  }

  /** Fails the group that could not be persisted and all requests evaluated after it. */
  public void onWriteFailed() {
    List<Consumer<Reply>> rejected = new ArrayList<>();
    if (persisting != null) {
      rejected.addAll(persisting.pendingReceivers);
    }
    rejected.addAll(accumulating.pendingReceivers);
    persisting = null;
    accumulating = new CommitGroup();
    reset();
    rejected.forEach(replyTo -> replyTo.accept(Reply.of(503)));
  }
}
