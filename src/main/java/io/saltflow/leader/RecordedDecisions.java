package io.saltflow.leader;

import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.OperatorOverride;
import io.saltflow.priority.QueueOrderInputs;
import io.saltflow.scheduler.DailyDeadlines;
import io.saltflow.scheduler.RecordedOrderInputs;
import io.saltflow.scheduler.ReplicaMigrations;
import io.saltflow.scheduler.Scheduler;
import io.saltflow.scheduler.WaitingJob;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decisions other than launches that a successor continues: plans to migrate replicas, inputs of
 * the queue order, daily deadlines, and operator overrides. Each takes effect only once it is
 * recorded. The caller writes the records and reports each result here.
 */
public final class RecordedDecisions {
  private static final Logger LOG = LoggerFactory.getLogger(RecordedDecisions.class);

  /**
   * Time after a failover during which overrides are kept, by the end of which every submission
   * batch is unpacked.
   */
  private static final TimeSpan OVERRIDE_RETENTION = TimeSpan.seconds(60);

  private final ClusterState cluster;
  private final ReplicaMigrations migrations;
  private final DailyDeadlines dailyDeadlines;
  private final RecordedOrderInputs orderInputs = new RecordedOrderInputs();

  /** Overrides by job. The override of an ended job stays until its record is deleted. */
  private final Map<JobId, OperatorOverride> overrides = new LinkedHashMap<>();

  /**
   * Difference between the wall clock agreed on by the controllers and the monotonic clock, in
   * milliseconds.
   */
  private long wallClockOffsetMs;

  /**
   * Whether replicas may be migrated, given the load of the key-value store and of the machines.
   */
  private boolean migrationAllowed;

  private boolean changedSinceRound;
  private MonotonicTime overridesKeptUntil = MonotonicTime.NEVER;

  RecordedDecisions(ClusterState cluster) {
    this.cluster = cluster;
    Policy policy = cluster.policy();
    LeaderTerm term = cluster.term();
    wallClockOffsetMs = term.wallClockOffsetMs();
    dailyDeadlines =
        new DailyDeadlines(
            policy.deadlineRules(), cluster.estimates(), cluster.quotaUsage(), policy.teams());
    migrations =
        new ReplicaMigrations(
            cluster.jobs().scheduled(),
            cluster.reconciler()::findMachine,
            cluster.estimates(),
            cluster.eventSummary(),
            term.number(),
            term.wallClockOffsetMs());
  }

  /** Returns the inputs of the queue order for the scheduler. */
  RecordedOrderInputs orderInputs() {
    return orderInputs;
  }

  /** Returns whether a change was recorded that the next scheduling round has to consider. */
  boolean changedSinceRound() {
    return changedSinceRound;
  }

  /** Handles the completion of a failover. */
  void onReconciled(MonotonicTime now) {
    overridesKeptUntil = now.plus(OVERRIDE_RETENTION);
  }

  /**
   * Returns the operator override of a job's position in the queue, or {@code null} if there is
   * none.
   */
  OperatorOverride operatorOverride(JobId id) {
    return overrides.get(id);
  }

  /** Counts a job that is done towards the daily deadlines that include it. */
  void onJobDone(Job job) {
    dailyDeadlines.onJobDone(job);
  }

  /** Returns the wait reasons of jobs that a replica migration might help. */
  Map<JobId, String> migrationWaitReasons() {
    return migrations.waitReasons();
  }

  /** Sets the boost of each job and advances the migrations. */
  void beforeRound(Collection<Machine> machines, boolean reconciled, MonotonicTime now) {
    changedSinceRound = false;
    for (Job job : cluster.jobs().scheduled().values()) {
      job.queueState().setBoostRank(dailyDeadlines.boostRank(job));
      long dueMs =
          job.queueState().boostRank() == Integer.MAX_VALUE
              ? 0
              : dailyDeadlines.boostDeadlineMs(job);
      job.queueState()
          .setBoostDueAt(dueMs == 0 ? null : new MonotonicTime(dueMs - wallClockOffsetMs));
    }
    migrations.advance(machines, reconciled, now);
  }

  /**
   * Plans migrations and updates the daily deadlines from the jobs left waiting by the round.
   *
   * @param mayScaleOutFor whether the cloud may still have a machine for a job
   * @param expectedResources the resources expected soon, from machines that are up, booting or
   *     about to be created
   */
  void afterRound(
      List<WaitingJob> waiting,
      Scheduler scheduler,
      Function<Job, Boolean> mayScaleOutFor,
      Resources expectedResources,
      boolean reconciled,
      MonotonicTime now) {
    if (migrationAllowed) {
      migrations.plan(
          waiting,
          scheduler.usableMachines(),
          scheduler.bootingMachines(),
          mayScaleOutFor,
          reconciled,
          now);
    }
    dailyDeadlines.update(
        cluster.jobs().scheduled().values(),
        waiting,
        expectedResources,
        reconciled,
        now.ms() + wallClockOffsetMs,
        now);
  }

