package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;

/** The leader's record of a follower's replication progress (the term is etcd's). */
final class Progress {
  final String member;

  /** The index of the next entry to send. */
  long nextIndex;

  /** The highest index up to which the follower's durable log is known to match. */
  long matchIndex;

  /** Send time of the latest heartbeat round that it acknowledged, from which its lease runs. */
  MonotonicTime acknowledgedRoundSentAt = MonotonicTime.LONG_AGO;

  /** The number of unacknowledged messages with entries. */
  int inFlight;

  /** Bytes of the current snapshot that the follower has, or -1 if no snapshot is being sent. */
  long snapshotOffset = -1;

  /** The last included index of the current snapshot. */
  long snapshotIndex;

  Progress(String member, long nextIndex) {
    this.member = member;
    this.nextIndex = nextIndex;
  }
}
