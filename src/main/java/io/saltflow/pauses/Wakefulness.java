package io.saltflow.pauses;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;

/**
 * Finds standstills from two clocks that are read again and again by a process that never waits for
 * longer than {@link #LOOK_EVERY}.
 *
 * <p>The steady clock alone is not enough: a machine that its host suspends may come back with that
 * clock where it was, and its leases would look as fresh as before. The time of day is set right
 * again, so it gives that away; but as it may also be set for other reasons, what it shows is only
 * ever taken for a reason to do less. Nothing is held to be over, and nothing starts, because of
 * it.
 */
public final class Wakefulness {
  /** A process that is awake looks at the clocks at least this often. */
  public static final Span LOOK_EVERY = Span.seconds(1);

  /**
   * From here on it is a standstill: as long as users wait for the answer to a poll. Shorter ones
   * happen on a part of a core whenever much comes at once.
   */
  static final Span LEAST = Span.seconds(2);

  private final Span daySkew;
  private boolean looked;
  private Time steady = Time.LONG_AGO;
  private long wallMs;

  /**
   * @param daySkew by how much the time of day may be off the true time, either way
   */
  public Wakefulness(Span daySkew) {
    this.daySkew = daySkew;
  }

  /**
   * Both clocks now; the standstill that has just ended, or null: it was awake.
   *
   * @param wallMs the time of day in milliseconds
   */
  public Standstill look(Time steadyNow, long wallMs) {
    Span bySteady = looked ? steadyNow.since(steady) : new Span(0);
    Span byDay = looked ? Span.millis(wallMs - this.wallMs) : new Span(0);
    looked = true;
    steady = steadyNow;
    this.wallMs = wallMs;
    // The time of day may go from one end of its bound to the other meanwhile.
    Span unexplained = byDay.minus(bySteady).minus(daySkew.times(2));
    boolean stopped = !LEAST.longerThan(unexplained);
    if (!stopped && LEAST.longerThan(bySteady)) {
      return null;
    }
    return new Standstill(bySteady, byDay, stopped ? byDay.minus(bySteady) : new Span(0));
  }
}
