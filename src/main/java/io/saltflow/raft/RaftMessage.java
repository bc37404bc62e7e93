package io.saltflow.raft;

import java.util.List;

/**
 * A message between two members of a Raft group. The messages are the remote procedure calls of
 * figure 2 of the Raft paper and of the dissertation, split into one-way requests and responses.
 * {@link RaftMessageCodec} maps each to a record of the wire schema, which uses different names.
 */
public sealed interface RaftMessage {
  /** Returns the sending member. */
  String from();

  /** Returns the receiving member. */
  String to();

  /** Returns the sender's term, or for a pre-vote the term that the candidate would enter. */
  long term();

  /**
   * A candidate's request for a vote (section 5.2 of the paper).
   *
   * @param preVote whether the candidate only asks if the vote would be granted, without entering
   *     the term (section 9.6 of the dissertation)
   * @param leadershipTransfer whether the leader requested this election, so that voters ignore its
   *     lease
   */
  record RequestVote(
      String from,
      String to,
      long term,
      long lastLogIndex,
      long lastLogTerm,
      boolean preVote,
      boolean leadershipTransfer)
      implements RaftMessage {}

  /** The response to {@link RequestVote}. */
  record RequestVoteResponse(String from, String to, long term, boolean granted, boolean preVote)
      implements RaftMessage {}

  /**
   * The leader's request to append the entries after {@code prevLogIndex}, or a heartbeat if there
   * are no entries (section 5.3 of the paper).
   *
   * @param round the leader's heartbeat round, which the response echoes
   */
  record AppendEntries(
      String from,
      String to,
      long term,
      long prevLogIndex,
      long prevLogTerm,
      List<LogEntry> entries,
      long leaderCommit,
      long round)
      implements RaftMessage {}

  /**
   * The response to {@link AppendEntries} and to the last chunk of a snapshot.
   *
   * @param matchIndex on success the index up to which the follower's durable log matches the
   *     leader's, otherwise the index that the leader should try next
   */
  record AppendEntriesResponse(
      String from, String to, long term, boolean success, long matchIndex, long round)
      implements RaftMessage {}

  /**
   * A snapshot chunk for a follower that needs entries which the leader's log no longer holds
   * (section 7 of the paper).
   *
   * @param offset the chunk's position within the snapshot, in bytes
   * @param done whether it is the last chunk
   */
  record InstallSnapshot(
      String from,
      String to,
      long term,
      long lastIncludedIndex,
      long lastIncludedTerm,
      List<String> members,
      long offset,
      byte[] data,
      boolean done,
      long round)
      implements RaftMessage {}

  /**
   * The response to {@link InstallSnapshot}.
   *
   * @param offset the number of snapshot bytes that the follower has, where the next chunk begins
   */
  record InstallSnapshotResponse(
      String from, String to, long term, long lastIncludedIndex, long offset, long round)
      implements RaftMessage {}

  /** The leader's request to start an election immediately (section 3.10 of the dissertation). */
  record TimeoutNow(String from, String to, long term) implements RaftMessage {}
}
