package io.saltflow.rollouts;

import io.saltflow.healthgates.GateEvaluator;

/**
 * A leader's observations of both versions' replicas.
 *
 * @param readyOld replicas of the old version that have been ready for the plan's settle time
 * @param unreachableOld replicas of the old version that are unreachable now. They count neither as
 *     ready nor as removable, since they may be serving behind a network partition.
 * @param gate the verdict of the step's gate
 * @param stop the verdict of the stop condition; {@code null} if the plan has none
 * @param oldVersionFailure why the old version cannot be started any more, for example a deleted
 *     image; {@code null} if it can
 */
public record ReplicaStatus(
    int readyOld,
    int unreachableOld,
    int readyNew,
    int unreachableNew,
    GateEvaluator.Verdict gate,
    GateEvaluator.Verdict stop,
    String oldVersionFailure,
    long wallMs) {}
