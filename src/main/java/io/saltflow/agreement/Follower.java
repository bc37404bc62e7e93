package io.saltflow.agreement;

import io.saltflow.protocol.Time;
import java.util.Arrays;
import java.util.List;

/** The follower's side: takes entries and snapshots of the leader (sections 5.3 and 7). */
final class Follower {
  private final NodeState node;
  private final Election election;

  /** The parts of a snapshot that have arrived so far, and its last index. */
  private byte[] arriving = new byte[0];

  private long arrivingIndex;

  Follower(NodeState node, Election election) {
    this.node = node;
    this.election = election;
  }

  void onAppend(Message.Append m, Time now) {
    if (m.term() < node.term) {
      refuse(m, node.log.last());
      return;
    }
    election.heardLeader(m.from(), m.term(), now);
    long snapshotIndex = node.log.snapshot().index();
    long last = m.prevIndex() + m.entries().size();
    if (m.prevIndex() < snapshotIndex) {
      // Entries that are in the snapshot are committed: they are the leader's too.
      take(m.entries().stream().filter(e -> e.index() > snapshotIndex).toList());
      accept(m, Math.max(last, snapshotIndex));
    } else if (node.log.term(m.prevIndex()) != m.prevTerm()) {
      refuse(m, mayMatch(m));
    } else {
      take(m.entries());
      accept(m, last);
    }
  }

  /** Where the logs may agree: before all entries of the term that does not match. */
  private long mayMatch(Message.Append m) {
    Log log = node.log;
    long at = Math.min(log.last(), m.prevIndex() - 1);
    long bad = log.term(m.prevIndex());
    while (at > log.snapshot().index() && log.term(at) == bad) {
      at--;
    }
    return Math.max(node.commit, at);
  }

  private void refuse(Message.Append m, long mayMatch) {
    node.send(new Message.Appended(node.self, m.from(), node.term, false, mayMatch, m.round()));
  }

  private void accept(Message.Append m, long match) {
    node.commit = Math.max(node.commit, Math.min(m.commit(), match));
    matches(m.from(), match, m.round());
  }

  private void matches(String leader, long match, long round) {
    node.send(new Message.Appended(node.self, leader, node.term, true, match, round));
  }

  private void take(List<Entry> entries) {
    for (Entry entry : entries) {
      if (entry.index() <= node.log.last()) {
        if (isSame(entry)) {
          continue;
        }
        replaceFrom(entry.index());
      }
      node.append(entry);
    }
  }

  private boolean isSame(Entry entry) {
    return node.log.term(entry.index()) == entry.term()
        || node.mistakes.contains(Raft.Mistake.CONFLICT_KEPT);
  }

  private void replaceFrom(long index) {
    if (index <= node.commit) {
      throw new IllegalStateException("a committed entry would be replaced: " + index);
    }
    node.log.cut(index);
    node.unsaved.removedFrom(index);
  }

  void onPart(Message.Part m, Time now) {
    if (m.term() < node.term) {
      partTaken(m, 0);
      return;
    }
    election.heardLeader(m.from(), m.term(), now);
    if (m.lastIndex() <= node.commit) {
      matches(m.from(), node.commit, m.round());
      return;
    }
    if (arrivingIndex != m.lastIndex()) {
      arriving = new byte[0];
      arrivingIndex = m.lastIndex();
    }
    if (m.offset() == arriving.length) {
      byte[] longer = Arrays.copyOf(arriving, arriving.length + m.bytes().length);
      System.arraycopy(m.bytes(), 0, longer, arriving.length, m.bytes().length);
      arriving = longer;
      if (m.last()) {
        install(new Snapshot(m.lastIndex(), m.lastTerm(), m.members(), arriving));
        matches(m.from(), m.lastIndex(), m.round());
        return;
      }
    }
    // A transfer that was interrupted goes on where it was.
    partTaken(m, arriving.length);
  }

  private void partTaken(Message.Part m, long offset) {
    node.send(
        new Message.PartTaken(node.self, m.from(), node.term, m.lastIndex(), offset, m.round()));
  }

  private void install(Snapshot snapshot) {
    node.log.compact(snapshot);
    arriving = new byte[0];
    arrivingIndex = 0;
    node.commit = snapshot.index();
    node.applied = snapshot.index();
    node.installed = snapshot;
    node.unsaved.headChanged();
    node.unsaved.removedFrom(snapshot.index() + 1);
  }
}
