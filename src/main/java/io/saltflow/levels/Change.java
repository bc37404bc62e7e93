package io.saltflow.levels;

/** What differs from one level to the next. Behaviours ask by name whether they may be used. */
public enum Change {
  /**
   * In records: many jobs under one key, {@code live/~NAME}. A former reader takes the key for a
   * damaged job, does not find the jobs in it, and answers 404 for what was accepted.
   */
  BUNDLES(2),

  /**
   * In records: a machine's entry in {@code fleet/N} also holds its address and when it was rented.
   * A former reader takes the entry for damage and waits until the longest lease is over.
   */
  MACHINE_ADDRESSES(3);

  private final Level since;

  Change(int since) {
    this.since = new Level(since);
  }

  public Level since() {
    return since;
  }
}
