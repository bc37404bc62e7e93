package io.saltflow.rollouts;

import io.saltflow.healthgates.GateEvaluator;

/**
 * A leader's observations of both versions' replicas.
 *
 * @param readyOld replicas of the old version that have been ready for as long as the plan wants
 * @param unreachableOld those of which nothing is known now, behind a cut perhaps: they count
 *     neither as ready nor as free to go, since they may be serving
 * @param gate the verdict of the step's gate
 * @param stop the value of the stop condition; null: there is none
 * @param oldVersionFailure why the old version can't be started any more, such as an image that is
 *     gone; null: it can
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
