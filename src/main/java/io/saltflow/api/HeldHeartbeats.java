package io.saltflow.api;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds worker heartbeats briefly until a leader can answer them. A worker that is redirected
 * instead tries all other nodes first; the delay of several seconds would hold up every task that
 * waits for the reconciliation of all machines. Not thread-safe: used on the event loop's thread.
 */
public final class HeldHeartbeats extends Routine {
  /**
   * Maximum time to wait for another node to acquire leadership after the leader seems to have
   * failed.
   */
  private static final TimeSpan ELECTION_HOLD = TimeSpan.millis(1500);

  /**
   * Additional time while this node, once elected, reads the records. The sum is well below the
   * worker's request timeout of 4 s.
   */
  private static final TimeSpan RECOVERY_HOLD = TimeSpan.millis(1500);

  /** Bounds the memory, as a heartbeat takes a few kilobytes. */
  private static final int MAX_HELD = 1500;

  /** Maximum number of heartbeats answered in one iteration of the event loop. */
  private static final int MAX_PER_TURN = 50;

  private static final TimeSpan CHECK_INTERVAL = TimeSpan.millis(100);

  private record HeldHeartbeat(MonotonicTime deadline, Runnable answer) {}

  private final EventLoop loop;
  private final Deque<HeldHeartbeat> held = new ArrayDeque<>();
  private boolean checkScheduled;

  /** Number of heartbeats at the head of the queue that are released but not answered yet. */
  private int released;

  /** Whether this node was elected and still reads the records. */
  private boolean recovering;

  /** Creates an empty queue. Heartbeats held when the parent is cancelled stay unanswered. */
  public HeldHeartbeats(Routine parent, EventLoop loop) {
    super(parent);
    this.loop = loop;
  }

  /** Returns whether no more heartbeats can be held. */
  public boolean full() {
    return held.size() >= MAX_HELD;
  }

  /**
   * Holds a heartbeat.
   *
   * @param answer answers the heartbeat according to the state at that time
   */
  public void add(Runnable answer) {
    held.add(new HeldHeartbeat(loop.now().plus(ELECTION_HOLD), answer));
    scheduleCheck(CHECK_INTERVAL);
  }

  /** Extends the hold time while this node, just elected, reads the records. */
  public void onElected() {
    recovering = true;
  }

  /** Releases all held heartbeats once a leader, here or elsewhere, can answer them. */
  public void release() {
    recovering = false;
    released = held.size();
    scheduleCheck(new TimeSpan(0));
  }

  private void scheduleCheck(TimeSpan after) {
    if (!checkScheduled && !held.isEmpty()) {
      checkScheduled = true;
      loop.schedule(after, this, this::answerDue);
    }
  }

  private void answerDue() {
    checkScheduled = false;
    MonotonicTime expiredBefore =
        loop.now().plus(recovering ? RECOVERY_HOLD.times(-1) : new TimeSpan(0));
    for (int answered = 0; answered < MAX_PER_TURN && firstIsDue(expiredBefore); answered++) {
      released = Math.max(0, released - 1);
      held.poll().answer().run();
    }
    scheduleCheck(firstIsDue(expiredBefore) ? new TimeSpan(0) : CHECK_INTERVAL);
  }

  /** Returns whether the oldest heartbeat is due. Later ones have later deadlines. */
  private boolean firstIsDue(MonotonicTime expiredBefore) {
    return !held.isEmpty() && (released > 0 || !expiredBefore.before(held.peek().deadline()));
  }
}
