package io.saltflow.records;

/**
 * The recorded end of a job.
 *
 * @param endedAtMs wall-clock time of the end in milliseconds, or negative if an earlier version
 *     recorded the end without a time
 */
public record JobEnd(JobPhase phase, long endedAtMs) {}
