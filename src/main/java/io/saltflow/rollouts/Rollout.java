package io.saltflow.rollouts;

import java.util.List;

/**
 * The durable record of a rollout. It takes effect only once it is recorded, so that a new leader
 * continues from it.
 *
 * @param replicas how many the service should have
 * @param step the step under way, from 0
 * @param phase what is done now
 * @param resumePhase the phase that a pause interrupted; null: it is not paused
 * @param desiredOld how many replicas of the old version there should be
 * @param desiredNew how many of the new one
 * @param sinceWallMs since when the step, or the rollback, is under way, by time of day
 * @param startsUsedUntilWallMs up to when the starts that the plan's rate allows are used up, by
 *     time of day
 * @param zones the zones of the service in the order in which they are gone through; empty: the
 *     plan does not go zone by zone
 * @param reason why it stopped, in plain sentences; empty while it goes on
 */
public record Rollout(
    int replicas,
    int step,
    Phase phase,
    Phase resumePhase,
    int desiredOld,
    int desiredNew,
    long sinceWallMs,
    long startsUsedUntilWallMs,
    List<String> zones,
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

    /** Whether the rollout has ended. */
    public boolean isFinal() {
      return this == DONE || this == ROLLED_BACK || this == STUCK;
    }
  }

  /** A rollout that has not moved anything yet. */
  public static Rollout begin(int replicas, long wallMs) {
    return begin(replicas, List.of(), wallMs);
  }

  /** One that goes through these zones in order. */
  public static Rollout begin(int replicas, List<String> zones, long wallMs) {
    return new Rollout(replicas, 0, Phase.WAITING, null, replicas, 0, wallMs, 0, zones, "");
  }

  /**
   * How many replicas are of the new version once the first so many zones are done: each zone has
   * as many as any other, or one more.
   */
  int replicasThroughZone(int zoneCount) {
    int each = replicas / zones.size();
    return zoneCount * each + Math.min(zoneCount, replicas % zones.size());
  }

  /** Where replicas of the new version may be, as many as are wanted; null: anywhere. */
  public List<String> openZones() {
    if (zones.isEmpty()) {
      return null;
    }
    int open = 0;
    while (open < zones.size() && replicasThroughZone(open) < desiredNew) {
      open++;
    }
    return zones.subList(0, open);
  }

  Rollout withDesired(int old, int fresh) {
    return new Rollout(
        replicas,
        step,
        phase,
        resumePhase,
        old,
        fresh,
        sinceWallMs,
        startsUsedUntilWallMs,
        zones,
        reason);
  }

  private Rollout copy(Phase next, Phase later, int nextStep, long since, String why) {
    return new Rollout(
        replicas,
        nextStep,
        next,
        later,
        desiredOld,
        desiredNew,
        since,
        startsUsedUntilWallMs,
        zones,
        why);
  }

  Rollout phase(Phase next, int nextStep, long wallMs) {
    return copy(next, null, nextStep, wallMs, reason);
  }

  Rollout withReason(Phase next, String why, long wallMs) {
    return copy(next, null, step, wallMs, why);
  }

  Rollout paused() {
    return copy(Phase.PAUSED, phase, step, sinceWallMs, reason);
  }

  Rollout withReplicas(int newReplicas) {
    return new Rollout(
        newReplicas,
        step,
        phase,
        resumePhase,
        desiredOld,
        desiredNew,
        sinceWallMs,
        startsUsedUntilWallMs,
        zones,
        reason);
  }

  Rollout withStartsUsedUntil(long wallMs) {
    return new Rollout(
        replicas,
        step,
        phase,
        resumePhase,
        desiredOld,
        desiredNew,
        sinceWallMs,
        wallMs,
        zones,
        reason);
  }
}
