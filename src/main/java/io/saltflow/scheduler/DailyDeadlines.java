package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.deadlines.DeadlineBoost;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the daily deadlines that operators have configured for queues: which jobs count towards
 * them, the forecast, and which jobs are boosted so that fewer are late. A boost takes effect only
 * once it is recorded, so that a later leader keeps the order. Confined to the leader's thread.
 */
public final class DailyDeadlines {
  private static final Logger LOG = LoggerFactory.getLogger(DailyDeadlines.class);
  private static final TimeSpan MIN_UPDATE_INTERVAL = TimeSpan.seconds(1);

  /** Minimum time between two writes, over all queues: at most a fifth of a write per second. */
  private static final TimeSpan MIN_WRITE_INTERVAL = TimeSpan.seconds(5);

  private static final int MAX_KEPT_RECORDS = 30;

  private final List<DeadlineRule> rules;
  private final DeadlineWorkload workload;

  /** Open deadlines by queue, as last updated. */
  private final Map<String, DailyDeadline> openDeadlines = new LinkedHashMap<>();

  /** Open deadlines by queue, as the key-value store holds them. Only these boost jobs. */
  private final Map<String, DailyDeadline> recordedDeadlines = new HashMap<>();

  /** Names of all records of each queue, oldest first. */
  private final Map<String, Set<String>> recordNames = new HashMap<>();

  private final List<DailyDeadline> endedToRecord = new ArrayList<>();
  private final List<String> toDelete = new ArrayList<>();
  private final Map<String, Integer> readyCounts = new HashMap<>();
  private final Map<JobId, Integer> boostRanks = new HashMap<>();

  private MonotonicTime lastUpdateAt = MonotonicTime.LONG_AGO;
  private MonotonicTime lastWriteAt = MonotonicTime.LONG_AGO;
  private boolean writeInFlight;

  /** Creates a tracker for the operators' rules, with no recorded deadlines. */
  public DailyDeadlines(
      List<DeadlineRule> rules,
      RunTimeEstimates estimates,
      QuotaUsage quotaUsage,
      Map<String, Policy.TeamQuota> teams) {
    this.rules = rules;
    workload = new DeadlineWorkload(estimates, quotaUsage, teams);
  }

  /**
   * Returns how many of the jobs that an earlier leader last recorded as pending have ended since.
   */
  private int completedSince(DailyDeadline deadline, Collection<Job> jobs) {
    int stillPending = 0;
    for (DeadlineRule rule : rules) {
      for (Job job : rule.queue().equals(deadline.queue()) ? jobs : List.<Job>of()) {
        stillPending +=
            DeadlineWorkload.belongsTo(rule, job, deadline)
                    && job.queueState().admissionPosition().revision()
                        <= deadline.lastSeenRevision()
                ? 1
                : 0;
      }
    }
    return Math.max(0, deadline.pendingJobs() - stillPending);
  }

  /**
   * Restores the deadlines that leaders of earlier terms recorded.
   *
   * @param jobs the live jobs
   */
  public void restore(Collection<DailyDeadline> deadlines, Collection<Job> jobs) {
    for (DailyDeadline deadline : deadlines) {
      recordNames
          .computeIfAbsent(deadline.queue(), q -> new TreeSet<>())
          .add(deadline.recordName());
      if (deadline.outcome() == null) {
        openDeadlines.put(deadline.queue(), deadline);
        recordedDeadlines.put(deadline.queue(), deadline);
        readyCounts.put(deadline.queue(), deadline.readyJobs() + completedSince(deadline, jobs));
      }
    }
    updateBoostRanks();
  }

  /** Recomputes the ranks of the jobs that recorded deadlines boost. */
  private void updateBoostRanks() {
    boostRanks.clear();
    for (DailyDeadline deadline : new TreeMap<>(recordedDeadlines).values()) {
      if (deadline.outcome() == null) {
        deadline.boosted().forEach(id -> boostRanks.putIfAbsent(id, boostRanks.size()));
      }
    }
  }

  /**
   * Returns the job's rank among the boosted jobs, or {@link Integer#MAX_VALUE} if it is not
   * boosted.
   */
  public int boostRank(Job job) {
    return boostRanks.isEmpty()
        ? Integer.MAX_VALUE
        : boostRanks.getOrDefault(job.id(), Integer.MAX_VALUE);
  }

  /**
   * Returns when the deadline that boosts the job is due, in wall-clock milliseconds, or 0 if the
   * job is not boosted.
   */
  public long boostDeadlineMs(Job job) {
    if (!boostRanks.containsKey(job.id())) {
      return 0;
    }
    for (DailyDeadline deadline : recordedDeadlines.values()) {
      if (deadline.outcome() == null && deadline.boosted().contains(job.id())) {
        return deadline.dueMs();
      }
    }
    return 0;
  }

  /** Counts a job that has ended with all its tasks done. */
  public void onJobDone(Job job) {
    for (DeadlineRule rule : rules) {
      if (openDeadlines.containsKey(rule.queue())
          && rule.matches(job.spec.jobClass(), job.spec.team())) {
        readyCounts.merge(rule.queue(), 1, Integer::sum);
      }
    }
  }

