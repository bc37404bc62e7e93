package io.saltflow.scheduler;

import io.saltflow.cluster.Job;

/**
 * A job that has tasks left to start after a scheduling round.
 *
 * @param tasks the number of its tasks that could start now and found no machine
 * @param awaitingStartRecord whether its record does not yet permit a start, so that none of its
 *     tasks may be placed
 */
public record WaitingJob(Job job, int tasks, boolean awaitingStartRecord) {}
