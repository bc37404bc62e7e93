package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * Leader election (section 5.2 of the paper) with pre-vote (section 9.6 of the dissertation).
 * Manages the election timeout, requests and grants votes, and counts the votes received.
 */
final class Election {
  /** The reason for requesting votes. */
  enum Campaign {
    /** Asks whether an election would be won, without raising the term. */
    PRE_VOTE,
    /** Starts an election after winning the pre-vote. */
    ELECTION,
    /** Starts an election at the leader's request; voters ignore the leader's lease. */
    LEADERSHIP_TRANSFER
  }

  private final NodeState state;
  private final LongUnaryOperator random;
  private final Set<String> votes = new HashSet<>();
  private MonotonicTime electionDeadline;
  private MonotonicTime lastLeaderContact;

  /**
   * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
   */
  Election(NodeState state, LongUnaryOperator random, MonotonicTime now) {
    this.state = state;
    this.random = random;
    // A heartbeat acknowledged before a crash may support the leader's lease, so a restarted node
    // grants no vote for a whole election timeout.
    boolean leaseForgotten = state.seededBugs.contains(SeededBug.VOTE_NOT_PERSISTED);
    lastLeaderContact = leaseForgotten ? MonotonicTime.LONG_AGO : now;
    resetElectionTimeout(now);
  }

  Set<String> votes() {
    return votes;
  }

  void resetElectionTimeout(MonotonicTime now) {
    long timeoutMs = state.config.electionTimeout().ms();
    electionDeadline = now.plus(new TimeSpan(timeoutMs + random.applyAsLong(timeoutMs)));
  }

  boolean isTimedOut(MonotonicTime now) {
    return !now.before(electionDeadline);
  }

  /**
   * Becomes a follower, entering the term if it is newer.
   *
   * @param newLeader the leader, or {@code null} if unknown
   */
  void becomeFollower(long newTerm, String newLeader, MonotonicTime now) {
    if (newTerm > state.term) {
      state.enterTerm(newTerm);
    }
    state.role = RaftNode.Role.FOLLOWER;
    state.leader = newLeader;
    resetElectionTimeout(now);
  }

  /** Records contact with a leader whose term is at least this node's. */
  void onLeaderContact(String leader, long leaderTerm, MonotonicTime now) {
    boolean isFollower = state.role == RaftNode.Role.FOLLOWER;
    if (leaderTerm > state.term || !isFollower || !leader.equals(state.leader)) {
      becomeFollower(leaderTerm, leader, now);
    }
    lastLeaderContact = now;
    resetElectionTimeout(now);
  }

  /**
   * Requests votes from all other members.
   *
   * @return whether this node is elected immediately, being the only member
   */
  boolean start(Campaign campaign) {
    boolean preVote = campaign == Campaign.PRE_VOTE;
    boolean transfer = campaign == Campaign.LEADERSHIP_TRANSFER;
    state.role = preVote ? RaftNode.Role.PRE_CANDIDATE : RaftNode.Role.CANDIDATE;
    state.leader = null;
    votes.clear();
    votes.add(state.self);
    if (!preVote) {
      state.enterTerm(state.term + 1);
      state.voteFor(state.self);
    }
    long term = preVote ? state.term + 1 : state.term;
    for (String member : state.peers()) {
      long lastIndex = state.log.lastIndex();
      long lastTerm = state.log.lastTerm();
      state.send(
          new RaftMessage.RequestVote(
              state.self, member, term, lastIndex, lastTerm, preVote, transfer));
    }
    return hasWonElection();
  }

  /** Returns whether this node has won the election. Starts the election after a won pre-vote. */
  private boolean hasWonElection() {
    long counted = votes.stream().filter(state.members()::contains).count();
    if (counted < state.quorumSize()) {
      return false;
    }
    if (state.role == RaftNode.Role.PRE_CANDIDATE) {
      return start(Campaign.ELECTION);
    }
    return state.role == RaftNode.Role.CANDIDATE;
  }

  /** Grants or denies a vote. A pre-vote request does not change this node's state. */
  void onRequestVote(RaftMessage.RequestVote request, MonotonicTime now) {
    // The leader's lease relies on members in contact with it not voting for another candidate.
    boolean hasLeader =
        !request.leadershipTransfer() && (state.isLeader() || hasRecentLeaderContact(now));
    if (request.preVote()) {
      boolean granted = request.term() > state.term && isUpToDate(request) && !hasLeader;
      state.send(
          new RaftMessage.RequestVoteResponse(
              state.self, request.from(), granted ? request.term() : state.term, granted, true));
      return;
    }
    if (hasLeader) {
      return;
    }
    boolean upToDate = isUpToDate(request);
    if (request.term() > state.term) {
      becomeFollower(request.term(), null, now);
    }
    boolean mayVote = state.votedFor == null || state.votedFor.equals(request.from());
    boolean grants = request.term() == state.term && upToDate && mayVote;
    if (grants) {
      state.voteFor(request.from());
      resetElectionTimeout(now);
    }
    state.send(
        new RaftMessage.RequestVoteResponse(state.self, request.from(), state.term, grants, false));
  }

  private boolean hasRecentLeaderContact(MonotonicTime now) {
    return now.since(lastLeaderContact).compareTo(state.config.electionTimeout()) < 0;
  }

  /**
   * Returns whether the candidate's log is at least as up-to-date as this node's (section 5.4.1 of
   * the paper).
   */
  private boolean isUpToDate(RaftMessage.RequestVote request) {
    long lastTerm = state.log.lastTerm();
    return request.lastLogTerm() > lastTerm
        || (request.lastLogTerm() == lastTerm && request.lastLogIndex() >= state.log.lastIndex())
        || state.seededBugs.contains(SeededBug.VOTE_WITHOUT_LOG_CHECK);
  }

  /**
   * Counts a vote.
   *
   * @return whether this vote makes the node the leader
   */
  boolean onRequestVoteResponse(RaftMessage.RequestVoteResponse response, MonotonicTime now) {
    boolean awaitsPreVote =
        state.role == RaftNode.Role.PRE_CANDIDATE && response.term() == state.term + 1;
    if (response.preVote() && response.granted()) {
      return awaitsPreVote && countVote(response.from());
    }
    if (response.term() > state.term) {
      becomeFollower(response.term(), null, now);
      return false;
    }
    boolean awaitsVote = state.role == RaftNode.Role.CANDIDATE && response.term() == state.term;
    return !response.preVote() && awaitsVote && response.granted() && countVote(response.from());
  }

  private boolean countVote(String voter) {
    votes.add(voter);
    return hasWonElection();
  }
}
