package io.saltflow.leader;

import io.saltflow.cluster.DesiredReplicas;
import io.saltflow.cluster.DisruptionBudget;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.fencing.TaskOutcomes;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;
import io.saltflow.scheduler.Preemption;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks each job from submission to its end and selects the job records to write to the key-value
 * store. The caller reads and writes the records and reports each result here.
 */
public final class JobLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);

  private final ClusterState cluster;
  private final Map<JobId, Job> scheduled;
  private final TaskOutcomes taskOutcomes;
  private final RecordedDecisions decisions;
  private final Reconciliation reconciliation;
  private final RoundTrigger roundTrigger;

  JobLifecycle(
      ClusterState cluster,
      TaskOutcomes taskOutcomes,
      RecordedDecisions decisions,
      Reconciliation reconciliation,
      RoundTrigger roundTrigger) {
    this.cluster = cluster;
    this.scheduled = cluster.jobs().scheduled();
    this.taskOutcomes = taskOutcomes;
    this.decisions = decisions;
    this.reconciliation = reconciliation;
    this.roundTrigger = roundTrigger;
  }

  /** Restores the jobs that were read after the election. */
  void restore(Collection<Job> inherited) {
    for (Job job : inherited) {
      add(job);
    }
    cluster.jobs().dependencies().onFailover();
  }

  /** Returns the scheduled jobs, without those held by their dependencies. */
  public Collection<Job> scheduled() {
    return scheduled.values();
  }

  /** Returns the ids of all live jobs, including held ones. */
  public List<JobId> liveIds() {
    return cluster.jobs().ids();
  }

  /** Returns the live job with this id, scheduled or held, or {@code null} if it is unknown. */
  public Job find(JobId id) {
    return cluster.jobs().find(id);
  }

  /** Schedules a job unless its dependencies hold it. */
  private void add(Job job) {
    long leaderSinceMs = cluster.term().wallClockMs(cluster.term().since());
    boolean held = cluster.jobs().dependencies().onJobAdded(job, leaderSinceMs);
    setDeadlines(job);
    if (!held) {
      scheduled.put(job.id(), job);
    }
  }

  /**
   * Sets the deadline of a job, which counts from its submission, and the targets of its class,
   * which count from the end of its last dependency.
   */
  private void setDeadlines(Job job) {
    job.queueState().setEligibleAt(cluster.term().monotonicTime(job.queueState().eligibleWallMs()));
    TimeSpan classStartTarget = cluster.policy().startTargetByClass().get(job.spec.jobClass());
    job.queueState()
        .setStartBy(
            classStartTarget == null ? null : job.queueState().eligibleAt().plus(classStartTarget));
    if (job.spec.daemon()) {
      return;
    }
    TimeSpan deadline = job.spec.deadline();
    TimeSpan classDeadline = cluster.policy().completionTargetByClass().get(job.spec.jobClass());
    if (deadline != null) {
      job.queueState().setDueAt(cluster.term().monotonicTime(job.arrivedWallMs).plus(deadline));
    } else if (classDeadline != null) {
      job.queueState().setDueAt(job.queueState().eligibleAt().plus(classDeadline));
    }
  }

  /** Schedules the held jobs whose dependencies are all done. */
  void scheduleReleased(MonotonicTime now) {
    TimeSpan leaseExpiry = cluster.policy().workerLease().maximumOnRemoteClock();
    boolean earlierLeasesExpired =
        reconciliation.isComplete()
            && now.since(reconciliation.completedAt()).longerThan(leaseExpiry);
    for (Job job : cluster.jobs().dependencies().takeReleased(earlierLeasesExpired)) {
      job.queueState().setOperatorOverride(decisions.operatorOverride(job.id()));
      setDeadlines(job);
      scheduled.put(job.id(), job);
      roundTrigger.request();
    }
  }

  /** Adds a job to the lane of its priority, ordered by arrival. */
  public void onAdded(JobSpec spec, long arrivedWallMs, boolean mayHaveStarted) {
    Lane lane = Lane.of(spec.priority());
    onAdded(spec, arrivedWallMs, mayHaveStarted, lane, new AdmissionPosition(0, 0));
  }

  /**
   * Adds a job whose live record was read. Has no effect if the job is known already.
   *
   * @param arrivedWallMs when the job was submitted, in milliseconds since the epoch
   * @param mayHaveStarted whether an earlier leader may have launched some of its tasks
   */
  public void onAdded(
      JobSpec spec,
      long arrivedWallMs,
      boolean mayHaveStarted,
      Lane lane,
      AdmissionPosition position) {
    if (find(spec.id()) != null) {
      return;
    }
    Job job = new Job(spec, arrivedWallMs, new BitSet(), mayHaveStarted);
    job.queueState().setOrderKey(lane, position);
    job.queueState().setOperatorOverride(decisions.operatorOverride(spec.id()));
    add(job);
    roundTrigger.request();
    LOG.info(
        "{} arrived: {} {} tasks of {}, {}",
        spec.id(),
        spec.tasks(),
        spec.jobClass(),
        spec.team(),
        spec.priority());
  }

  /**
   * Cancels a job whose record was deleted by a user and not by this leader. Its dependents stay
   * held until the record of its end is read, because an end written by this leader may have been
   * committed although its response was lost.
   */
  public void onRemoved(JobId id, MonotonicTime now) {
    Job job = find(id);
    if (job == null || job.isFinishing()) {
      return;
    }
    cluster.jobs().dependencies().onJobRemoved(id);
    cancel(job, now);
  }

  /**
   * Processes the completion record of a job that is done.
   *
   * @param endedMs when the job ended, in milliseconds since the epoch
   */
  public void onCompletionRead(JobId id, long endedMs, MonotonicTime now) {
    cluster.jobs().dependencies().onJobDone(id, endedMs);
    scheduleReleased(now);
  }

  /** Cancels a job whose cancellation record was read or written. */
  public void onCancellationRead(JobId id, MonotonicTime now) {
    Job job = find(id);
    cluster.jobs().dependencies().onJobCancelled(id);
    if (job != null) {
      cancel(job, now);
    }
  }

  private void cancel(Job job, MonotonicTime now) {
    if (!job.isCancelled()) {
      LOG.info("{} was cancelled", job.id());
    }
    job.setCancelled(true);
    roundTrigger.request();
    for (TaskPlacement placement : job.placements.values()) {
      placement.requestStop(now, new TimeSpan(0));
    }
    removeIfStopped(job);
  }

  /** Removes a cancelled job once none of its tasks may be on a machine. */
  void removeIfStopped(Job job) {
    if (job.isCancelled() && job.placements.isEmpty()) {
      scheduled.remove(job.id());
      cluster.reconciler().onJobEnded(job);
      taskOutcomes.onJobEnded(job.id());
    }
  }

  /**
   * Sets the desired replicas of one version of a service. Excess replicas are stopped.
   *
   * @param disruptions the disruption budget shared by all versions of the service
   */
  public void setDesiredReplicas(JobId id, DesiredReplicas desired, DisruptionBudget disruptions) {
    Job job = scheduled.get(id);
    if (job == null || !job.isService()) {
      return;
    }
    job.replicas().setDisruptionBudget(disruptions);
    if (job.replicas().setDesired(desired)) {
      roundTrigger.request();
    }
  }

  /** Stops the replicas of a service that exceed the desired number. */
  void stopExcessReplicas(Job job, MonotonicTime now) {
    if (!job.isService()) {
      return;
    }
    if (job.replicas().recountDeparting()) {
      roundTrigger.request();
    }
    for (TaskPlacement placement : job.replicas().excess()) {
      placement.requestStop(now, Preemption.gracePeriod(placement));
    }
  }

  /** Returns the jobs whose tasks are all done and whose completion is not recorded yet. */
  public List<Job> toFinish() {
    List<Job> unfinished = new ArrayList<>();
    for (Job job : scheduled.values()) {
      if (job.allDone() && !job.isFinishing() && !job.isCancelled()) {
        unfinished.add(job);
      }
    }
    return unfinished;
  }

  /**
   * Sets whether the completion record of a job is being written.
   *
   * @param writeInFlight {@code false} only if the record was certainly not written
   */
  public void setFinishing(Job job, boolean writeInFlight) {
    job.setFinishing(writeInFlight);
  }

  /** Removes a job whose completion was recorded and releases its dependents. */
  public void onFinished(Job job, MonotonicTime now) {
    if (scheduled.remove(job.id()) != null) {
      decisions.onJobDone(job);
      cluster.reconciler().onJobEnded(job);
    }
    taskOutcomes.onJobEnded(job.id());
    double secondsLate = job.queueState().overdueS(now);
    LOG.info(
        "{} is done{}",
        job.id(),
        secondsLate > 0 ? ", " + Math.round(secondsLate) + " s late" : "");
    onCompletionRead(job.id(), cluster.term().wallClockMs(now), now);
  }

  /** Returns the jobs with progress that is not in the key-value store yet. */
  public List<Job> toRecord() {
    List<Job> unrecorded = new ArrayList<>();
    for (Job job : scheduled.values()) {
      if (job.hasUnrecordedProgress() && !job.allDone() && !job.isCancelled()) {
        unrecorded.add(job);
      }
    }
    return unrecorded;
  }

  /** Marks the current progress of a job as being written. */
  public void onRecordingStarted(Job job) {
    job.setUnrecordedProgress(false);
  }

  /**
   * Returns the jobs that must be recorded as possibly started before their first launch, each job
   * once.
   */
  public List<Job> toMarkStarted() {
    List<Job> unmarked = new ArrayList<>();
    for (Job job : scheduled.values()) {
      if (!job.isStartRecorded() && !job.isStartRecordRequested() && !job.isCancelled()) {
        job.setStartRecordRequested(true);
        unmarked.add(job);
      }
    }
    return unmarked;
  }

  /**
   * Handles a successful write of a job's progress, which also records that the job may have
   * started.
   *
   * @param doneTasks the tasks recorded as done
   */
  public void onProgressRecorded(Job job, BitSet doneTasks) {
    job.setRecordedTasks(doneTasks);
    if (!job.isStartRecorded()) {
      roundTrigger.request();
    }
    job.setStartRecorded(true);
  }
}
