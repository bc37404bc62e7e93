package io.saltflow.levels;

import io.saltflow.protocol.Stamp;

/**
 * A process's way to acting: it reads what is active and what its host announced last, announces
 * itself in a transaction that is guarded by both, and acts once that is carried out. Until then it
 * admits nothing, answers nothing from records, and does not stand for election.
 */
public final class Entrance {
  /** What the shell is to do next. */
  public sealed interface Step {
    /** Read the active level and the host's announcement, at one revision. */
    record Read() implements Step {}

    /**
     * Write the announcement, if the active level and the host's announcement are still of these
     * versions.
     *
     * @param leased whether it is to end with the process, as there may be builds that announce
     *     nothing
     */
    record Announce(Stamp active, Stamp announced, boolean leased) implements Step {}

    /** Serve, by what is active. */
    record Act(Active active) implements Step {}

    /** Serve nothing and stay up; look again from time to time. */
    record Unfit(String why) implements Step {}
  }

  private final Range build;
  private Active seen;
  private boolean acting;
  private boolean leased;

  public Entrance(Range build) {
    this.build = build;
  }

  public Step begin() {
    return new Step.Read();
  }

  /** What was read. */
  public Step read(Active active, Stamp announced) {
    seen = active;
    if (!active.admits(build)) {
      acting = false;
      return new Step.Unfit(active.unfit(build));
    }
    boolean forGood = !active.used().below(Level.ANNOUNCED);
    if (acting && !(leased && forGood)) {
      return new Step.Act(active);
    }
    return new Step.Announce(active.version(), announced, !forGood);
  }

  /**
   * The announcement was carried out, or not. With a lost answer it may have been: only another
   * reading and another announcement tell.
   */
  public Step announced(boolean surely) {
    if (!surely) {
      return new Step.Read();
    }
    acting = true;
    leased = seen.used().below(Level.ANNOUNCED);
    return new Step.Act(seen);
  }

  /**
   * The announcement's lease is over. This process goes on acting by what it has read: as long as
   * its host has announced nothing, nothing is raised. It announces itself anew.
   */
  public void lapsed() {
    acting = false;
  }
}
