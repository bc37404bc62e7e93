package io.saltflow.protocol;

/** A version of a key, or a revision of the whole state service. */
public record Stamp(long number) {
  public static final Stamp ABSENT = new Stamp(0);
}
