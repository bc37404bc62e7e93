package io.saltflow.levels;

import io.saltflow.protocol.Stamp;

/**
 * What is recorded of the levels, under one key.
 *
 * @param raised no controller may go back behind it any more
 * @param used what is written from now on; never above what is raised
 * @param whole nothing that is stored is of a level below it
 * @param version of the key; absent: nothing is recorded yet
 */
public record Active(Level raised, Level used, Level whole, Stamp version) {
  /** Of a state that builds without levels may have written. */
  public static final Active UNRECORDED =
      new Active(Level.FIRST, Level.FIRST, Level.FIRST, Stamp.ABSENT);

  public Active {
    if (raised.below(used) || used.below(whole)) {
      throw new IllegalArgumentException(raised + ", " + used + ", " + whole);
    }
  }

  /** Whether a build of that range may act: it reads all that is there and all that will come. */
  public boolean admits(Range build) {
    return build.has(raised) && build.has(whole);
  }

  /** Whether a behaviour may be used now. */
  public boolean allows(Change change) {
    return !used.below(change.since());
  }

  /** What to do where this build may not act, in one line for whoever is to do it. */
  public String unfit(Range build) {
    return build.to().below(raised)
        ? "the stored state is of level "
            + raised
            + " and this build knows levels "
            + build
            + ": install a build that knows level "
            + raised
        : "the stored state is not rewritten beyond level "
            + whole
            + " and this build knows levels "
            + build
            + ": install a build that knows level "
            + whole
            + " until it is";
  }
}
