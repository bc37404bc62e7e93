package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.deadlines.CoreSupply;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.deadlines.PendingJob;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Measures the work that a daily deadline waits for and the cores that are available for it, using
 * corrected run time estimates.
 */
final class DeadlineWorkload {
  /**
   * Core limit of a team without a limit, small enough that the sum over all teams stays finite.
   */
  private static final double NO_CORE_LIMIT = Double.MAX_VALUE / 64;

  /**
   * The state of the cluster at one update.
   *
   * @param waitingJobs the waiting jobs in queue order
   * @param fleet the resources of all machines
   * @param totalCoreS the remaining work of all jobs, in core-seconds
   */
  record Snapshot(
      Collection<Job> jobs,
      List<WaitingJob> waitingJobs,
      Resources fleet,
      double totalCoreS,
      MonotonicTime now) {}

  /**
   * The jobs that one deadline waits for and the cores available for them.
   *
   * @param pending the unfinished jobs in processing order
   * @param lastSeenRevision the latest revision at which one of them was admitted
   */
  record QueueWorkload(List<PendingJob> pending, CoreSupply supply, long lastSeenRevision) {}

  private final RunTimeEstimates estimates;
  private final QuotaUsage quotaUsage;
  private final Map<String, Policy.TeamQuota> teams;

  DeadlineWorkload(
      RunTimeEstimates estimates, QuotaUsage quotaUsage, Map<String, Policy.TeamQuota> teams) {
    this.estimates = estimates;
    this.quotaUsage = quotaUsage;
    this.teams = teams;
  }

  /** Takes a snapshot, including the remaining work of all jobs. */
  Snapshot snapshot(
      Collection<Job> jobs, List<WaitingJob> waitingJobs, Resources fleet, MonotonicTime now) {
    double totalCoreS = 0;
    for (Job job : jobs) {
      totalCoreS += remainingCoreS(job, now);
    }
    return new Snapshot(jobs, waitingJobs, fleet, totalCoreS, now);
  }

  /** Returns whether the deadline waits for the job. */
  static boolean belongsTo(DeadlineRule rule, Job job, DailyDeadline deadline) {
    return !job.spec.daemon()
        && !job.isCancelled()
        && !job.isFinishing()
        && job.queueState().eligibleWallMs() < deadline.dueMs()
        && rule.matches(job.spec.jobClass(), job.spec.team());
  }

  /** Measures the workload that the deadline waits for. */
  QueueWorkload measure(DeadlineRule rule, DailyDeadline deadline, Snapshot snapshot) {
    Map<JobId, PendingJob> pending = pendingJobs(rule, deadline, snapshot);
    double queueCoreS = 0;
    double heldCores = 0;
    long lastSeenRevision = deadline.lastSeenRevision();
    Set<String> queueTeams = new TreeSet<>();
    for (Job job : snapshot.jobs) {
      if (pending.containsKey(job.id())) {
        queueCoreS += pending.get(job.id()).remainingCoreS();
        heldCores += job.assignedCount() * job.spec.size().cores();
        queueTeams.add(job.spec.team());
        lastSeenRevision =
            Math.max(lastSeenRevision, job.queueState().admissionPosition().revision());
      }
    }
    double fleetCores = snapshot.fleet.cores();
    double proportionalCores =
        snapshot.totalCoreS <= 0 ? fleetCores : fleetCores * queueCoreS / snapshot.totalCoreS;
    double maxCores = Math.min(fleetCores, coreLimit(queueTeams));
    CoreSupply supply =
        new CoreSupply(Math.min(maxCores, Math.max(heldCores, proportionalCores)), maxCores);
    return new QueueWorkload(List.copyOf(pending.values()), supply, lastSeenRevision);
  }

  private Map<JobId, PendingJob> pendingJobs(
      DeadlineRule rule, DailyDeadline deadline, Snapshot snapshot) {
    Map<JobId, PendingJob> pending = new LinkedHashMap<>();
    Set<JobId> waitingIds = new HashSet<>();
    snapshot.waitingJobs.forEach(waitingJob -> waitingIds.add(waitingJob.job().id()));
    // Jobs without waiting tasks are already being processed, so they come first.
    for (Job job : snapshot.jobs) {
      if (belongsTo(rule, job, deadline) && !waitingIds.contains(job.id())) {
        pending.put(job.id(), pendingJob(job, snapshot.now));
      }
    }
    for (WaitingJob waitingJob : snapshot.waitingJobs) {
      Job job = waitingJob.job();
      if (belongsTo(rule, job, deadline)) {
        pending.put(job.id(), pendingJob(job, snapshot.now));
      }
    }
    return pending;
  }

  private double coreLimit(Set<String> teamNames) {
    double total = 0;
    for (String name : teamNames) {
      Policy.TeamQuota team = teams.get(name);
      total += team == null || team.coreLimit() <= 0 ? NO_CORE_LIMIT : team.coreLimit();
    }
    return teamNames.isEmpty() ? NO_CORE_LIMIT : total;
  }

  private double remainingCoreS(Job job, MonotonicTime now) {
    if (job.spec.daemon() || job.isCancelled()) {
      return 0;
    }
    double runS = estimates.predict(job, 0).toSeconds();
    double seconds = job.pendingCount() * runS;
    for (TaskPlacement placement : job.placements.values()) {
      seconds += Math.max(0, estimates.predictedEnd(placement, now).since(now).toSeconds());
    }
    return seconds * job.spec.size().cores();
  }

  private PendingJob pendingJob(Job job, MonotonicTime now) {
    double longestTaskS = job.pendingCount() > 0 ? estimates.predict(job, 0).toSeconds() : 0;
    boolean reclaimed = false;
    for (TaskPlacement placement : job.placements.values()) {
      longestTaskS =
          Math.max(longestTaskS, estimates.predictedEnd(placement, now).since(now).toSeconds());
      reclaimed |= placement.machine.reclaimAt() != null;
    }
    String reason = "it runs";
    if (job.failsEverywhere()) {
      reason = "it fails wherever it is started";
    } else if (reclaimed) {
      reason = "its machines are being taken back";
    } else if (job.pendingCount() > 0) {
      reason = quotaUsage.mayAssign(job) ? "it waits for machines" : "its team's limit is in use";
    }
    return new PendingJob(
        job.id(), remainingCoreS(job, now), longestTaskS, job.failsEverywhere(), reason);
  }
}
