package io.saltflow.app;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reports of workers that wait a moment for a leader that can answer them. Sent away, a worker asks
 * all other nodes first and is some seconds late, and so is every task that waits for all machines
 * to be accounted for.
 */
final class WaitingReports extends Routine {
  /** Where the leader has ended by all signs: until another has claimed its office. */
  private static final Span FOR_A_LEADER = Span.millis(1500);

  /**
   * Where this node was elected and reads the records. Both together are well below the 4 s that a
   * worker waits for its answer.
   */
  private static final Span FOR_THE_RECORDS = Span.millis(1500);

  /** Reports of some kilobytes each. */
  private static final int MOST = 1500;

  /** Answered in one turn of the loop: each of them costs the leader what any report does. */
  private static final int A_TURN = 50;

  private static final Span LOOK = Span.millis(100);

  private record Waiting(Time until, Runnable answer) {}

  private final Loop loop;
  private final Deque<Waiting> all = new ArrayDeque<>();
  private boolean looking;

  /** Of the first so many what they waited for has come: they are answered, some a turn. */
  private int released;

  /** Whether this node was elected meanwhile: whoever waited for that waits on. */
  private boolean elected;

  WaitingReports(Routine parent, Loop loop) {
    super(parent);
    this.loop = loop;
  }

  boolean full() {
    return all.size() >= MOST;
  }

  /**
   * @param answer answers the report by what is true then
   */
  void add(Runnable answer) {
    all.add(new Waiting(loop.now().plus(FOR_A_LEADER), answer));
    look(LOOK);
  }

  /** This node leads, and reads the records now: whoever waits here waits for those. */
  void elected() {
    elected = true;
  }

  /** There is a leader that can answer, here or elsewhere. */
  void release() {
    elected = false;
    released = all.size();
    look(new Span(0));
  }

  private void look(Span after) {
    if (!looking && !all.isEmpty()) {
      looking = true;
      loop.after(after, this, this::turn);
    }
  }

  private void turn() {
    looking = false;
    Time over = loop.now().plus(elected ? FOR_THE_RECORDS.times(-1) : new Span(0));
    for (int n = 0; n < A_TURN && due(over); n++) {
      released = Math.max(0, released - 1);
      all.poll().answer().run();
    }
    look(due(over) ? new Span(0) : LOOK);
  }

  /** Whether the first is to be answered. They came in this order and wait for the same time. */
  private boolean due(Time over) {
    return !all.isEmpty() && (released > 0 || !over.before(all.peek().until()));
  }
}
