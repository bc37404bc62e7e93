package io.saltflow.model;

/** A reading of this process's monotonic clock. Readings from two machines are not comparable. */
public record MonotonicTime(long ms) implements Comparable<MonotonicTime> {
  public static final MonotonicTime NEVER = new MonotonicTime(Long.MAX_VALUE / 4);
  public static final MonotonicTime LONG_AGO = new MonotonicTime(Long.MIN_VALUE / 4);

  /** Returns the time that is later by the given span. */
  public MonotonicTime plus(TimeSpan span) {
    return new MonotonicTime(ms + span.ms());
  }

  /** Returns the span from an earlier reading to this one. */
  public TimeSpan since(MonotonicTime earlier) {
    return new TimeSpan(ms - earlier.ms);
  }

  /** Returns whether this reading is strictly earlier. */
  public boolean before(MonotonicTime other) {
    return ms < other.ms;
  }

  /** Returns whether this reading is strictly later. */
  public boolean after(MonotonicTime other) {
    return ms > other.ms;
  }

  /** Returns the later of two readings. */
  public static MonotonicTime later(MonotonicTime first, MonotonicTime second) {
    return first.ms >= second.ms ? first : second;
  }

  /** Returns the earlier of two readings. */
  public static MonotonicTime earlier(MonotonicTime first, MonotonicTime second) {
    return first.ms <= second.ms ? first : second;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(ms, other.ms);
  }
}
