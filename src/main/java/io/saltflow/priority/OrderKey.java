package io.saltflow.priority;

import io.saltflow.model.JobId;

/**
 * The attributes that determine a waiting job's place in the queue order.
 *
 * @param lane the lane assigned at admission
 * @param override an operator's change, or {@code null} if there is none
 * @param arrivedMs the wall-clock time recorded at admission, in milliseconds
 * @param remainingCoreS the remaining work by its owner's estimate and the recorded progress, in
 *     core-seconds
 * @param boostRank the recorded rank among the jobs boosted by a daily deadline, or {@link
 *     Integer#MAX_VALUE} if the job is not boosted
 * @param lowSlack whether there is little slack before its deadline
 * @param guaranteed whether it is within its team's guaranteed quota
 * @param failing whether it fails on every machine
 * @param fixedInClass whether it keeps its place among shorter jobs of its class
 */
public record OrderKey(
    JobId id,
    String jobClass,
    Lane lane,
    AdmissionPosition position,
    OperatorOverride override,
    long arrivedMs,
    double remainingCoreS,
    int boostRank,
    boolean lowSlack,
    boolean guaranteed,
    boolean failing,
    boolean fixedInClass) {
  Lane effectiveLane() {
    return override == null || override.lane() == null ? lane : override.lane();
  }

  long frontRevision() {
    return override == null ? 0 : override.frontRevision();
  }
}
