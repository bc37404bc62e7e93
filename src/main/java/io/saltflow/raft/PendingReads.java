package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.List;

/**
 * Linearizable reads (section 6.4 of the dissertation). Each read waits until a quorum has
 * acknowledged a heartbeat round that was sent after the read was requested.
 */
final class PendingReads {
  private static final int MAX_PENDING = 1024;

  private record PendingRead(long id, long round) {}

  private final NodeState state;
  private final Replication replication;
  private final List<PendingRead> pending = new ArrayList<>();
  private final List<Ready.ConfirmedRead> confirmed = new ArrayList<>();

  PendingReads(NodeState state, Replication replication) {
    this.state = state;
    this.replication = replication;
  }

  boolean isFull() {
    return pending.size() >= MAX_PENDING;
  }

  void clear() {
    pending.clear();
  }

  /** Confirms a read, which may be served once all currently committed entries are applied. */
  void confirm(long id) {
    confirmed.add(new Ready.ConfirmedRead(id, state.commitIndex));
  }

  /** Makes a read wait for the next heartbeat round, which the caller must send immediately. */
  void awaitNextRound(long id) {
    pending.add(new PendingRead(id, replication.round() + 1));
  }

  /** Confirms the reads whose heartbeat round a quorum has acknowledged. */
  void confirmAcknowledged(MonotonicTime now) {
    if (!state.isLeader()) {
      return;
    }
    MonotonicTime acknowledged = replication.quorumAcknowledgedAt(now);
    List<PendingRead> done = new ArrayList<>();
    for (PendingRead read : pending) {
      MonotonicTime sent = replication.sentAt(read.round);
      if (sent != null && !acknowledged.before(sent)) {
        confirm(read.id);
        done.add(read);
      }
    }
    pending.removeAll(done);
  }

  /** Returns and removes the reads confirmed since the last call. */
  List<Ready.ConfirmedRead> takeConfirmed() {
    List<Ready.ConfirmedRead> reads = List.copyOf(confirmed);
    confirmed.clear();
    return reads;
  }
}
