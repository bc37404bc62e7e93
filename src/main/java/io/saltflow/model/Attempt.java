package io.saltflow.model;

/**
 * Number of one attempt at a task. It is unique across leaders because its upper bits hold the
 * term.
 */
public record Attempt(long number) {
  private static final int SEQUENCE_BITS = 32;

  /** Returns the attempt with a sequence number that is unique within the term. */
  public static Attempt of(Term term, long sequence) {
    return new Attempt((term.number() << SEQUENCE_BITS) | sequence);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
