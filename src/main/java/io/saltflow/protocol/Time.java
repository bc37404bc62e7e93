package io.saltflow.protocol;

/** A reading of this process's steady clock. Readings of two machines are not comparable. */
public record Time(long ms) implements Comparable<Time> {
  public static final Time NEVER = new Time(Long.MAX_VALUE / 4);
  public static final Time LONG_AGO = new Time(Long.MIN_VALUE / 4);

  public Time plus(Span span) {
    return new Time(ms + span.ms());
  }

  public Span since(Time earlier) {
    return new Span(ms - earlier.ms);
  }

  public boolean before(Time other) {
    return ms < other.ms;
  }

  public boolean after(Time other) {
    return ms > other.ms;
  }

  public static Time later(Time a, Time b) {
    return a.ms >= b.ms ? a : b;
  }

  public static Time earlier(Time a, Time b) {
    return a.ms <= b.ms ? a : b;
  }

  @Override
  public int compareTo(Time other) {
    return Long.compare(ms, other.ms);
  }
}
