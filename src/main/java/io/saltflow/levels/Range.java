package io.saltflow.levels;

/** What a build can read and act on: all levels from the one to the other. */
public record Range(Level from, Level to) {
  /** This build's. */
  public static final Range OURS = new Range(Level.FIRST, Level.ANNOUNCED);

  /** What is known of a controller that announces nothing. */
  public static final Range UNANNOUNCED = new Range(Level.FIRST, Level.FIRST);

  public Range {
    if (to.below(from)) {
      throw new IllegalArgumentException("from " + from + " to " + to);
    }
  }

  public boolean has(Level level) {
    return !level.below(from) && !to.below(level);
  }

  @Override
  public String toString() {
    return from.equals(to) ? from.toString() : from + " to " + to;
  }
}
