package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;

/**
 * A reservation within a team's limit for the first task of a job that has waited for a long time.
 * Other tasks of the team may start if they do not delay it: they end before the limit is predicted
 * to have room for it, or fit beside it at that time.
 */
public final class QuotaReservation {
  private final Job firstJob;
  private final MonotonicTime availableAt;
  private final MonotonicTime reservedAt;
  private final RunTimeEstimates estimates;
  private Resources leftover;

  /**
   * Creates a reservation.
   *
   * @param availableAt the time at which the limit is predicted to have room for the first task
   * @param leftover the resources within the limit that remain beside that task at that time
   */
  public QuotaReservation(
      Job firstJob,
      MonotonicTime availableAt,
      Resources leftover,
      RunTimeEstimates estimates,
      MonotonicTime reservedAt) {
    this.firstJob = firstJob;
    this.availableAt = availableAt;
    this.leftover = leftover;
    this.estimates = estimates;
    this.reservedAt = reservedAt;
  }

  /**
   * Returns the resources that must stay free within the limit when one more task of the job
   * starts.
   */
  Resources reservedFrom(Job job) {
    boolean notDelayed = job == firstJob || !firstJob.neverStarted() || endsBefore(job);
    return notDelayed || job.spec.size().fitsIn(leftover) ? Resources.ZERO : firstJob.spec.size();
  }

  /**
   * Deducts an assigned task from the leftover resources, unless it belongs to the first job or is
   * predicted to end before the limit has room for that job.
   */
  void onTaskAssigned(Job job) {
    if (job != firstJob && !endsBefore(job)) {
      leftover = leftover.minus(job.spec.size());
    }
  }

  private boolean endsBefore(Job job) {
    return !job.spec.daemon() && !reservedAt.plus(estimates.predict(job, 0)).after(availableAt);
  }
}
