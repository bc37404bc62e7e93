package io.saltflow.model;

/** The term of a leader, which is also the fencing token that workers check. */
public record Term(long number) implements Comparable<Term> {
  public static final Term NONE = new Term(0);

  @Override
  public int compareTo(Term other) {
    return Long.compareUnsigned(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
