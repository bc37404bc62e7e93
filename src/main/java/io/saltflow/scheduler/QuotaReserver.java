package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.QuotaReservation;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Reserves part of a team's limit for the first task of a job that waits because of the limit. */
final class QuotaReserver {
  private final RunTimeEstimates estimates;
  private final QuotaUsage quotaUsage;

  QuotaReserver(RunTimeEstimates estimates, QuotaUsage quotaUsage) {
    this.estimates = estimates;
    this.quotaUsage = quotaUsage;
  }

  /** The predicted end of a team's task, and the resources that it then returns to the limit. */
  private record QuotaRelease(MonotonicTime at, Resources size) {}

  /**
   * Reserves quota for one task of the job, starting when enough of the team's tasks are predicted
   * to have ended. An unconditional reservation, effective immediately, would keep narrow jobs
   * waiting beside free machines although they would not delay the wide job.
   */
  void reserve(Job job, List<Machine> usableMachines, MonotonicTime now) {
    if (quotaUsage.hasReservation(job.spec.team())) {
      return;
    }
    PriorityQueue<QuotaRelease> releases = releases(job.spec.team(), usableMachines, now);
    Resources available = quotaUsage.remaining(job);
    MonotonicTime at = now;
    while (!job.spec.size().fitsIn(available)) {
      QuotaRelease release = releases.poll();
      if (release == null || release.at.equals(MonotonicTime.NEVER)) {
        // The task does not fit even after all predicted ends, so no quota is reserved.
        return;
      }
      available = available.plus(release.size);
      at = release.at;
    }
    quotaUsage.reserve(
        job.spec.team(),
        new QuotaReservation(job, at, available.minus(job.spec.size()), estimates, now));
  }

  private PriorityQueue<QuotaRelease> releases(
      String team, List<Machine> usableMachines, MonotonicTime now) {
    PriorityQueue<QuotaRelease> releases =
        new PriorityQueue<>(Comparator.comparing(QuotaRelease::at));
    for (Machine machine : usableMachines) {
      for (TaskPlacement placement : machine.placements.values()) {
        if (placement.job.spec.team().equals(team)) {
          releases.add(
              new QuotaRelease(estimates.predictedEnd(placement, now), placement.job.spec.size()));
        }
      }
      for (Machine.Assignment assigned : machine.assignments) {
        if (assigned.job().spec.team().equals(team) && !assigned.job().spec.daemon()) {
          MonotonicTime end = now.plus(estimates.predict(assigned.job(), assigned.taskIndex()));
          releases.add(new QuotaRelease(end, assigned.job().spec.size()));
        }
      }
    }
    return releases;
  }
}
