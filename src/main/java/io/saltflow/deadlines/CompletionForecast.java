package io.saltflow.deadlines;

import io.saltflow.model.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Forecasts which jobs complete in time in the current order and with boosting. As all jobs are due
 * at the same time, running the shortest first minimizes the number of late jobs: Moore's rule
 * (Management Science 15, 1968) for one machine with one due date. Here several machines work on
 * one job, whose longest task bounds its duration, so jobs that cannot be in time for that reason
 * are excluded first.
 */
public final class CompletionForecast {
  /** Forecast for one job. */
  public enum Verdict {
    IN_TIME,
    /** Late in the current order, and in time if boosted. */
    LATE_UNLESS_BOOSTED,
    /** Late even if boosted, though its longest task alone would be in time. */
    EXCEEDS_CAPACITY,
    /** The longest task alone ends after the deadline, or the job fails on every machine. */
    LONGEST_TASK_LATE
  }

  private final Map<JobId, Verdict> verdicts = new HashMap<>();
  private final List<JobId> boostOrder = new ArrayList<>();
  private int inTime;
  private int savableByBoost;

  private CompletionForecast() {}

  /**
   * Computes the forecast.
   *
   * @param jobs the pending jobs in their current order of execution
   * @param untilDueS the time until the deadline, in seconds
   */
  public static CompletionForecast of(List<PendingJob> jobs, CoreSupply supply, double untilDueS) {
    CompletionForecast forecast = new CompletionForecast();
    List<PendingJob> feasible = new ArrayList<>();
    double queuedCoreS = 0;
    for (PendingJob job : jobs) {
      if (job.failing() || job.longestTaskS() > untilDueS) {
        forecast.verdicts.put(job.id(), Verdict.LONGEST_TASK_LATE);
        continue;
      }
      feasible.add(job);
      queuedCoreS += job.remainingCoreS();
      boolean enough = queuedCoreS <= untilDueS * supply.currentCores() + 1e-6;
      forecast.verdicts.put(job.id(), enough ? Verdict.IN_TIME : Verdict.EXCEEDS_CAPACITY);
      forecast.inTime += enough ? 1 : 0;
    }
    feasible.sort(
        Comparator.comparingDouble(PendingJob::remainingCoreS)
            .thenComparing(PendingJob::longestTaskS, Comparator.reverseOrder())
            .thenComparing(PendingJob::id));
    double boostedCoreS = 0;
    for (PendingJob job : feasible) {
      boostedCoreS += job.remainingCoreS();
      forecast.boostOrder.add(job.id());
      if (boostedCoreS <= untilDueS * supply.boostedCores() + 1e-6) {
        forecast.savableByBoost +=
            forecast.verdicts.replace(
                    job.id(), Verdict.EXCEEDS_CAPACITY, Verdict.LATE_UNLESS_BOOSTED)
                ? 1
                : 0;
      }
    }
    return forecast;
  }

  /** Returns the verdict on the job, or {@code null} if it is not part of the forecast. */
  public Verdict of(JobId id) {
    return verdicts.get(id);
  }

  /** Returns the number of jobs that complete in time in the current order. */
  public int inTime() {
    return inTime;
  }

  /** Returns the number of jobs that are late in the current order and in time if boosted. */
  public int savableByBoost() {
    return savableByBoost;
  }

  /**
   * Returns the jobs that could be in time on their own, in the order with the fewest late jobs.
   */
  public List<JobId> boostOrder() {
    return boostOrder;
  }
}
