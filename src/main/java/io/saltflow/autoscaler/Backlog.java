package io.saltflow.autoscaler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import java.util.Collection;

/**
 * The remaining work of all accepted jobs, computed once per scheduling round.
 *
 * @param coreSeconds predicted core-seconds of work until all tasks are done
 * @param desiredCores the number of cores with which every job finishes within the scale-out
 *     horizon, or sooner where its deadline requires it
 * @param preemptibleCores the number of cores in use by tasks that urgent jobs may preempt
 */
public record Backlog(double coreSeconds, double desiredCores, double preemptibleCores) {
  /** The backlog of an empty queue. */
  public static final Backlog NONE = new Backlog(0, 0, 0);

  /** Computes the backlog of the jobs that have not ended. */
  public static Backlog of(
      Collection<Job> jobs,
      Collection<MachineType> types,
      Policy policy,
      RunTimeEstimates estimates,
      MonotonicTime now) {
    double bootSeconds = shortestBootSeconds(types);
    double horizonSeconds = policy.scaleOutHorizon().toSeconds();
    double shortestWindowSeconds = horizonSeconds;
    for (Job job : jobs) {
      if (!isEnding(job) && job.pendingCount() > 0) {
        shortestWindowSeconds =
            Math.min(
                shortestWindowSeconds, windowSeconds(job, bootSeconds, policy, estimates, now));
      }
    }
    double coreSeconds = 0;
    double desiredCores = 0;
    double preemptibleCores = 0;
    for (Job job : jobs) {
      double cores = job.spec.size().cores();
      if (job.queueState().priority().compareTo(policy.preemptingPriority()) < 0) {
        preemptibleCores += cores * job.placements.size();
      }
      if (isEnding(job)) {
        continue;
      }
      if (job.spec.daemon()) {
        coreSeconds += cores * job.desiredTasks() * horizonSeconds;
        desiredCores += cores * job.desiredTasks();
        continue;
      }
      double runSeconds = estimates.predict(job, 0).toSeconds();
      double pendingCores = cores * job.demandedTasks();
      coreSeconds += pendingCores * runSeconds;
      desiredCores +=
          pendingCores
              * Math.min(1, runSeconds / windowSeconds(job, bootSeconds, policy, estimates, now));
      for (TaskPlacement placement : job.placements.values()) {
        double remainingSeconds =
            Math.max(0, estimates.predictedEnd(placement, now).since(now).toSeconds());
        coreSeconds += cores * remainingSeconds;
        // A running task occupies cores that a job with a close deadline needs.
        desiredCores += cores * Math.min(1, remainingSeconds / shortestWindowSeconds);
      }
    }
    return new Backlog(coreSeconds, desiredCores, preemptibleCores);
  }

  private static boolean isEnding(Job job) {
    return job.isCancelled() || job.isFinishing();
  }

  /**
   * Returns the time within which the job's tasks are to be done: the horizon, or less if the last
   * task must start earlier on a machine created now to meet the deadline. Never less than the
   * predicted run time of one task, at which all tasks start at once.
   */
  private static double windowSeconds(
      Job job, double bootSeconds, Policy policy, RunTimeEstimates estimates, MonotonicTime now) {
    double horizonSeconds = policy.scaleOutHorizon().toSeconds();
    if (job.spec.daemon() || job.queueState().earliestDueAt() == null) {
      return horizonSeconds;
    }
    double runSeconds = estimates.predict(job, 0).toSeconds();
    double secondsUntilLatestStart =
        job.queueState().earliestDueAt().since(now).toSeconds() - bootSeconds - runSeconds;
    return Math.min(horizonSeconds, Math.max(runSeconds, secondsUntilLatestStart));
  }

  private static double shortestBootSeconds(Collection<MachineType> types) {
    double bootSeconds = Double.MAX_VALUE;
    for (MachineType type : types) {
      bootSeconds = Math.min(bootSeconds, type.boot().toSeconds());
    }
    return bootSeconds;
  }
}
