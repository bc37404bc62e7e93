package io.saltflow.model;

/** The version of a key, or the revision of the whole key-value store. */
public record Revision(long number) {
  public static final Revision ABSENT = new Revision(0);
}