  /** Restores the migrations recorded by earlier leaders. */
  public void restoreMigrationPlans(Collection<RecordedPlan> recorded, MonotonicTime now) {
    migrations.restore(recorded, now);
  }

  /** Sets whether the state of the key-value store permits replica migrations. */
  public void setMigrationAllowed(boolean allowed) {
    migrationAllowed = allowed;
  }

  /**
   * Returns the migration plans to write, each plan once. The result is reported to {@link
   * #onMigrationPlanRecorded}.
   */
  public List<RecordedPlan> migrationPlansToRecord() {
    return migrations.takeToRecord();
  }

  /**
   * Handles the result of writing a migration plan.
   *
   * @param succeeded {@code false} if the plan may not have been written
   */
  public void onMigrationPlanRecorded(RecordedPlan plan, boolean succeeded) {
    migrations.onRecorded(plan, succeeded);
    changedSinceRound = true;
  }

  /** Returns the names of the migration plans whose records are to be deleted. */
  public List<String> migrationPlansToDelete() {
    return migrations.takeToDelete();
  }

  /**
   * Returns one line for each planned, completed and abandoned migration, and for each job waiting
   * for one.
   */
  public List<String> migrationStatusLines() {
    return migrations.describePlans();
  }

  /**
   * Restores the inputs of the queue order recorded by an earlier leader.
   *
   * @param recorded the inputs, or {@code null} if none are recorded
   */
  public void restoreOrderInputs(QueueOrderInputs recorded) {
    orderInputs.restore(recorded);
    if (recorded != null) {
      cluster.estimates().inheritCorrections(recorded.estimateCorrections());
    }
  }

  /**
   * Returns the inputs of the queue order to write now, or {@code null} if there are none. The
   * result is reported to {@link #onOrderInputsRecorded}.
   */
  public QueueOrderInputs orderInputsToRecord(MonotonicTime now) {
    return orderInputs.takeToRecord(now);
  }

  /**
   * Handles the result of writing the inputs of the queue order.
   *
   * @param succeeded {@code false} if the inputs may not have been written
   */
  public void onOrderInputsRecorded(QueueOrderInputs written, boolean succeeded) {
    orderInputs.onWritten(written, succeeded);
  }

  /** Restores the daily deadlines recorded by earlier leaders. */
  public void restoreDailyDeadlines(Collection<DailyDeadline> recorded) {
    dailyDeadlines.restore(recorded, cluster.jobs().scheduled().values());
  }

  /** Sets the wall clock agreed on by the controllers, in milliseconds since the epoch. */
  public void setWallClock(long wallMs, MonotonicTime now) {
    wallClockOffsetMs = wallMs - now.ms();
  }

  /**
   * Returns a daily deadline to write, or {@code null} if there is none. The result is reported to
   * {@link #onDailyDeadlineRecorded}.
   */
  public DailyDeadline dailyDeadlineToRecord(MonotonicTime now) {
    return dailyDeadlines.takeToRecord(now);
  }

  /**
   * Handles the result of writing a daily deadline.
   *
   * @param succeeded {@code false} if the deadline may not have been written
   */
  public void onDailyDeadlineRecorded(DailyDeadline written, boolean succeeded) {
    dailyDeadlines.onWritten(written, succeeded);
    changedSinceRound = true;
  }

  /** Returns the names of the daily deadlines whose records are to be deleted. */
  public List<String> dailyDeadlinesToDelete() {
    return dailyDeadlines.takeToDelete();
  }

  /** Applies an operator override that moves a job to another lane or to the front of its lane. */
  public void onOperatorOverride(JobId id, OperatorOverride operatorOverride) {
    OperatorOverride previous = overrides.put(id, operatorOverride);
    Job job = cluster.jobs().scheduled().get(id);
    if (job != null && !operatorOverride.equals(previous)) {
      job.queueState().setOperatorOverride(operatorOverride);
      changedSinceRound = true;
      LOG.info(
          "operator moved job {} {}",
          id,
          operatorOverride.lane() == null
              ? "to the front of its lane"
              : "to lane " + operatorOverride.lane());
    }
  }

  /** Returns the ended jobs whose overrides are to be deleted from the key-value store. */
  public List<JobId> overridesToDelete(MonotonicTime now) {
    return now.before(overridesKeptUntil)
        ? List.of()
        : overrides.keySet().stream().filter(id -> cluster.jobs().find(id) == null).toList();
  }

  /**
   * Handles the result of deleting the overrides of jobs.
   *
   * @param succeeded {@code false} if the overrides may not have been deleted
   */
  public void onOverridesDeleted(List<JobId> ids, boolean succeeded) {
    if (succeeded) {
      overrides.keySet().removeAll(ids);
    }
  }
}
