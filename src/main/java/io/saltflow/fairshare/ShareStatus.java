package io.saltflow.fairshare;

import io.saltflow.model.TimeSpan;

/**
 * The shares of a group, as fractions of the cluster from 0 to 1.
 *
 * @param demand the share that the group holds and requests together
 * @param fairShare its max-min fair share: its whole demand, or the level at which larger demands
 *     are capped
 * @param minimumShare the share granted regardless of priority and arrival
 * @param waitingJobs the number of its jobs that have waited beyond the threshold
 * @param longestWait the longest waiting time of its jobs with pending tasks
 */
public record ShareStatus(
    double demand, double fairShare, double minimumShare, int waitingJobs, TimeSpan longestWait) {
  /** Returns whether a job of the group has waited beyond the threshold. */
  public boolean waitsBeyondThreshold() {
    return waitingJobs > 0;
  }
}
