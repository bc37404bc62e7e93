package io.saltflow.leader;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;

/**
 * A term of leadership.
 *
 * @param number the fencing token of every write and command of this term
 * @param since when this controller was elected, on its monotonic clock
 * @param wallClockOffsetMs the wall clock minus the monotonic clock at the election, in
 *     milliseconds
 */
record LeaderTerm(Term number, MonotonicTime since, long wallClockOffsetMs) {
  static LeaderTerm startingAt(Term number, MonotonicTime now, long wallClockMs) {
    return new LeaderTerm(number, now, wallClockMs - now.ms());
  }

  /** Converts a time of the monotonic clock to milliseconds since the epoch. */
  long wallClockMs(MonotonicTime time) {
    return time.ms() + wallClockOffsetMs;
  }

  /** Converts milliseconds since the epoch to a time of the monotonic clock. */
  MonotonicTime monotonicTime(long wallClockMs) {
    return new MonotonicTime(wallClockMs - wallClockOffsetMs);
  }
}
