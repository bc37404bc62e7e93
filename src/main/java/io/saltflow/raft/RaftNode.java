package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * One member of a Raft group, based on Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm" (2014; "the paper"), and Ongaro's dissertation "Consensus: Bridging Theory
 * and Practice" (2014; "the dissertation") for pre-vote, leadership transfer, linearizable reads
 * and single-server membership changes.
 *
 * <p>The node is a deterministic state machine without disk, clock or network access. The caller
 * passes in ticks, messages and completed writes, and {@link #ready} returns the state to persist,
 * the messages to send and the entries to apply. Not thread-safe.
 *
 * <p>The caller must make {@link Ready#save} durable before it sends any of the same {@link
 * Ready}'s messages, and must restart a node from its durable state.
 */
public final class RaftNode {
  /** The role of a node in its current term (section 5.1 of the paper). */
  public enum Role {
    FOLLOWER,
    /** Asks whether it would win an election, before it enters a new term. */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
  }

  private final NodeState state;
  private final Election election;
  private final Replication replication;
  private final Follower follower;
  private final PendingReads pendingReads;

  private final LeadershipTransfer transfer;

  /**
   * Creates a node from its durable state, as a follower.
   *
   * @param self this member's name
   * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
   * @param now the current time, from the clock that all later calls must use
   */
  public RaftNode(
      String self,
      RaftConfig config,
      DurableState durableState,
      LongUnaryOperator random,
      MonotonicTime now) {
    this(self, config, durableState, random, now, Set.of());
  }

  RaftNode(
      String self,
      RaftConfig config,
      DurableState durableState,
      LongUnaryOperator random,
      MonotonicTime now,
      Set<SeededBug> seededBugs) {
    state = new NodeState(self, config, durableState, seededBugs);
    election = new Election(state, random, now);
    replication = new Replication(state);
    follower = new Follower(state, election);
    pendingReads = new PendingReads(state, replication);
    transfer = new LeadershipTransfer(state, replication, election);
  }

  // ---- State

  /** Returns this node's role in the current term. */
  public Role role() {
    return state.role;
  }

  /** Returns the current term. */
  public long term() {
    return state.term;
  }

  /** Returns the known leader of the current term, or {@code null}. */
  public String leader() {
    return state.leader;
  }

  /** Returns the highest index known to be committed. */
  public long commitIndex() {
    return state.commitIndex;
  }

  /**
   * Returns whether this node is the leader and has committed an entry of its own term. Only then
   * does a leader know all committed entries (section 6.4 of the dissertation).
   */
  public boolean hasCommittedInOwnTerm() {
    return state.isLeader() && state.log.termAt(state.commitIndex) == state.term;
  }

  /** Returns the members set by the latest membership entry, whether or not it is committed. */
  public List<String> members() {
    return state.members();
  }

  /**
   * Returns all state, except times, that determines this node's behaviour. Tests use it to
   * recognize equivalent states.
   */
  String fingerprint() {
    StringBuilder text = new StringBuilder();
    text.append(state.term).append(state.votedFor).append(state.role).append(state.leader);
    text.append(state.commitIndex).append('|');
    text.append(state.lastApplied).append(state.log.snapshot().index()).append(election.votes());
    text.append(state.unstable.durableIndex()).append('|');
    for (LogEntry entry : state.log.entriesFrom(state.log.firstIndex(), Integer.MAX_VALUE / 2)) {
      text.append(entry.term())
          .append(entry.data() == null ? "-" : Arrays.toString(entry.data()))
          .append(',');
    }
    if (state.isLeader()) {
      for (Progress peer : replication.peers()) {
        text.append(peer.member).append(peer.nextIndex).append('.').append(peer.matchIndex);
      }
      replication.peers().forEach(peer -> text.append('.').append(peer.inFlight));
    }
    return text.toString();
  }

  // ---- Time

  /**
   * Advances the clock, which may start an election, send heartbeats, or make the leader step down.
   */
  public void tick(MonotonicTime now) {
    if (state.isLeader()) {
      tickLeader(now);
    } else if (election.isTimedOut(now)) {
      election.resetElectionTimeout(now);
      if (state.isMember()) {
        campaign(Election.Campaign.PRE_VOTE, now);
      }
    }
  }

  private void tickLeader(MonotonicTime now) {
    if (replication.isHeartbeatDue(now)) {
      replication.sendHeartbeats(now);
    }
    transfer.expire(now);
    if (replication.hasLostQuorum(now)) {
      // Other members may have elected a leader that cannot reach this node.
      election.becomeFollower(state.term, null, now);
    }
  }

  // ---- Leadership

  private void campaign(Election.Campaign campaign, MonotonicTime now) {
    if (election.start(campaign)) {
      becomeLeader(now);
    }
  }

  private void becomeLeader(MonotonicTime now) {
    state.role = Role.LEADER;
    state.leader = state.self;
    transfer.cancel();
    replication.onElected(now);
    pendingReads.clear();
    // Entries of earlier terms are committed only through one of this term (section 5.4.2 of the
    // paper).
    state.append(LogEntry.noOp(state.log.lastIndex() + 1, state.term));
    replication.sendHeartbeats(now);
    advanceCommitIndex(now);
  }

  /**
   * Transfers leadership to another member once it has the whole log (section 3.10 of the
   * dissertation). Proposals are rejected during the transfer, which is abandoned after an election
   * timeout.
   *
   * @return false if this node is not the leader or the target is not another member
   */
  public boolean transferLeadership(String target, MonotonicTime now) {
    return transfer.begin(target, now);
  }

  // ---- Proposals

  /**
   * Appends a command to the replicated log.
   *
   * @return the entry's index, or 0 if this node is not the leader or is transferring leadership
   */
  public long propose(byte[] data, MonotonicTime now) {
    if (!state.isLeader() || transfer.isUnderWay()) {
      return 0;
    }
    return appendAsLeader(LogEntry.command(state.log.lastIndex() + 1, state.term, data), now);
  }

  /**
   * Proposes to add or remove one member (section 4.1 of the dissertation).
   *
   * @return the entry's index, or 0 if this node is not the leader or is transferring leadership,
   *     if the members do not differ by exactly one, or if an earlier change or an entry of the
   *     current term is not committed yet
   */
  public long changeMembers(List<String> members, MonotonicTime now) {
    if (transfer.isUnderWay() || !Membership.mayChangeTo(state, members)) {
      return 0;
    }
    return appendAsLeader(LogEntry.members(state.log.lastIndex() + 1, state.term, members), now);
  }

  private long appendAsLeader(LogEntry entry, MonotonicTime now) {
    state.append(entry);
    replication.sendToAll();
    advanceCommitIndex(now);
    return state.log.lastIndex();
  }

  /** Commits the entries stored by a quorum if the last of them is of the current term. */
  private void advanceCommitIndex(MonotonicTime now) {
    long quorumMatch = replication.quorumMatchIndex();
    boolean isOwnTerm =
        state.log.termAt(quorumMatch) == state.term
            || state.seededBugs.contains(SeededBug.COMMIT_OF_EARLIER_TERM);
    if (quorumMatch <= state.commitIndex || !isOwnTerm) {
      return;
    }
    state.commitIndex = quorumMatch;
    replication.sendToAll();
    if (!state.isMember()) {
      // This node's removal is committed (section 4.2.2 of the dissertation).
      replication.sendHeartbeats(now);
      election.becomeFollower(state.term, null, now);
    }
  }

  private void onAppendEntriesResponse(
      RaftMessage.AppendEntriesResponse response, MonotonicTime now) {
    if (!isFromFollower(response)) {
      return;
    }
    Progress peer = replication.progressOf(response.from());
    replication.onAppendEntriesResponse(peer, response);
    if (response.success()) {
      advanceCommitIndex(now);
    }
    replication.send(peer, false);
    pendingReads.confirmAcknowledged(now);
    transfer.completeIfCaughtUp(now);
  }

  private void onInstallSnapshotResponse(
      RaftMessage.InstallSnapshotResponse response, MonotonicTime now) {
    if (isFromFollower(response)) {
      replication.onInstallSnapshotResponse(response);
      pendingReads.confirmAcknowledged(now);
    }
  }

  private boolean isFromFollower(RaftMessage message) {
    return state.isLeader() && message.term() == state.term && members().contains(message.from());
  }

  // ---- Reads and snapshots

  /**
   * Requests a linearizable read (section 6.4 of the dissertation). It may be served once it
   * appears in {@link Ready#reads}.
   *
   * @param id the identifier of the read in {@link Ready.ConfirmedRead}
   * @return false if this node is not the leader, has not committed an entry of its own term, or
   *     has too many pending reads
   */
  public boolean requestRead(long id, MonotonicTime now) {
    if (!hasCommittedInOwnTerm() || pendingReads.isFull()) {
      return false;
    }
    if (holdsLease(now) || state.seededBugs.contains(SeededBug.READ_WITHOUT_HEARTBEAT_ROUND)) {
      pendingReads.confirm(id);
      return true;
    }
    pendingReads.awaitNextRound(id);
    replication.sendHeartbeats(now);
    pendingReads.confirmAcknowledged(now);
    return true;
  }

  /**
   * Returns whether this node holds a leader lease, so that no other leader can have been elected
   * yet (section 6.4.1 of the dissertation). Members that acknowledged a heartbeat grant no vote
   * within an election timeout of receiving it, so the lease runs from the time at which a
   * heartbeat acknowledged by a quorum was sent. Twice the clock drift is subtracted because the
   * voters' clocks may be fast and this node's clock slow.
   */
  public boolean holdsLease(MonotonicTime now) {
    if (!state.isLeader() || transfer.isUnderWay()) {
      return false;
    }
    boolean noMargin = state.seededBugs.contains(SeededBug.LEASE_WITHOUT_DRIFT_MARGIN);
    double margin = noMargin ? -1 : 2 * state.config.maxClockDrift();
    TimeSpan lease = state.config.electionTimeout().times(1 - margin);
    return now.since(replication.quorumAcknowledgedAt(now)).compareTo(lease) < 0;
  }

  /**
   * Replaces the log up to an applied index by a snapshot of the state machine. Does nothing if the
   * index is not applied yet or already covered by a snapshot.
   *
   * @param index the index of the last entry that the snapshot includes
   * @param data the snapshot of the state machine
   */
  public void compact(long index, byte[] data) {
    RaftLog log = state.log;
    if (index <= log.snapshot().index() || index > state.lastApplied) {
      return;
    }
    log.compact(new Snapshot(index, log.termAt(index), log.membersAt(index), data));
    state.unstable.markHardStateChanged();
    state.unstable.markChangedFrom(index + 1);
  }

  // ---- Input and output

  /** Processes a message. Messages addressed to another member are ignored. */
  public void receive(RaftMessage message, MonotonicTime now) {
    if (!message.to().equals(state.self)) {
      return;
    }
    if (message instanceof RaftMessage.RequestVote request) {
      election.onRequestVote(request, now);
    } else if (message instanceof RaftMessage.RequestVoteResponse response) {
      if (election.onRequestVoteResponse(response, now)) {
        becomeLeader(now);
      }
    } else if (message instanceof RaftMessage.AppendEntries request) {
      follower.onAppendEntries(request, now);
    } else if (message instanceof RaftMessage.AppendEntriesResponse response) {
      adoptNewerTerm(response, now);
      onAppendEntriesResponse(response, now);
    } else if (message instanceof RaftMessage.InstallSnapshot request) {
      follower.onInstallSnapshot(request, now);
    } else if (message instanceof RaftMessage.InstallSnapshotResponse response) {
      adoptNewerTerm(response, now);
      onInstallSnapshotResponse(response, now);
    } else if (message instanceof RaftMessage.TimeoutNow request
        && request.term() == state.term
        && state.isMember()) {
      campaign(Election.Campaign.LEADERSHIP_TRANSFER, now);
    }
  }

  private void adoptNewerTerm(RaftMessage message, MonotonicTime now) {
    if (message.term() > state.term) {
      election.becomeFollower(message.term(), null, now);
    }
  }

  /**
   * Returns the output accumulated since the last call, or {@code null} if there is none. If it has
   * a {@link Ready#save}, {@link #onSaved} must be called before the next call.
   */
  public Ready ready() {
    Ready.Save save = state.unstable.nextSave(state);
    List<LogEntry> committed = new ArrayList<>();
    while (state.lastApplied < state.commitIndex) {
      state.lastApplied++;
      committed.add(state.log.entryAt(state.lastApplied));
    }
    Ready ready =
        new Ready(
            save,
            state.takeOutbox(),
            state.installedSnapshot,
            committed,
            pendingReads.takeConfirmed());
    state.installedSnapshot = null;
    return ready.isEmpty() ? null : ready;
  }

  /** Must be called when the save returned by the last {@link #ready} is durable. */
  public void onSaved(MonotonicTime now) {
    state.unstable.onSaved(state.log.lastIndex());
    if (state.isLeader()) {
      advanceCommitIndex(now);
    }
  }
}
