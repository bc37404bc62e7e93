package io.saltflow.levels;

/** A level of the stored state, from 1 on. */
public record Level(int number) implements Comparable<Level> {
  /** That of the builds that knew of no levels; whoever has announced nothing counts as one. */
  public static final Level FIRST = new Level(1);

  /** From here on every build announces itself before it acts. */
  public static final Level ANNOUNCED = new Level(3);

  @Override
  public int compareTo(Level other) {
    return Integer.compare(number, other.number);
  }

  public boolean below(Level other) {
    return number < other.number;
  }

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
