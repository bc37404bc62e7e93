package io.saltflow.scheduler;

import io.saltflow.binpacking.MigrationPlan;
import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.binpacking.ReplicaMove;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the migration plans that a leader knows: the active ones, the ended ones, and the records
 * that have to be written or deleted.
 */
final class MigrationPlans {
  private static final Logger LOG = LoggerFactory.getLogger(MigrationPlans.class);

  /**
   * Maximum number of ended plans that are kept. They are shown to operators and tell which
   * replicas were moved recently.
   */
  private static final int MAX_ENDED_PLANS = 60;

  /** Minimum time between two moves of the same replica. */
  private static final TimeSpan MIN_TIME_BETWEEN_MOVES = TimeSpan.seconds(600);

  private static final long HOUR_MS = 3_600_000;

  /** A plan that is being executed. */
  static final class ActivePlan {
    private final RecordedPlan plan;
    private final MonotonicTime since;
    private boolean recorded;

    private ActivePlan(RecordedPlan plan, boolean recorded, MonotonicTime since) {
      this.plan = plan;
      this.recorded = recorded;
      this.since = since;
    }

    RecordedPlan plan() {
      return plan;
    }

    MonotonicTime since() {
      return since;
    }

    /** Returns whether the key-value store holds the plan. Its moves may begin only then. */
    boolean isRecorded() {
      return recorded;
    }
  }

  private final Term term;
  private final long wallClockOffsetMs;
  private final Map<String, ActivePlan> activePlans = new LinkedHashMap<>();
  private final Map<String, RecordedPlan> endedPlans = new LinkedHashMap<>();
  private final List<RecordedPlan> toRecord = new ArrayList<>();
  private final List<String> toDelete = new ArrayList<>();
  private long sequence;

  /**
   * Creates an empty set of plans.
   *
   * @param wallClockOffsetMs the wall-clock time minus the monotonic time, in milliseconds
   */
  MigrationPlans(Term term, long wallClockOffsetMs) {
    this.term = term;
    this.wallClockOffsetMs = wallClockOffsetMs;
  }

  /** Restores the plans that leaders of earlier terms recorded. */
  void restore(Collection<RecordedPlan> plans, MonotonicTime now) {
    for (RecordedPlan plan : plans) {
      if (plan.outcome() == null) {
        activePlans.put(
            plan.name(), new ActivePlan(plan, true, toMonotonic(plan.plannedMs(), now)));
        LOG.info("migration resumed: {}", describe(plan));
      } else {
        endedPlans.put(plan.name(), plan);
      }
    }
  }

  /**
   * Converts a wall-clock time to this leader's monotonic time. Times in the future become the
   * current time.
   */
  private MonotonicTime toMonotonic(long wallMs, MonotonicTime now) {
    return MonotonicTime.earlier(now, new MonotonicTime(wallMs - wallClockOffsetMs));
  }

  /** Converts a monotonic time to wall-clock milliseconds since the epoch. */
  long toWallMs(MonotonicTime now) {
    return now.ms() + wallClockOffsetMs;
  }

  /** Adds a new plan, which has to be recorded before its first move. */
  void add(JobId waitingJob, MigrationPlan plan, MonotonicTime now) {
    String name = "p-" + term + "-" + ++sequence;
    RecordedPlan recordedPlan =
        new RecordedPlan(name, waitingJob, plan.target(), plan.moves(), toWallMs(now), null);
    activePlans.put(name, new ActivePlan(recordedPlan, false, now));
    toRecord.add(recordedPlan);
    LOG.info("migration planned: {}", describe(recordedPlan));
  }

  /** Ends a plan and queues its record with the outcome to be written. */
  void finish(ActivePlan active, RecordedPlan.PlanOutcome outcome) {
    RecordedPlan ended = active.plan.withOutcome(outcome);
    activePlans.remove(ended.name());
    endedPlans.put(ended.name(), ended);
    toRecord.add(ended);
    if (outcome.succeeded()) {
      LOG.info("migration complete: {}", describe(ended));
    } else {
      LOG.info("migration abandoned: {}: {}", describe(ended), outcome.reason());
    }
    while (endedPlans.size() > MAX_ENDED_PLANS) {
      String oldest = endedPlans.keySet().iterator().next();
      endedPlans.remove(oldest);
      toDelete.add(oldest);
    }
  }

  /** Returns a copy of the active plans. */
  List<ActivePlan> activePlans() {
    return List.copyOf(activePlans.values());
  }

  /** Returns the number of active plans. */
  int activeCount() {
    return activePlans.size();
  }

  /** Returns whether an active plan makes room for the job. */
  boolean isActiveFor(JobId waitingJob) {
    return activePlans.values().stream()
        .anyMatch(active -> active.plan.waitingJob().equals(waitingJob));
  }

  /**
   * Returns how many moves belong to plans that were created within the last hour and have ended.
   */
  long movesInLastHour(MonotonicTime now) {
    long hourAgoMs = toWallMs(now) - HOUR_MS;
    return endedPlans.values().stream()
        .filter(plan -> plan.plannedMs() > hourAgoMs)
        .mapToLong(plan -> plan.moves().size())
        .sum();
  }

  /** Returns whether the replica is being moved or was moved too recently to be moved again. */
  boolean movedRecently(TaskId task, MonotonicTime now) {
    long sinceMs = toWallMs(now) - MIN_TIME_BETWEEN_MOVES.ms();
    for (RecordedPlan plan : endedPlans.values()) {
      boolean recent = plan.outcome().atMs() > sinceMs;
      if (recent && containsMove(plan, task)) {
        return true;
      }
    }
    return activePlans.values().stream().anyMatch(active -> containsMove(active.plan, task));
  }

  private static boolean containsMove(RecordedPlan plan, TaskId task) {
    for (ReplicaMove move : plan.moves()) {
      if (move.task().equals(task)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the plans to write, each as a complete record under its name, and clears the list. The
   * moves of a new plan begin once its write is confirmed.
   */
  List<RecordedPlan> takeToRecord() {
    List<RecordedPlan> records = List.copyOf(toRecord);
    toRecord.clear();
    return records;
  }

  /** Returns the names of the plans whose records are to be deleted, and clears the list. */
  List<String> takeToDelete() {
    List<String> names = List.copyOf(toDelete);
    toDelete.clear();
    return names;
  }

  /** Handles the result of a write. A plan whose write failed is queued again. */
  void onRecorded(RecordedPlan plan, boolean succeeded) {
    ActivePlan active = activePlans.get(plan.name());
    if (succeeded && active != null && active.plan == plan) {
      active.recorded = true;
    } else if (!succeeded) {
      toRecord.add(active == null ? endedPlans.getOrDefault(plan.name(), plan) : active.plan);
    }
  }

  /** Returns one line of text for each ended plan, for operators. */
  List<String> describeEnded() {
    List<String> lines = new ArrayList<>();
    for (RecordedPlan plan : endedPlans.values()) {
      RecordedPlan.PlanOutcome outcome = plan.outcome();
      lines.add(
          describe(plan) + ": " + (outcome.succeeded() ? "done" : "given up, " + outcome.reason()));
    }
    return lines;
  }

  /** Returns the plan as one line of text, for operators. */
  static String describe(RecordedPlan plan) {
    return "room for "
        + plan.waitingJob()
        + " on "
        + plan.target()
        + " by moving "
        + plan.moves().size()
        + " replicas ("
        + plan.name()
        + ")";
  }
}
