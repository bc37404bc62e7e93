package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;
import java.util.Arrays;
import java.util.List;

/**
 * The follower's side of replication, which appends the leader's entries (section 5.3 of the paper)
 * and installs its snapshots (section 7).
 */
final class Follower {
  private final NodeState state;
  private final Election election;

  /**
   * The data received so far of the snapshot whose last index is {@link #receivedSnapshotIndex}.
   */
  private byte[] receivedSnapshot = new byte[0];

  private long receivedSnapshotIndex;

  Follower(NodeState state, Election election) {
    this.state = state;
    this.election = election;
  }

  /** Appends entries, or rejects them if the logs differ at the preceding entry. */
  void onAppendEntries(RaftMessage.AppendEntries request, MonotonicTime now) {
    if (request.term() < state.term) {
      reject(request, state.log.lastIndex());
      return;
    }
    election.onLeaderContact(request.from(), request.term(), now);
    long snapshotIndex = state.log.snapshot().index();
    long lastNewIndex = request.prevLogIndex() + request.entries().size();
    if (request.prevLogIndex() < snapshotIndex) {
      // Entries covered by the snapshot are committed, so they match the leader's.
      appendMissing(request.entries().stream().filter(e -> e.index() > snapshotIndex).toList());
      accept(request, Math.max(lastNewIndex, snapshotIndex));
    } else if (state.log.termAt(request.prevLogIndex()) != request.prevLogTerm()) {
      reject(request, conflictHint(request));
    } else {
      appendMissing(request.entries());
      accept(request, lastNewIndex);
    }
  }

  /**
   * Returns the index that the leader should try next. It precedes all entries of the conflicting
   * term, which saves a round trip per entry (end of section 5.3 of the paper).
   */
  private long conflictHint(RaftMessage.AppendEntries request) {
    RaftLog log = state.log;
    long index = Math.min(log.lastIndex(), request.prevLogIndex() - 1);
    long conflictingTerm = log.termAt(request.prevLogIndex());
    while (index > log.snapshot().index() && log.termAt(index) == conflictingTerm) {
      index--;
    }
    return Math.max(state.commitIndex, index);
  }

  private void reject(RaftMessage.AppendEntries request, long hint) {
    state.send(
        new RaftMessage.AppendEntriesResponse(
            state.self, request.from(), state.term, false, hint, request.round()));
  }

  private void accept(RaftMessage.AppendEntries request, long matchIndex) {
    state.commitIndex = Math.max(state.commitIndex, Math.min(request.leaderCommit(), matchIndex));
    acknowledge(request.from(), matchIndex, request.round());
  }

  private void acknowledge(String leader, long matchIndex, long round) {
    state.send(
        new RaftMessage.AppendEntriesResponse(
            state.self, leader, state.term, true, matchIndex, round));
  }

  private void appendMissing(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      if (entry.index() <= state.log.lastIndex()) {
        if (matchesLog(entry)) {
          continue;
        }
        truncateConflict(entry.index());
      }
      state.append(entry);
    }
  }

  private boolean matchesLog(LogEntry entry) {
    return state.log.termAt(entry.index()) == entry.term()
        || state.seededBugs.contains(SeededBug.CONFLICT_NOT_TRUNCATED);
  }

  private void truncateConflict(long index) {
    if (index <= state.commitIndex) {
      throw new SafetyViolationException("committed entry would be replaced at index " + index);
    }
    state.log.truncateFrom(index);
    state.unstable.markTruncatedFrom(index);
  }

  /** Receives a snapshot chunk. The last chunk installs the snapshot. */
  void onInstallSnapshot(RaftMessage.InstallSnapshot request, MonotonicTime now) {
    if (request.term() < state.term) {
      acknowledgeChunk(request, 0);
      return;
    }
    election.onLeaderContact(request.from(), request.term(), now);
    if (request.lastIncludedIndex() <= state.commitIndex) {
      acknowledge(request.from(), state.commitIndex, request.round());
      return;
    }
    if (receivedSnapshotIndex != request.lastIncludedIndex()) {
      receivedSnapshot = new byte[0];
      receivedSnapshotIndex = request.lastIncludedIndex();
    }
    if (request.offset() == receivedSnapshot.length) {
      byte[] longer =
          Arrays.copyOf(receivedSnapshot, receivedSnapshot.length + request.data().length);
      System.arraycopy(request.data(), 0, longer, receivedSnapshot.length, request.data().length);
      receivedSnapshot = longer;
      if (request.done()) {
        install(
            new Snapshot(
                request.lastIncludedIndex(),
                request.lastIncludedTerm(),
                request.members(),
                receivedSnapshot));
        acknowledge(request.from(), request.lastIncludedIndex(), request.round());
        return;
      }
    }
    // Tells the leader where to continue, including after an interrupted transfer.
    acknowledgeChunk(request, receivedSnapshot.length);
  }

  private void acknowledgeChunk(RaftMessage.InstallSnapshot request, long offset) {
    state.send(
        new RaftMessage.InstallSnapshotResponse(
            state.self,
            request.from(),
            state.term,
            request.lastIncludedIndex(),
            offset,
            request.round()));
  }

  private void install(Snapshot snapshot) {
    state.log.compact(snapshot);
    receivedSnapshot = new byte[0];
    receivedSnapshotIndex = 0;
    state.commitIndex = snapshot.index();
    state.lastApplied = snapshot.index();
    state.installedSnapshot = snapshot;
    state.unstable.markHardStateChanged();
    state.unstable.markTruncatedFrom(snapshot.index() + 1);
  }
}
