package io.saltflow.rollouts;

/**
 * Where a roll-out stands: its durable record. What it wants is acted upon only once it is
 * recorded, so a new leader goes on from here.
 *
 * @param replicas how many the service should have
 * @param step the step under way, from 0
 * @param phase what is done now
 * @param resumes the phase that a pause interrupted; null: it is not paused
 * @param wantedOld how many replicas of the old version there should be
 * @param wantedNew how many of the new one
 * @param sinceWallMs since when the step, or the roll-back, is under way, by time of day
 * @param reason why it stopped, in plain sentences; empty while it goes on
 */
public record Rollout(
    int replicas,
    int step,
    Phase phase,
    Phase resumes,
    int wantedOld,
    int wantedNew,
    long sinceWallMs,
    String reason) {

  /** What is done now. */
  public enum Phase {
    /** Replicas are replaced until the step's number is reached. */
    MOVING,
    /** The step's gate is looked at. */
    CHECKING,
    /** The step may not begin before a window opens. */
    WAITING,
    /** Somebody must approve. */
    APPROVAL,
    PAUSED,
    /** Back to the old version. */
    BACK,
    /** The new version serves. */
    DONE,
    /** The old version serves again. */
    ROLLED_BACK,
    /** Neither could be brought to serve in full; what serves is left as it is. */
    STUCK;

    public boolean over() {
      return this == DONE || this == ROLLED_BACK || this == STUCK;
    }
  }

  /** A roll-out that has not moved anything yet. */
  public static Rollout begin(int replicas, long wallMs) {
    return new Rollout(replicas, 0, Phase.WAITING, null, replicas, 0, wallMs, "");
  }

  Rollout wanting(int old, int fresh) {
    return new Rollout(replicas, step, phase, resumes, old, fresh, sinceWallMs, reason);
  }

  Rollout phase(Phase next, int nextStep, long wallMs) {
    return new Rollout(replicas, nextStep, next, null, wantedOld, wantedNew, wallMs, reason);
  }

  Rollout because(Phase next, String why, long wallMs) {
    return new Rollout(replicas, step, next, null, wantedOld, wantedNew, wallMs, why);
  }

  Rollout paused() {
    return new Rollout(
        replicas, step, Phase.PAUSED, phase, wantedOld, wantedNew, sinceWallMs, reason);
  }

  Rollout of(int newReplicas) {
    return new Rollout(
        newReplicas, step, phase, resumes, wantedOld, wantedNew, sinceWallMs, reason);
  }
}
