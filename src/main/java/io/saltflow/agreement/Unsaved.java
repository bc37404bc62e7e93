package io.saltflow.agreement;

/** Tracks which part of a node's term, vote, snapshot and log is not durable yet. */
final class Unsaved {
  private static final int ALL = Integer.MAX_VALUE / 2;

  private boolean headChanged;
  private long changedFrom = Long.MAX_VALUE;

  /** Up to this index the node's own log is durable. */
  private long durable;

  /** Up to this index it will be once the save under way is done. */
  private long saving;

  /**
   * @param durable the index up to which the log was read back from the disk
   */
  Unsaved(long durable) {
    this.durable = durable;
    this.saving = durable;
  }

  long durable() {
    return durable;
  }

  /** The term, the vote or the snapshot has changed. */
  void headChanged() {
    headChanged = true;
  }

  /** Entries from this index on are to be written. */
  void changedFrom(long index) {
    changedFrom = Math.min(changedFrom, index);
  }

  /** Entries from this index on were removed or replaced: what is on the disk there is void. */
  void removedFrom(long index) {
    durable = Math.min(durable, index - 1);
    saving = Math.min(saving, index - 1);
    changedFrom(index);
  }

  /** What to write down now; null: nothing. */
  Ready.Save next(NodeState node) {
    Log log = node.log;
    if (!headChanged && changedFrom > log.last()) {
      return null;
    }
    long from = Math.max(log.first(), Math.min(changedFrom, log.last() + 1));
    headChanged = false;
    changedFrom = Long.MAX_VALUE;
    saving = log.last();
    return new Ready.Save(node.term, node.vote, log.snapshot(), from, log.from(from, ALL));
  }

  /** What {@link #next} gave last is durable. */
  void saved(long lastIndex) {
    durable = Math.max(durable, Math.min(saving, lastIndex));
  }
}
