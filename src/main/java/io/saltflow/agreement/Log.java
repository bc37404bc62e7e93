package io.saltflow.agreement;

import java.util.ArrayList;
import java.util.List;

/** The entries behind a snapshot, in memory; what of them is durable is the shell's to say. */
final class Log {
  private Snapshot snapshot;
  private final List<Entry> entries;

  Log(Snapshot snapshot, List<Entry> entries) {
    this.snapshot = snapshot;
    this.entries = new ArrayList<>(entries);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long first() {
    return snapshot.index() + 1;
  }

  long last() {
    return snapshot.index() + entries.size();
  }

  long lastTerm() {
    return term(last());
  }

  /** The term of an entry; -1: it is not there, or no more. */
  long term(long index) {
    if (index == snapshot.index()) {
      return snapshot.term();
    }
    return index < first() || index > last() ? -1 : at(index).term();
  }

  Entry at(long index) {
    return entries.get((int) (index - first()));
  }

  void add(Entry e) {
    if (e.index() != last() + 1) {
      throw new IllegalStateException("entry " + e.index() + " after " + last());
    }
    entries.add(e);
  }

  /** Entries from that one on go. */
  void cut(long from) {
    entries.subList((int) (from - first()), entries.size()).clear();
  }

  /** So many from that one on. */
  List<Entry> from(long index, int most) {
    int at = (int) (index - first());
    return List.copyOf(entries.subList(at, Math.min(entries.size(), at + most)));
  }

  /** What came before is in the snapshot now; entries behind it stay if they follow upon it. */
  void compact(Snapshot next) {
    if (next.index() <= snapshot.index()) {
      return;
    }
    boolean follows = term(next.index()) == next.term();
    if (follows) {
      entries.subList(0, (int) (next.index() - snapshot.index())).clear();
    } else {
      entries.clear();
    }
    snapshot = next;
  }

  /** Who is in the group by the last entry that says so, committed or not, up to an index. */
  List<String> members(long upTo) {
    for (int i = (int) Math.min(entries.size(), upTo - snapshot.index()) - 1; i >= 0; i--) {
      if (entries.get(i).members() != null) {
        return entries.get(i).members();
      }
    }
    return snapshot.members();
  }

  /** The index of the last change of membership behind the snapshot; 0: there is none. */
  long lastChange() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).members() != null) {
        return entries.get(i).index();
      }
    }
    return 0;
  }
}
