package io.saltflow.raft;

/**
 * Tracks which changes to the hard state (term, vote, snapshot) and the log are not durable yet.
 */
final class UnstableLog {
  private static final int UNLIMITED = Integer.MAX_VALUE / 2;

  private boolean hardStateChanged;
  private long changedFrom = Long.MAX_VALUE;

  /** The index up to which this node's log is durable. */
  private long durableIndex;

  /** The index up to which the log will be durable once the current save completes. */
  private long savingIndex;

  /**
   * @param durableIndex the index up to which the log was recovered from disk
   */
  UnstableLog(long durableIndex) {
    this.durableIndex = durableIndex;
    this.savingIndex = durableIndex;
  }

  long durableIndex() {
    return durableIndex;
  }

  /** Records that the term, the vote or the snapshot changed. */
  void markHardStateChanged() {
    hardStateChanged = true;
  }

  /** Records that the entries from an index on must be written. */
  void markChangedFrom(long index) {
    changedFrom = Math.min(changedFrom, index);
  }

  /** Records that the entries from an index on were removed or replaced. */
  void markTruncatedFrom(long index) {
    durableIndex = Math.min(durableIndex, index - 1);
    savingIndex = Math.min(savingIndex, index - 1);
    markChangedFrom(index);
  }

  /** Returns the changes to persist, or {@code null} if there are none. */
  Ready.Save nextSave(NodeState state) {
    RaftLog log = state.log;
    if (!hardStateChanged && changedFrom > log.lastIndex()) {
      return null;
    }
    long from = Math.max(log.firstIndex(), Math.min(changedFrom, log.lastIndex() + 1));
    hardStateChanged = false;
    changedFrom = Long.MAX_VALUE;
    savingIndex = log.lastIndex();
    return new Ready.Save(
        state.term, state.votedFor, log.snapshot(), from, log.entriesFrom(from, UNLIMITED));
  }

  /** Records that the last {@link #nextSave} is durable. */
  void onSaved(long lastIndex) {
    durableIndex = Math.max(durableIndex, Math.min(savingIndex, lastIndex));
  }
}
