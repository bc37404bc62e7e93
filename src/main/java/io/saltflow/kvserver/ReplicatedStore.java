package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueCore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.raft.DurableState;
import io.saltflow.raft.LogEntry;
import io.saltflow.raft.RaftMessage;
import io.saltflow.raft.RaftNode;
import io.saltflow.raft.Ready;
import io.saltflow.raft.Snapshot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The key-value store as a replicated state machine. The leader evaluates requests and proposes the
 * resulting write batches as a log entry; every member applies the same batches in the same order.
 * This class is deterministic and uses no sockets, disk or clock; {@link Effects} performs its I/O.
 *
 * <p>Each request first waits for confirmation that this node was the leader when the request
 * arrived ({@link RaftNode#requestRead}), so that a deposed leader never serves a read, rejects a
 * transaction or renews a lease.
 */
final class ReplicatedStore {
  /** Performs the I/O of the store and receives its events. */
  interface Effects {
    /** Makes a save durable, then calls {@link ReplicatedStore#onSaved}. */
    void save(Ready.Save save);

    /** Sends a message, which may be lost. */
    void send(RaftMessage message);

    /** Called after a snapshot replaced the store and {@link ReplicatedStore#core}. */
    void onStoreReplaced();

    /**
     * Called when this member starts or stops serving requests. Serving starts once it is the
     * leader and has applied all entries committed in earlier terms.
     */
    void onServingChanged(boolean isServing);

    /** Called after the contents changed, which may complete watches. */
    void onContentsChanged();
  }

  /** A request that waits for its read confirmation. Exactly one of the two callbacks is run. */
  private record PendingRequest(Runnable action, Runnable rejection) {}

  private final RaftNode raft;
  private final KeyValueLimits limits;
  private final Effects effects;
  private final StoreSnapshotTaker snapshots;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private KeyValueCore core;
  private long lastApplied;
  private long lastRequestId;

  /** Raft output to process once its save is durable, or {@code null} if no save is in progress. */
  private Ready outputBeingSaved;

  private boolean processingOutput;
  private boolean failed;

  /** Term in which this node serves requests, or 0 if it does not serve. */
  private long servingTerm;

  /** Index of the last proposed entry until it is applied, or 0 if there is none. */
  private long proposedIndex;

  /**
   * Restores the store from a node's durable state.
   *
   * @param snapshotBytes number of bytes of applied log entries after which a snapshot is due
   * @throws InvalidMessageException if the snapshot cannot be decoded
   */
  ReplicatedStore(
      RaftNode raft,
      DurableState durableState,
      KeyValueLimits limits,
      long snapshotBytes,
      Effects effects,
      MonotonicTime now)
      throws InvalidMessageException {
    this.raft = raft;
    this.limits = limits;
    snapshots = new StoreSnapshotTaker(snapshotBytes);
    this.effects = effects;
    restore(durableState.snapshot(), now);
  }

  private void restore(Snapshot snapshot, MonotonicTime now) throws InvalidMessageException {
    core = new KeyValueCore(limits, now);
    core.setDown(true, now);
    StateMachineCodec.restore(snapshot.data(), core.store(), now);
    lastApplied = snapshot.index();
    snapshots.reset();
  }

  /** Returns the core that evaluates requests. */
  KeyValueCore core() {
    return core;
  }

  RaftNode raft() {
    return raft;
  }

  boolean isServing() {
    return servingTerm > 0 && !failed;
  }

  /** Advances the clock. */
  void tick(MonotonicTime now) {
    if (!failed) {
      raft.tick(now);
      processReady(now);
    }
  }

  /** Handles a message from another member. */
  void receive(RaftMessage message, MonotonicTime now) {
    if (!failed) {
      raft.receive(message, now);
      processReady(now);
    }
  }

  /** Continues after the last {@link Effects#save} has become durable. */
  void onSaved(MonotonicTime now) {
    Ready savedOutput = outputBeingSaved;
    outputBeingSaved = null;
    raft.onSaved(now);
    processReadyAfter(savedOutput, now);
  }

  /**
   * Runs an action once it is confirmed that this node was the leader when this method was called
   * and has applied everything committed before. Runs the rejection if that cannot be confirmed.
   */
  void runAsLeader(Runnable action, Runnable rejection, MonotonicTime now) {
    long id = ++lastRequestId;
    if (!isServing() || !raft.requestRead(id, now)) {
      rejection.run();
      return;
    }
    pendingRequests.put(id, new PendingRequest(action, rejection));
    processReady(now);
  }

  /** Proposes the next group of write batches unless an earlier group is not yet applied. */
  void proposeNext(MonotonicTime now) {
    if (!isServing() || proposedIndex > 0) {
      return;
    }
    List<WriteBatch> batches = core.nextGroup();
    if (batches.isEmpty()) {
      return;
    }
    proposedIndex = raft.propose(StateMachineCodec.encodeCommand(batches), now);
    if (proposedIndex == 0) {
      // No entry was proposed because leadership is being transferred, so the batches fail.
      core.onWriteFailed();
    }
    processReady(now);
  }

  private void processReady(MonotonicTime now) {
    processReadyAfter(null, now);
  }

  /**
   * Processes Raft's output until there is none or a save is in progress. A reply may trigger the
   * next request reentrantly; its output is processed by the loop that is already running.
   *
   * @param savedReady the output whose save has just become durable, or {@code null}
   */
  private void processReadyAfter(Ready savedReady, MonotonicTime now) {
    if (processingOutput || failed) {
      return;
    }
    processingOutput = true;
    try {
      if (savedReady != null) {
        processOutput(savedReady, now);
      }
      updateServing(now);
      while (outputBeingSaved == null) {
        Ready ready = raft.ready();
        if (ready == null) {
          break;
        }
        if (ready.save() != null) {
          outputBeingSaved = ready;
          effects.save(ready.save());
        } else {
          processOutput(ready, now);
        }
      }
    } finally {
      processingOutput = false;
    }
  }

  private void processOutput(Ready ready, MonotonicTime now) {
    ready.messages().forEach(effects::send);
    if (ready.installedSnapshot() != null) {
      installSnapshot(ready.installedSnapshot(), now);
    }
    boolean changed = false;
    for (LogEntry entry : ready.committedEntries()) {
      changed |= apply(entry, now);
    }
    updateServing(now);
    for (Ready.ConfirmedRead read : ready.reads()) {
      PendingRequest request = pendingRequests.remove(read.id());
      if (request != null) {
        request.action.run();
      }
    }
    if (changed) {
      effects.onContentsChanged();
      proposeNext(now);
    }
  }

  private void installSnapshot(Snapshot snapshot, MonotonicTime now) {
    try {
      restore(snapshot, now);
    } catch (InvalidMessageException exception) {
      throw failOnUnreadable("snapshot up to entry " + snapshot.index(), exception);
    }
    effects.onStoreReplaced();
  }

  /**
   * Stops this member as if its process had exited: it no longer votes or acknowledges entries, and
   * the other members continue without it.
   */
  private UnreadableStateException failOnUnreadable(String element, InvalidMessageException cause) {
    failed = true;
    core.setDown(true, MonotonicTime.LONG_AGO);
    return new UnreadableStateException(element, cause);
  }

  /** Applies an entry and returns whether the contents changed. */
  private boolean apply(LogEntry entry, MonotonicTime now) {
    lastApplied = entry.index();
    if (entry.data() == null) {
      return false;
    }
    snapshots.onApplied(entry.data().length);
    if (isServing() && entry.index() == proposedIndex && entry.term() == servingTerm) {
      proposedIndex = 0;
      core.onDurable(now);
      return true;
    }
    try {
      StateMachineCodec.decodeCommand(entry.data())
          .forEach(batch -> core.store().apply(batch, now));
    } catch (InvalidMessageException exception) {
      throw failOnUnreadable("entry " + entry.index(), exception);
    }
    return true;
  }

  /** Starts or stops serving requests according to the Raft role. */
  private void updateServing(MonotonicTime now) {
    if (isServing() && (raft.role() != RaftNode.Role.LEADER || raft.term() != servingTerm)) {
      servingTerm = 0;
      proposedIndex = 0;
      core.abandon();
      core.setDown(true, now);
      List<PendingRequest> requests = List.copyOf(pendingRequests.values());
      pendingRequests.clear();
      effects.onServingChanged(false);
      requests.forEach(request -> request.rejection.run());
    }
    if (!isServing() && raft.hasCommittedInOwnTerm() && lastApplied >= raft.commitIndex()) {
      servingTerm = raft.term();
      proposedIndex = 0;
      core.setDown(false, now);
      core.onRestored(now);
      effects.onServingChanged(true);
    }
  }

  /**
   * Writes the next part of a snapshot if one is due or in progress.
   *
   * @param maxKeys the maximum number of keys in the part
   * @return whether more parts follow
   */
  boolean writeSnapshotPart(int maxKeys, MonotonicTime now) {
    if (snapshots.isDue() && core.isIdle()) {
      snapshots.begin(core.store(), lastApplied);
    }
    if (!snapshots.isActive()) {
      return false;
    }
    if (snapshots.encodeNext(maxKeys)) {
      return true;
    }
    raft.compact(snapshots.index(), snapshots.data());
    processReady(now);
    return false;
  }
}
