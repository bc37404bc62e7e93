package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;

/** The leader's transfer of leadership to another member (section 3.10 of the dissertation). */
final class LeadershipTransfer {
  private final NodeState state;
  private final Replication replication;
  private final Election election;

  /** The member to become leader, or {@code null} if no transfer is in progress. */
  private String target;

  private MonotonicTime deadline = MonotonicTime.LONG_AGO;

  LeadershipTransfer(NodeState state, Replication replication, Election election) {
    this.state = state;
    this.replication = replication;
    this.election = election;
  }

  /** Returns whether a transfer is in progress, during which no entry may be proposed. */
  boolean isUnderWay() {
    return target != null;
  }

  /**
   * Begins a transfer.
   *
   * @return false if this node is not the leader or the target is not another member
   */
  boolean begin(String member, MonotonicTime now) {
    if (!state.isLeader() || member.equals(state.self) || !state.members().contains(member)) {
      return false;
    }
    target = member;
    deadline = now.plus(state.config.electionTimeout());
    completeIfCaughtUp(now);
    return true;
  }

  /** Asks the target to start an election if its log matches the leader's. */
  void completeIfCaughtUp(MonotonicTime now) {
    if (target == null || replication.progressOf(target).matchIndex != state.log.lastIndex()) {
      return;
    }
    state.send(new RaftMessage.TimeoutNow(state.self, target, state.term));
    // The target may be elected immediately, so this node's lease must end now.
    replication.relinquishLease();
    election.becomeFollower(state.term, null, now);
  }

  /** Abandons a transfer that has taken longer than an election timeout. */
  void expire(MonotonicTime now) {
    if (target != null && now.after(deadline)) {
      target = null;
    }
  }

  void cancel() {
    target = null;
  }
}
