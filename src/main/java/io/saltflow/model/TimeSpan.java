package io.saltflow.model;

/** A length of time. */
public record TimeSpan(long ms) implements Comparable<TimeSpan> {
  /** Maximum drift between the monotonic clocks of two machines, as a fraction. */
  private static final double MAX_CLOCK_DRIFT = 0.0005;

  /** Returns a span of seconds, rounded to milliseconds. */
  public static TimeSpan seconds(double seconds) {
    return new TimeSpan(Math.round(seconds * 1000));
  }

  /** Returns a span of milliseconds. */
  public static TimeSpan millis(long ms) {
    return new TimeSpan(ms);
  }

  /** Returns the length in seconds. */
  public double toSeconds() {
    return ms / 1000.0;
  }

  /** Returns the sum of two spans. */
  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(ms + other.ms);
  }

  /** Returns the difference of two spans, which may be negative. */
  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(ms - other.ms);
  }

  /** Returns this span multiplied by a factor, rounded to milliseconds. */
  public TimeSpan times(double factor) {
    return new TimeSpan(Math.round(ms * factor));
  }

  /** Returns the shortest span that a remote clock may measure while this span passes locally. */
  public TimeSpan minimumOnRemoteClock() {
    return new TimeSpan((long) Math.floor(ms * (1 - 2 * MAX_CLOCK_DRIFT)));
  }

  /** Returns how long to wait locally until this span has certainly passed on a remote clock. */
  public TimeSpan maximumOnRemoteClock() {
    return new TimeSpan((long) Math.ceil(ms * (1 + 2 * MAX_CLOCK_DRIFT)));
  }

  /** Returns whether this span is strictly longer. */
  public boolean longerThan(TimeSpan other) {
    return ms > other.ms;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Long.compare(ms, other.ms);
  }
}
