package io.saltflow.autoscaler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.MonotonicTime;

/** Predicts whether waiting makes a job miss its deadline. */
final class DeadlineRisk {
  private DeadlineRisk() {}

  /** Returns whether the job would miss its own deadline if its tasks waited this long. */
  static boolean missesDeadline(
      Job job, double waitSeconds, RunTimeEstimates estimates, MonotonicTime now) {
    if (!job.queueState().hasDeadline()) {
      return false;
    }
    double remainingSeconds = job.queueState().completeBy().since(now).toSeconds();
    return waitSeconds > remainingSeconds - estimates.predict(job, 0).toSeconds();
  }
}
