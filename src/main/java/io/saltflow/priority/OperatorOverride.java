package io.saltflow.priority;

/**
 * An operator's recorded change of a job's place in the queue.
 *
 * @param lane the lane in which the job waits now, or {@code null} for its lane at admission
 * @param frontRevision the revision at which it was moved to the front of its lane, or 0 if it was
 *     not
 */
public record OperatorOverride(Lane lane, long frontRevision) {}