  /**
   * Opens, forecasts and closes the deadlines, at most once a second.
   *
   * @param waitingJobs the waiting jobs in queue order
   * @param fleet the resources of all machines that are usable or booting
   * @param wallMs the wall-clock time in milliseconds, corrected by the clocks of the peers
   */
  public void update(
      Collection<Job> jobs,
      List<WaitingJob> waitingJobs,
      Resources fleet,
      boolean reconciled,
      long wallMs,
      MonotonicTime now) {
    if (rules.isEmpty() || !reconciled || MIN_UPDATE_INTERVAL.longerThan(now.since(lastUpdateAt))) {
      return;
    }
    lastUpdateAt = now;
    DeadlineWorkload.Snapshot snapshot = workload.snapshot(jobs, waitingJobs, fleet, now);
    for (DeadlineRule rule : rules) {
      DailyDeadline deadline = openDeadlines.get(rule.queue());
      if (deadline != null && wallMs >= deadline.dueMs()) {
        close(rule, deadline, jobs, wallMs);
        deadline = null;
      }
      if (deadline == null) {
        deadline = open(rule, wallMs);
      }
      if (deadline != null) {
        openDeadlines.put(rule.queue(), forecast(rule, deadline, snapshot, wallMs));
      }
    }
  }

  /** Returns the deadline that opens now, or {@code null} if none does. */
  private DailyDeadline open(DeadlineRule rule, long wallMs) {
    DailyDeadline deadline = rule.openAt(wallMs);
    if (deadline == null) {
      return null;
    }
    if (recordNames.getOrDefault(rule.queue(), Set.of()).contains(deadline.recordName())) {
      // This deadline has already ended and must not reopen when the clock steps back.
      return null;
    }
    readyCounts.put(rule.queue(), 0);
    LOG.info("daily deadline opened: queue {}, due {}", deadline.queue(), deadline.day());
    return deadline;
  }

  private DailyDeadline forecast(
      DeadlineRule rule, DailyDeadline before, DeadlineWorkload.Snapshot snapshot, long wallMs) {
    DeadlineWorkload.QueueWorkload queue = workload.measure(rule, before, snapshot);
    int readyJobs = readyCounts.getOrDefault(rule.queue(), 0);
    DailyDeadline deadline =
        DeadlineBoost.update(
            before, queue.pending(), readyJobs, queue.lastSeenRevision(), queue.supply(), wallMs);
    if (deadline.atRiskSinceMs() > 0 && before.atRiskSinceMs() == 0) {
      LOG.info(
          "daily deadline at risk: queue {}, {} of {} jobs forecast in time, {} boosted",
          deadline.queue(),
          deadline.forecastInTime(),
          deadline.readyJobs() + deadline.pendingJobs(),
          deadline.boosted().size());
    } else if (deadline.atRiskSinceMs() == 0 && before.atRiskSinceMs() > 0) {
      LOG.info("daily deadline no longer at risk: queue {}", deadline.queue());
    }
    return deadline;
  }

  private void close(DeadlineRule rule, DailyDeadline deadline, Collection<Job> jobs, long wallMs) {
    int missing = 0;
    for (Job job : jobs) {
      missing += DeadlineWorkload.belongsTo(rule, job, deadline) ? 1 : 0;
    }
    int readyJobs = readyCounts.getOrDefault(rule.queue(), 0);
    boolean met = readyJobs >= deadline.targetShare() * (readyJobs + missing) - 1e-9;
    DailyDeadline ended =
        deadline.closed(readyJobs, new DailyDeadline.DeadlineOutcome(missing, met, wallMs));
    LOG.info(
        "daily deadline {}: queue {}, {}, {} of {} jobs ready",
        met ? "met" : "missed",
        deadline.queue(),
        deadline.day(),
        readyJobs,
        readyJobs + missing);
    openDeadlines.remove(rule.queue());
    recordedDeadlines.remove(rule.queue());
    endedToRecord.add(ended);
    Set<String> queueRecords = recordNames.computeIfAbsent(rule.queue(), q -> new TreeSet<>());
    queueRecords.add(ended.recordName());
    while (queueRecords.size() > MAX_KEPT_RECORDS) {
      String oldest = queueRecords.iterator().next();
      queueRecords.remove(oldest);
      toDelete.add(oldest);
    }
    updateBoostRanks();
  }

  /**
   * Returns the next record to write, or {@code null} if there is none. {@link #onWritten} reports
   * the result of the write.
   */
  public DailyDeadline takeToRecord(MonotonicTime now) {
    if (writeInFlight || MIN_WRITE_INTERVAL.longerThan(now.since(lastWriteAt))) {
      return null;
    }
    DailyDeadline next = null;
    if (!endedToRecord.isEmpty()) {
      next = endedToRecord.get(0);
    } else {
      for (DailyDeadline deadline : openDeadlines.values()) {
        DailyDeadline recorded = recordedDeadlines.get(deadline.queue());
        if (recorded == null || differs(recorded, deadline)) {
          next = deadline;
          break;
        }
      }
    }
    if (next != null) {
      writeInFlight = true;
      lastWriteAt = now;
    }
    return next;
  }

  private static boolean differs(DailyDeadline recorded, DailyDeadline current) {
    return recorded.readyJobs() != current.readyJobs()
        || recorded.pendingJobs() != current.pendingJobs()
        || recorded.atRiskSinceMs() != current.atRiskSinceMs()
        || !recorded.boosted().equals(current.boosted());
  }

  /** Handles the result of a write. A record whose write failed is offered again. */
  public void onWritten(DailyDeadline deadline, boolean succeeded) {
    writeInFlight = false;
    if (!succeeded) {
      return;
    }
    if (deadline.outcome() != null) {
      endedToRecord.remove(deadline);
    } else if (openDeadlines.containsKey(deadline.queue())
        && openDeadlines.get(deadline.queue()).recordName().equals(deadline.recordName())) {
      recordedDeadlines.put(deadline.queue(), deadline);
      updateBoostRanks();
    }
  }

  /** Returns the names of the records that are to be deleted, and clears the list. */
  public List<String> takeToDelete() {
    List<String> names = List.copyOf(toDelete);
    toDelete.clear();
    return names;
  }
}
