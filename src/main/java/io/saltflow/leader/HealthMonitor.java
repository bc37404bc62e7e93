package io.saltflow.leader;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.scheduler.FairShareScheduler;
import io.saltflow.scheduler.Scheduler;
import io.saltflow.scheduler.WaitingJob;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Detects conditions that persist (silent machines, overdue jobs, unmet guarantees and shares) once
 * a second and reports each to the event summary.
 */
final class HealthMonitor {
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.seconds(1);

  private final Policy policy;
  private final EventSummary eventSummary;
  private MonotonicTime lastCheck = MonotonicTime.LONG_AGO;

  HealthMonitor(Policy policy, EventSummary eventSummary) {
    this.policy = policy;
    this.eventSummary = eventSummary;
  }

  /**
   * Checks all conditions and flushes the event summary if a second has passed since the last
   * check.
   */
  void check(
      Collection<Machine> machines,
      Collection<Job> jobs,
      List<WaitingJob> waitingJobs,
      Scheduler scheduler,
      MonotonicTime now) {
    if (now.since(lastCheck).compareTo(CHECK_INTERVAL) < 0) {
      return;
    }
    lastCheck = now;
    checkMachines(machines, now);
    checkDeadlines(jobs, now);
    checkGuarantees(waitingJobs, scheduler, now);
    checkFairShares(scheduler.fairShare(), now);
    eventSummary.flush(now);
  }

  private void checkMachines(Collection<Machine> machines, MonotonicTime now) {
    int silent = 0;
    int tasks = 0;
    int overdue = 0;
    int unreachable = 0;
    for (Machine machine : machines) {
      unreachable += machine.answersLost() && !machine.isScalingIn() ? 1 : 0;
      if (machine.isUnresponsive() && !machine.answersLost() && !machine.isScalingIn()) {
        silent++;
        tasks += machine.placements.size();
      }
      if (machine.bootOverdue(now)) {
        overdue++;
      }
    }
    eventSummary.updateCondition(
        EventSummary.PersistentCondition.SILENT_MACHINES,
        silent,
        tasks + " tasks placed on them",
        now);
    eventSummary.updateCondition(
        EventSummary.PersistentCondition.ANSWERS_LOST,
        unreachable,
        "no tasks are launched on them",
        now);
    eventSummary.updateCondition(
        EventSummary.PersistentCondition.SLOW_BOOT, overdue, "replacements are created", now);
  }

  private void checkDeadlines(Collection<Job> jobs, MonotonicTime now) {
    int late = 0;
    double maxSecondsLate = 0;
    for (Job job : jobs) {
      double secondsLate = job.queueState().overdueS(now);
      if (secondsLate > 0 && !job.isCancelled() && !job.allDone()) {
        late++;
        maxSecondsLate = Math.max(maxSecondsLate, secondsLate);
      }
    }
    eventSummary.updateCondition(
        EventSummary.PersistentCondition.OVERDUE_JOBS,
        late,
        "by up to " + Math.round(maxSecondsLate) + " s",
        now);
  }

  private void checkGuarantees(
      List<WaitingJob> waitingJobs, Scheduler scheduler, MonotonicTime now) {
    int jobs = 0;
    int tasks = 0;
    for (WaitingJob waitingJob : waitingJobs) {
      boolean overdue =
          now.since(waitingJob.job().queueState().eligibleAt())
              .longerThan(policy.guaranteeStartTarget());
      if (overdue
          && waitingJob.tasks() > 0
          && scheduler.guaranteedJobs().contains(waitingJob.job().id())) {
        jobs++;
        tasks += waitingJob.tasks();
      }
    }
    eventSummary.updateCondition(
        EventSummary.PersistentCondition.GUARANTEE_UNMET,
        jobs,
        tasks
            + " tasks waiting for more than "
            + Math.round(policy.guaranteeStartTarget().toSeconds())
            + " s",
        now);
  }

  /**
   * Checks for classes and teams that have waited long and hold less of the cluster than they need.
   */
  private void checkFairShares(FairShareScheduler fairShare, MonotonicTime now) {
    Set<String> cleared = eventSummary.active(EventSummary.PersistentCondition.FAIR_SHARE_UNMET);
    fairShare
        .shareStatuses()
        .forEach(
            (group, shareStatus) -> {
              if (!shareStatus.waitsBeyondThreshold()) {
                return;
              }
              cleared.remove(group.toString());
              String details =
                  String.format(
                      Locale.ROOT,
                      "share %.0f%% of the cluster, demand %.0f%%, minimum share %.0f%%,"
                          + " longest wait %.0f s",
                      100 * fairShare.heldFraction(group),
                      100 * shareStatus.demand(),
                      100 * shareStatus.minimumShare(),
                      shareStatus.longestWait().toSeconds());
              eventSummary.updateCondition(
                  EventSummary.PersistentCondition.FAIR_SHARE_UNMET,
                  group.toString(),
                  shareStatus.waitingJobs(),
                  details,
                  now);
            });
    for (String name : cleared) {
      eventSummary.updateCondition(
          EventSummary.PersistentCondition.FAIR_SHARE_UNMET, name, 0, "", now);
    }
  }
}
