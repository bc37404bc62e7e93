package io.saltflow.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The state of one node (figure 2 of the paper), shared by the components of {@link RaftNode}. */
final class NodeState {
  final String self;
  final RaftConfig config;

  /** Defects enabled by a test. Empty in production. */
  final Set<SeededBug> seededBugs;

  final RaftLog log;
  final UnstableLog unstable;
  long term;

  /** The candidate that this node voted for in the current term, or {@code null}. */
  String votedFor;

  RaftNode.Role role = RaftNode.Role.FOLLOWER;

  /** The known leader of the current term, or {@code null}. */
  String leader;

  long commitIndex;
  long lastApplied;

  /** A snapshot from the leader that the state machine has not loaded yet, or {@code null}. */
  Snapshot installedSnapshot;

  private final List<RaftMessage> outbox = new ArrayList<>();

  NodeState(String self, RaftConfig config, DurableState durableState, Set<SeededBug> seededBugs) {
    this.self = self;
    this.config = config;
    this.seededBugs = seededBugs;
    log = new RaftLog(durableState.snapshot(), durableState.entries());
    unstable = new UnstableLog(log.lastIndex());
    term = durableState.term();
    votedFor = seededBugs.contains(SeededBug.VOTE_NOT_PERSISTED) ? null : durableState.votedFor();
    commitIndex = durableState.snapshot().index();
    lastApplied = commitIndex;
  }

  boolean isLeader() {
    return role == RaftNode.Role.LEADER;
  }

  /** Returns the members set by the latest membership entry, whether or not it is committed. */
  List<String> members() {
    return log.membersAt(Long.MAX_VALUE);
  }

  /** Returns all members except this node. */
  List<String> peers() {
    return members().stream().filter(member -> !member.equals(self)).toList();
  }

  boolean isMember() {
    return members().contains(self);
  }

  /** Returns the number of members that form a majority. */
  int quorumSize() {
    return members().size() / 2 + 1;
  }

  /** Enters a newer term, in which this node has not voted yet. */
  void enterTerm(long newTerm) {
    term = newTerm;
    votedFor = null;
    unstable.markHardStateChanged();
  }

  void voteFor(String candidate) {
    votedFor = candidate;
    unstable.markHardStateChanged();
  }

  void append(LogEntry entry) {
    log.append(entry);
    unstable.markChangedFrom(entry.index());
  }

  void send(RaftMessage message) {
    outbox.add(message);
  }

  /** Returns and removes the messages queued since the last call. */
  List<RaftMessage> takeOutbox() {
    List<RaftMessage> messages = List.copyOf(outbox);
    outbox.clear();
    return messages;
  }
}
