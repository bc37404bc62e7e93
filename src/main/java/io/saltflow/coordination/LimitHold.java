package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import io.saltflow.protocol.Time;

/**
 * A reservation within a team's limit, for the first task of a job that has waited for long. Work
 * of the same team that ends before the limit is predicted to have room for that task, or fits
 * beside it then, does not delay it and may start.
 */
final class LimitHold {
  private final Job first;
  private final Time at;
  private final Time now;
  private final Estimates estimates;
  private Size extra;

  /**
   * @param at when the limit should have room for the first task
   * @param extra what it has beside that task then
   */
  LimitHold(Job first, Time at, Size extra, Estimates estimates, Time now) {
    this.first = first;
    this.at = at;
    this.extra = extra;
    this.estimates = estimates;
    this.now = now;
  }

  /** What has to stay free when one more task of the job starts. */
  Size keptFrom(Job job) {
    boolean free = job == first || !first.waitsForItsFirst() || endsBefore(job);
    return free || job.spec.size().fitsIn(extra) ? Size.ZERO : first.spec.size();
  }

  /** A task of the job is given out. */
  void given(Job job) {
    if (job != first && !endsBefore(job)) {
      extra = extra.minus(job.spec.size());
    }
  }

  private boolean endsBefore(Job job) {
    return !job.spec.daemon() && !now.plus(estimates.predict(job, 0)).after(at);
  }
}
