package io.saltflow.deadlines;

import io.saltflow.model.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Updates a daily deadline: whether too few jobs are forecast to be in time, and which jobs are
 * boosted in which order. No job is added to the boost while enough jobs are forecast to be in
 * time. A boosted job stays boosted, and keeps its order relative to the others, until it completes
 * or can no longer be in time; new jobs are inserted by their length.
 */
public final class DeadlineBoost {
  /** Maximum number of late jobs listed for operators. */
  private static final int MAX_LATE_JOBS = 20;

  /** Maximum number of boosted jobs; keeps the record within its limit of eight kilobytes. */
  private static final int MAX_BOOSTED_JOBS = 200;

  /** Margin above the target share at which a deadline at risk counts as recovered. */
  private static final double RECOVERY_MARGIN = 0.02;

  private DeadlineBoost() {}

  /**
   * Returns the updated deadline.
   *
   * @param pending the jobs that are not complete, in their current order of execution
   * @param readyJobs the number of completed jobs
   * @param lastSeenRevision the latest revision at which one of the jobs was admitted
   */
  public static DailyDeadline update(
      DailyDeadline before,
      List<PendingJob> pending,
      int readyJobs,
      long lastSeenRevision,
      CoreSupply supply,
      long nowMs) {
    double untilDueS = Math.max(0, (before.dueMs() - nowMs) / 1000.0);
    CompletionForecast forecast = CompletionForecast.of(pending, supply, untilDueS);
    int allJobs = readyJobs + pending.size();
    int inTime = readyJobs + forecast.inTime();
    double forecastShare = allJobs == 0 ? 1 : (double) inTime / allJobs;
    boolean wasAtRisk = before.atRiskSinceMs() > 0;
    boolean atRisk =
        forecastShare < before.targetShare() + (wasAtRisk ? RECOVERY_MARGIN : 0)
            && forecastShare < 1;
    long atRiskSinceMs = !atRisk ? 0 : wasAtRisk ? before.atRiskSinceMs() : nowMs;
    List<JobId> boosted =
        atRisk || !before.boosted().isEmpty()
            ? boostedJobs(before.boosted(), forecast, atRisk)
            : List.of();
    return new DailyDeadline(
        before.queue(),
        before.day(),
        before.openedMs(),
        before.dueMs(),
        before.targetShare(),
        readyJobs,
        pending.size(),
        inTime,
        Math.max(lastSeenRevision, before.lastSeenRevision()),
        atRiskSinceMs,
        boosted,
        lateJobs(before, pending, forecast, nowMs),
        null);
  }

  private static List<JobId> boostedJobs(
      List<JobId> before, CompletionForecast forecast, boolean atRisk) {
    Map<JobId, Integer> rank = new HashMap<>();
    for (JobId id : forecast.boostOrder()) {
      rank.put(id, rank.size());
    }
    List<JobId> boosted = new ArrayList<>();
    for (JobId id : before) {
      if (rank.containsKey(id)) {
        boosted.add(id);
      }
    }
    Set<JobId> alreadyBoosted = new HashSet<>(boosted);
    // Boosting has no effect if it cannot bring any late job in time.
    for (JobId id :
        atRisk && forecast.savableByBoost() > 0 ? forecast.boostOrder() : List.<JobId>of()) {
      if (alreadyBoosted.contains(id)) {
        continue;
      }
      int position = 0;
      while (position < boosted.size() && rank.get(boosted.get(position)) < rank.get(id)) {
        position++;
      }
      boosted.add(position, id);
    }
    return List.copyOf(boosted.subList(0, Math.min(MAX_BOOSTED_JOBS, boosted.size())));
  }

  private static List<DailyDeadline.LateJob> lateJobs(
      DailyDeadline before, List<PendingJob> pending, CompletionForecast forecast, long nowMs) {
    Map<JobId, Long> since = new HashMap<>();
    before.lateJobs().forEach(late -> since.put(late.id(), late.sinceMs()));
    List<DailyDeadline.LateJob> lateJobs = new ArrayList<>();
    for (PendingJob job : pending) {
      CompletionForecast.Verdict verdict = forecast.of(job.id());
      if (verdict != CompletionForecast.Verdict.IN_TIME && lateJobs.size() < MAX_LATE_JOBS) {
        String prefix =
            switch (verdict) {
              case LONGEST_TASK_LATE -> "can't be saved, ";
              case EXCEEDS_CAPACITY -> "too much for what is left, ";
              default -> "late, ";
            };
        lateJobs.add(
            new DailyDeadline.LateJob(
                job.id(), since.getOrDefault(job.id(), nowMs), prefix + job.reason()));
      }
    }
    return lateJobs;
  }
}
