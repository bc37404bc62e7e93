package io.saltflow.agreement;

import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.List;

/**
 * Linearizable reads (section 6.4 of the dissertation): each waits until a majority has answered a
 * round of heartbeats that was sent after it came.
 */
final class Reads {
  private static final int MOST_PENDING = 1024;

  private record Pending(long number, long round) {}

  private final NodeState node;
  private final Replication replication;
  private final List<Pending> pending = new ArrayList<>();
  private final List<Ready.Read> readable = new ArrayList<>();

  Reads(NodeState node, Replication replication) {
    this.node = node;
    this.replication = replication;
  }

  boolean full() {
    return pending.size() >= MOST_PENDING;
  }

  void clear() {
    pending.clear();
  }

  /** The read may be answered once all that is committed now is applied. */
  void allow(long number) {
    readable.add(new Ready.Read(number, node.commit));
  }

  /** The read waits for the answers to the next round of heartbeats. */
  void awaitNextRound(long number) {
    pending.add(new Pending(number, replication.round() + 1));
  }

  /** Allows the reads whose round a majority has answered. */
  void allowAnswered(Time now) {
    if (!node.leads()) {
      return;
    }
    Time answered = replication.majorityAnswered(now);
    List<Pending> done = new ArrayList<>();
    for (Pending read : pending) {
      Time sent = replication.sentAt(read.round);
      if (sent != null && !answered.before(sent)) {
        allow(read.number);
        done.add(read);
      }
    }
    pending.removeAll(done);
  }

  /** The reads that may be answered, since the last call. */
  List<Ready.Read> take() {
    List<Ready.Read> out = List.copyOf(readable);
    readable.clear();
    return out;
  }
}
