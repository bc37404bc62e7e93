package io.saltflow.agreement;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * Leader election (section 5.2 of the paper) with pre-vote (section 9.6 of the dissertation): the
 * election timeout, requests for votes and the count of votes.
 */
final class Election {
  private final NodeState node;
  private final LongUnaryOperator random;
  private final Set<String> votes = new HashSet<>();
  private Time timeoutAt;
  private Time heardLeaderAt;

  /**
   * @param random a number below the given one
   */
  Election(NodeState node, LongUnaryOperator random, Time now) {
    this.node = node;
    this.random = random;
    // It may have promised a leader's lease before it crashed: it promises it anew.
    boolean forgotten = node.mistakes.contains(Raft.Mistake.VOTE_FORGOTTEN);
    heardLeaderAt = forgotten ? Time.LONG_AGO : now;
    restartTimeout(now);
  }

  Set<String> votes() {
    return votes;
  }

  void restartTimeout(Time now) {
    long span = node.pace.election().ms();
    timeoutAt = now.plus(new Span(span + random.applyAsLong(span)));
  }

  boolean timedOut(Time now) {
    return !now.before(timeoutAt);
  }

  /** Becomes a follower, of a newer term perhaps; the leader may be null: not known. */
  void follow(long newTerm, String newLeader, Time now) {
    if (newTerm > node.term) {
      node.enterTerm(newTerm);
    }
    node.role = Raft.Role.FOLLOWER;
    node.leader = newLeader;
    restartTimeout(now);
  }

  /** A message of a term's leader came. */
  void heardLeader(String leader, long itsTerm, Time now) {
    boolean isFollower = node.role == Raft.Role.FOLLOWER;
    if (itsTerm > node.term || !isFollower || !leader.equals(node.leader)) {
      follow(itsTerm, leader, now);
    }
    heardLeaderAt = now;
    restartTimeout(now);
  }

  /**
   * Asks all others for their votes.
   *
   * @param preVote only asks whether it would be elected, and raises no term
   * @return whether it is elected already, being the only member
   */
  boolean campaign(boolean preVote, boolean transfer) {
    node.role = preVote ? Raft.Role.CANDIDATE_IN_DOUBT : Raft.Role.CANDIDATE;
    node.leader = null;
    votes.clear();
    votes.add(node.self);
    if (!preVote) {
      node.enterTerm(node.term + 1);
      node.voteFor(node.self);
    }
    long term = preVote ? node.term + 1 : node.term;
    for (String member : node.others()) {
      long lastIndex = node.log.last();
      long lastTerm = node.log.lastTerm();
      node.send(
          new Message.VoteAsked(node.self, member, term, lastIndex, lastTerm, preVote, transfer));
    }
    return elected();
  }

  /** Counts the votes; a pre-vote that is won starts the election itself. */
  private boolean elected() {
    long counted = votes.stream().filter(node.members()::contains).count();
    if (counted < node.majority()) {
      return false;
    }
    if (node.role == Raft.Role.CANDIDATE_IN_DOUBT) {
      return campaign(false, false);
    }
    return node.role == Raft.Role.CANDIDATE;
  }

  void onVoteRequest(Message.VoteAsked m, Time now) {
    // Whoever hears a leader elects no other: that leader's lease rests on it.
    boolean led = !m.transfer() && (node.leads() || heardLeaderLately(now));
    if (m.pre()) {
      boolean would = m.term() > node.term && isUpToDate(m) && !led;
      node.send(new Message.Voted(node.self, m.from(), would ? m.term() : node.term, would, true));
      return;
    }
    if (led) {
      return;
    }
    boolean upToDate = isUpToDate(m);
    if (m.term() > node.term) {
      follow(m.term(), null, now);
    }
    boolean free = node.vote == null || node.vote.equals(m.from());
    boolean grants = m.term() == node.term && upToDate && free;
    if (grants) {
      node.voteFor(m.from());
      restartTimeout(now);
    }
    node.send(new Message.Voted(node.self, m.from(), node.term, grants, false));
  }

  private boolean heardLeaderLately(Time now) {
    return now.since(heardLeaderAt).compareTo(node.pace.election()) < 0;
  }

  /** Whether the candidate's log is at least as complete as this node's (section 5.4.1). */
  private boolean isUpToDate(Message.VoteAsked m) {
    long lastTerm = node.log.lastTerm();
    return m.lastTerm() > lastTerm
        || (m.lastTerm() == lastTerm && m.lastIndex() >= node.log.last())
        || node.mistakes.contains(Raft.Mistake.LOG_NOT_COMPARED);
  }

  /**
   * The answer to a request for a vote.
   *
   * @return whether this node is elected by it
   */
  boolean onVote(Message.Voted m, Time now) {
    boolean preVoteWanted = node.role == Raft.Role.CANDIDATE_IN_DOUBT && m.term() == node.term + 1;
    if (m.pre() && m.granted()) {
      return preVoteWanted && count(m.from());
    }
    if (m.term() > node.term) {
      follow(m.term(), null, now);
      return false;
    }
    boolean wanted = node.role == Raft.Role.CANDIDATE && m.term() == node.term;
    return !m.pre() && wanted && m.granted() && count(m.from());
  }

  private boolean count(String voter) {
    votes.add(voter);
    return elected();
  }
}
