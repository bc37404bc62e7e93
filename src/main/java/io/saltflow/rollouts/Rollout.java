package io.saltflow.rollouts;

import java.util.List;

/**
 * The durable state of a rollout. A state takes effect only after it is recorded, so that a new
 * leader continues from it.
 *
 * @param replicas the desired number of replicas of the service
 * @param step the current step, from 0
 * @param phase the current phase
 * @param resumePhase the phase that a pause interrupted; {@code null} if the rollout is not paused
 * @param desiredOld the desired number of replicas of the old version
 * @param desiredNew the desired number of replicas of the new version
 * @param sinceWallMs wall-clock time at which the step or the rollback began
 * @param startsUsedUntilWallMs wall-clock time up to which the starts allowed by the plan's rate
 *     are used up
 * @param zones the service's zones in rollout order; empty if the plan does not proceed zone by
 *     zone
 * @param reason why the rollout stopped, in sentences; empty while it proceeds
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

  /** The phase of a rollout. */
  public enum Phase {
    /** Replicas are replaced until the step's target is reached. */
    MOVING,
    /** The step's gate is evaluated. */
    CHECKING,
    /** The step waits for a maintenance window. */
    WAITING,
    /** The step waits for an operator's approval. */
    APPROVAL,
    PAUSED,
    /** The rollout is being rolled back to the old version. */
    BACK,
    /** The new version serves. */
    DONE,
    /** The old version serves again. */
    ROLLED_BACK,
    /** The rollback failed as well; serving replicas of both versions are kept. */
    STUCK;

    /** Returns whether the rollout has ended. */
    public boolean isFinal() {
      return this == DONE || this == ROLLED_BACK || this == STUCK;
    }
  }

  /** Returns a rollout that has not replaced any replica yet. */
  public static Rollout begin(int replicas, long wallMs) {
    return begin(replicas, List.of(), wallMs);
  }

  /** Returns a rollout that proceeds through these zones in order. */
  public static Rollout begin(int replicas, List<String> zones, long wallMs) {
    return new Rollout(replicas, 0, Phase.WAITING, null, replicas, 0, wallMs, 0, zones, "");
  }

  /**
   * Returns the number of new replicas once the first {@code zoneCount} zones are complete.
   * Replicas are spread evenly; the first zones take the remainder.
   */
  int replicasThroughZone(int zoneCount) {
    int each = replicas / zones.size();
    return zoneCount * each + Math.min(zoneCount, replicas % zones.size());
  }

  /**
   * Returns the zones in which the desired replicas of the new version may run, or {@code null} for
   * any zone.
   */
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
