package io.saltflow.protocol;

/** A length of time. */
public record Span(long ms) implements Comparable<Span> {
  /** The steady clocks of two machines drift apart by at most this part. */
  private static final double DRIFT = 0.0005;

  public static Span seconds(double seconds) {
    return new Span(Math.round(seconds * 1000));
  }

  public static Span millis(long ms) {
    return new Span(ms);
  }

  public double toSeconds() {
    return ms / 1000.0;
  }

  public Span plus(Span other) {
    return new Span(ms + other.ms);
  }

  public Span minus(Span other) {
    return new Span(ms - other.ms);
  }

  public Span times(double factor) {
    return new Span(Math.round(ms * factor));
  }

  /** The least of this span that may have passed elsewhere, by our clock. */
  public Span atLeastElsewhere() {
    return new Span((long) Math.floor(ms * (1 - 2 * DRIFT)));
  }

  /** How long to wait here until this span has certainly passed elsewhere. */
  public Span certainlyElsewhere() {
    return new Span((long) Math.ceil(ms * (1 + 2 * DRIFT)));
  }

  public boolean longerThan(Span other) {
    return ms > other.ms;
  }

  @Override
  public int compareTo(Span other) {
    return Long.compare(ms, other.ms);
  }
}
