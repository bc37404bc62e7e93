package io.saltflow.deadlines;

import io.saltflow.model.JobId;

/**
 * An incomplete job of a daily deadline.
 *
 * @param remainingCoreS the remaining work by corrected estimates, in core-seconds
 * @param longestTaskS the duration of its longest task, in seconds, which is a lower bound for the
 *     job regardless of resources
 * @param failing whether it fails on every machine
 * @param reason the reason why it is not complete, for operators
 */
public record PendingJob(
    JobId id, double remainingCoreS, double longestTaskS, boolean failing, String reason) {}
