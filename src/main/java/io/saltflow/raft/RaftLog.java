package io.saltflow.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The in-memory log, consisting of a snapshot and the entries after it (section 7 of the paper).
 */
final class RaftLog {
  private Snapshot snapshot;
  private final List<LogEntry> entries;

  RaftLog(Snapshot snapshot, List<LogEntry> entries) {
    this.snapshot = snapshot;
    this.entries = new ArrayList<>(entries);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long firstIndex() {
    return snapshot.index() + 1;
  }

  long lastIndex() {
    return snapshot.index() + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the term of the entry at an index, or -1 if the log does not hold it. */
  long termAt(long index) {
    if (index == snapshot.index()) {
      return snapshot.term();
    }
    return index < firstIndex() || index > lastIndex() ? -1 : entryAt(index).term();
  }

  LogEntry entryAt(long index) {
    return entries.get((int) (index - firstIndex()));
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new SafetyViolationException(
          "cannot append entry " + entry.index() + " after " + lastIndex());
    }
    entries.add(entry);
  }

  /** Removes the entries at and after an index. */
  void truncateFrom(long from) {
    entries.subList((int) (from - firstIndex()), entries.size()).clear();
  }

  /** Returns all entries after the snapshot. */
  List<LogEntry> entries() {
    return List.copyOf(entries);
  }

  /** Returns up to {@code maxEntries} entries, starting at an index. */
  List<LogEntry> entriesFrom(long index, int maxEntries) {
    int offset = (int) (index - firstIndex());
    return List.copyOf(entries.subList(offset, Math.min(entries.size(), offset + maxEntries)));
  }

  /**
   * Replaces a prefix of the log by a newer snapshot. Later entries are kept if the log agrees with
   * the snapshot at its last index.
   */
  void compact(Snapshot next) {
    if (next.index() <= snapshot.index()) {
      return;
    }
    boolean matchesSnapshot = termAt(next.index()) == next.term();
    if (matchesSnapshot) {
      entries.subList(0, (int) (next.index() - snapshot.index())).clear();
    } else {
      entries.clear();
    }
    snapshot = next;
  }

  /** Returns the members set by the last membership entry up to an index, committed or not. */
  List<String> membersAt(long index) {
    for (int position = (int) Math.min(entries.size(), index - snapshot.index()) - 1;
        position >= 0;
        position--) {
      if (entries.get(position).members() != null) {
        return entries.get(position).members();
      }
    }
    return snapshot.members();
  }

  /** Returns the index of the last membership entry after the snapshot, or 0 if there is none. */
  long lastMembershipChange() {
    for (int position = entries.size() - 1; position >= 0; position--) {
      if (entries.get(position).members() != null) {
        return entries.get(position).index();
      }
    }
    return 0;
  }
}
