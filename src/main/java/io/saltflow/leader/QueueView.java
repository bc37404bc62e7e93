package io.saltflow.leader;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.priority.Lane;
import io.saltflow.scheduler.WaitingJob;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Describes the waiting jobs of each lane to operators, and why the first of them does not start.
 */
final class QueueView {
  private static final int MAX_LISTED_JOBS = 10;

  private QueueView() {}

  /**
   * Returns a summary of each lane with waiting jobs, highest lane first.
   *
   * @param migrationWaitReasons wait reasons of jobs that a replica migration might help
   */
  static List<LaneSummary> of(
      List<WaitingJob> waitingJobs,
      boolean reconciled,
      Set<JobId> guaranteed,
      QuotaUsage quotaUsage,
      Map<JobId, String> migrationWaitReasons,
      MonotonicTime now) {
    Map<Integer, List<WaitingJob>> byRank = new TreeMap<>();
    Map<Integer, Lane> lanes = new LinkedHashMap<>();
    for (WaitingJob waitingJob : waitingJobs) {
      Lane lane = waitingJob.job().queueState().effectiveLane();
      lanes.putIfAbsent(lane.rank(), lane);
      byRank.computeIfAbsent(lane.rank(), key -> new ArrayList<>()).add(waitingJob);
    }
    List<LaneSummary> summaries = new ArrayList<>();
    byRank.forEach(
        (rank, jobs) -> {
          int tasks = 0;
          List<String> firstJobs = new ArrayList<>();
          for (WaitingJob waitingJob : jobs) {
            tasks += waitingJob.job().pendingCount();
            if (firstJobs.size() < MAX_LISTED_JOBS) {
              firstJobs.add(describe(waitingJob, guaranteed, now));
            }
          }
          String waitReason =
              waitReason(jobs.get(0), reconciled, quotaUsage, migrationWaitReasons, now);
          summaries.add(
              new LaneSummary(
                  lanes.get(rank).toString(), jobs.size(), tasks, waitReason, firstJobs));
        });
    return summaries;
  }

  private static String describe(WaitingJob waitingJob, Set<JobId> guaranteed, MonotonicTime now) {
    Job job = waitingJob.job();
    double waitSeconds = Math.max(0, now.since(job.queueState().eligibleAt()).toSeconds());
    return String.format(
        Locale.ROOT,
        "%s, %d of %d tasks wait, for %.0f s%s%s%s",
        job.id(),
        job.pendingCount(),
        job.spec.tasks(),
        waitSeconds,
        guaranteed.contains(job.id()) ? ", within its team's guarantee" : "",
        job.queueState().hasLowSlack() ? ", its time is running out" : "",
        job.queueState().operatorOverride() == null ? "" : ", moved by an operator");
  }

  private static String waitReason(
      WaitingJob waitingJob,
      boolean reconciled,
      QuotaUsage quotaUsage,
      Map<JobId, String> migrationWaitReasons,
      MonotonicTime now) {
    Job job = waitingJob.job();
    if (job.failsEverywhere()) {
      return "it fails wherever it is started";
    }
    if (waitingJob.awaitingStartRecord()) {
      return "that it may be started is being recorded";
    }
    if (!reconciled && job.mayHaveStartedInEarlierTerm) {
      return "a takeover is not accounted for yet";
    }
    if (!quotaUsage.mayAssign(job)) {
      return "its team's limit is in use";
    }
    if (migrationWaitReasons.containsKey(job.id())) {
      return migrationWaitReasons.get(job.id());
    }
    return job.nextPending(0, now) < 0 ? "its tasks wait out a failure" : "no machine has room";
  }
}
