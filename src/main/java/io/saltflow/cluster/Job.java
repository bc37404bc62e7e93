package io.saltflow.cluster;

import io.saltflow.fairshare.ShareGroup;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.OrderKey;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;

/**
 * A live job as the leader knows it. It tracks which tasks are done, placed or pending, and how
 * much of that is recorded in the store. {@link QueueState} holds its queue position, {@link
 * ServiceReplicas} its desired number of replicas. Used by the leader's thread only.
 */
public final class Job {
  /** Number of failed machines at which a service without completed tasks counts as defective. */
  private static final int SERVICE_FAILURE_MACHINES = 3;

  public final JobSpec spec;
  public final ShareGroup jobClass;
  public final ShareGroup team;
  public final long arrivedWallMs;
  public final BitSet done;
  public final TreeMap<Integer, TaskPlacement> placements = new TreeMap<>();

  /** Earliest restart times of tasks that failed or were refused, by task index. */
  public final TreeMap<Integer, MonotonicTime> notBefore = new TreeMap<>();

  /** Run time saved in checkpoints, by task index. */
  public final TreeMap<Integer, TimeSpan> checkpointedRunTime = new TreeMap<>();

  /** The machines on which its tasks have failed in this term. */
  public final FailedMachines failedMachines = new FailedMachines();

  /** Zones of the tasks that the last round assigned and that have not been launched. */
  public final List<String> assignedZones = new ArrayList<>();

  /** Whether an earlier term may have launched tasks, so that starts await full reconciliation. */
  public final boolean mayHaveStartedInEarlierTerm;

  private final QueueState queueState;
  private final ServiceReplicas replicas;
  private final RetryBackoff retryBackoff = new RetryBackoff();

  /** Tasks that need no machine because they are done, placed or assigned by the last round. */
  private final BitSet notPending;

  private BitSet recordedTasks;
  private boolean dependenciesMet;
  private boolean startRecorded;
  private boolean startRecordRequested;

  /** Whether a task has run, either observed in this term or recorded as done by an earlier one. */
  private boolean hasStarted;

  private int failures;
  private double lostToPreemptionS;
  private boolean needsExpensiveMachine;
  private boolean cancelled;
  private boolean finishing;
  private boolean unrecordedProgress;

  /**
   * Creates a live job.
   *
   * @param arrivedWallMs the admission time in wall-clock milliseconds
   * @param done the tasks that are recorded as done; the job takes ownership of the set
   * @param maybeStarted whether an earlier term may have launched tasks of the job
   */
  public Job(JobSpec spec, long arrivedWallMs, BitSet done, boolean maybeStarted) {
    this.mayHaveStartedInEarlierTerm = maybeStarted;
    this.startRecorded = maybeStarted;
    this.spec = spec;
    this.jobClass = ShareGroup.ofClass(spec.jobClass());
    this.team = ShareGroup.ofTeam(spec.team());
    this.arrivedWallMs = arrivedWallMs;
    this.queueState = new QueueState(spec, arrivedWallMs);
    this.replicas = new ServiceReplicas(spec, isService(), placements.values());
    this.done = done;
    this.notPending = (BitSet) done.clone();
    this.recordedTasks = (BitSet) done.clone();
    this.hasStarted = !done.isEmpty();
  }

  /** Returns the id of the job. */
  public JobId id() {
    return spec.id();
  }

  /** Sets whether all dependencies are recorded as done, as a progress record implies. */
  public Job dependenciesMet(boolean met) {
    dependenciesMet = met;
    return this;
  }

  /** Returns whether an earlier term recorded that all dependencies were done. */
  public boolean dependenciesMet() {
    return dependenciesMet;
  }

  /**
   * Returns the queue order key, computed from recorded progress. A job that depended on others
   * keeps its admission position, while its start target counts from the end of its last
   * dependency.
   *
   * @param guaranteed whether the job is within its team's guaranteed quota
   * @param estimateS the owner's estimate of one task's run time, in seconds
   */
  public OrderKey orderKey(boolean guaranteed, double estimateS) {
    int remainingTasks = Math.max(0, spec.tasks() - recordedTasks.cardinality());
    return new OrderKey(
        id(),
        spec.jobClass(),
        queueState.lane(),
        queueState.admissionPosition(),
        queueState.operatorOverride(),
        arrivedWallMs,
        remainingTasks * spec.size().cores() * Math.max(1, estimateS),
        queueState.boostRank(),
        queueState.hasLowSlack(),
        guaranteed,
        failsEverywhere(),
        spec.daemon());
  }

  /** Returns the queue position and the due times of the job. */
  public QueueState queueState() {
    return queueState;
  }

  /** Returns the desired and observed replicas. They are meaningful only for a service. */
  public ServiceReplicas replicas() {
    return replicas;
  }

  /** Returns the specification as submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the admission time in wall-clock milliseconds. */
  public long arrivedWallMs() {
    return arrivedWallMs;
  }

  /** Returns whether the given tasks include all that are recorded as done. */
  public boolean recordedWithin(BitSet tasks) {
    BitSet missing = (BitSet) recordedTasks.clone();
    missing.andNot(tasks);
    return missing.isEmpty();
  }

  /** Returns the tasks that are done, whether recorded or not. */
  public BitSet doneTasks() {
    return done;
  }

  /** Returns the number of tasks that are done. */
  public int doneCount() {
    return done.cardinality();
  }

  /** Returns the number of placed tasks whose last known state is running. */
  public int runningCount() {
    int count = 0;
    for (TaskPlacement placement : placements.values()) {
      if (placement.state() == TaskPlacement.State.RUNNING) {
        count++;
      }
    }
    return count;
  }

  /** Returns the number of task failures in this term. */
  public int failureCount() {
    return failures;
  }

  /** Returns whether the job is a service version, whose number of tasks is set by its record. */
  public boolean isService() {
    return spec.jobClass().startsWith(Wire.SERVICE_CLASS);
  }

  /** Records that a task is running and returns whether it is the first one known to run. */
  public boolean markStarted() {
    boolean first = !hasStarted;
    hasStarted = true;
    return first;
  }

  /** Returns whether none of the tasks has run, is placed or is assigned. */
  public boolean neverStarted() {
    return !hasStarted && placements.isEmpty() && assignedCount() == 0;
  }

  /** Returns whether every task is done, which never holds for a job that runs until stopped. */
  public boolean allDone() {
    return !spec.daemon() && done.cardinality() == spec.tasks();
  }

  /** Returns whether the job is considered defective because it fails on machine after machine. */
  public boolean failsEverywhere() {
    return isService()
        ? failedMachines.ids().size() >= SERVICE_FAILURE_MACHINES && doneCount() == 0
        : retryBackoff.isActive();
  }

  /** Sets whether the job is considered defective, which starts or ends the retry backoff. */
  public void setDefective(boolean defective, MonotonicTime now) {
    retryBackoff.setActive(defective, now);
  }

  /** Handles a task failure. The delay before the next retry of a defective job grows. */
  public void onRetryFailed(MonotonicTime now) {
    retryBackoff.onFailure(now);
  }

  /** Returns whether a task may start. To save resources, a defective job retries one at a time. */
  private boolean retryAllowed(MonotonicTime now) {
    return !retryBackoff.isActive() || (assignedCount() == 0 && retryBackoff.isDue(now));
  }

  /** Returns the total number of tasks the job should have, which a service's record sets. */
  public int desiredTasks() {
    return replicas.desiredTasks();
  }

  /** Returns the number of desired tasks that are neither done nor placed. */
  public int pendingCount() {
    return Math.max(0, desiredTasks() - done.cardinality() - placements.size());
  }

  /** Returns how many pending tasks to provide resources for, at most 1 for a defective job. */
  public int demandedTasks() {
    return failsEverywhere() ? Math.min(1, pendingCount()) : pendingCount();
  }

  /** Adds the placement of a task of this job. */
  public void addPlacement(TaskPlacement placement) {
    placements.put(placement.index, placement);
    notPending.set(placement.index);
  }

  /** Removes a placement. The task becomes pending again unless it is done. */
  public void removePlacement(TaskPlacement placement) {
    if (placements.remove(placement.index, placement)) {
      markUnassigned(placement.index);
    }
  }

  /** Marks a task as done. */
  public void markDone(int index) {
    done.set(index);
    notPending.set(index);
  }

  /** Marks a task as assigned to a machine, to be launched by the answer to its next heartbeat. */
  public void markAssigned(int index) {
    notPending.set(index);
  }

  /** Marks a task as no longer assigned. It becomes pending unless it is done or placed. */
  public void markUnassigned(int index) {
    notPending.set(index, done.get(index) || placements.containsKey(index));
  }

  /** Returns the next pending task at or after the index whose retry is not delayed, or -1. */
  public int nextPending(int from, MonotonicTime now) {
    if (!retryAllowed(now) || (isService() && notPending.cardinality() >= desiredTasks())) {
      return -1;
    }
    for (int i = notPending.nextClearBit(from);
        i < spec.tasks();
        i = notPending.nextClearBit(i + 1)) {
      MonotonicTime earliestRetry = notBefore.isEmpty() ? null : notBefore.get(i);
      if (earliestRetry == null || !now.before(earliestRetry)) {
        return i;
      }
    }
    return -1;
  }

  /** Returns the number of tasks that are placed or assigned. */
  public int assignedCount() {
    return notPending.cardinality() - done.cardinality();
  }

  /** Returns how many tasks at or after the index could start, counted up to {@code atMost}. */
  public int countPending(int from, int atMost, MonotonicTime now) {
    int limit = isService() ? Math.min(atMost, desiredTasks() - notPending.cardinality()) : atMost;
    if (retryBackoff.isActive()) {
      limit = Math.min(limit, 1);
    }
    if (limit <= 0 || !retryAllowed(now)) {
      return 0;
    }
    if (notBefore.isEmpty()) {
      int pendingBefore = from - notPending.get(0, from).cardinality();
      return Math.min(limit, spec.tasks() - notPending.cardinality() - pendingBefore);
    }
    int count = 0;
    for (int i = nextPending(from, now); i >= 0 && count < limit; i = nextPending(i + 1, now)) {
      count++;
    }
    return count;
  }

  /** Returns whether the job record tells the next leader that tasks may have been launched. */
  public boolean isStartRecorded() {
    return startRecorded;
  }

  /** Sets whether the job record tells the next leader that tasks may have been launched. */
  public void setStartRecorded(boolean startRecorded) {
    this.startRecorded = startRecorded;
  }

  /** Returns whether the write that must precede the first launch was requested. */
  public boolean isStartRecordRequested() {
    return startRecordRequested;
  }

  /** Sets whether the write that must precede the first launch was requested. */
  public void setStartRecordRequested(boolean startRecordRequested) {
    this.startRecordRequested = startRecordRequested;
  }

  /** Increments the number of task failures. */
  public void countFailure() {
    failures++;
  }

  /** Adds run time lost to a preemption, in seconds. */
  public void addPreemptionLoss(double seconds) {
    lostToPreemptionS += seconds;
  }

  /** Returns the run time lost to preemption in this term, in seconds. */
  public double lostToPreemptionS() {
    return lostToPreemptionS;
  }

  /** Returns whether no usable inexpensive machine accepted its pending tasks in the last round. */
  public boolean needsExpensiveMachine() {
    return needsExpensiveMachine;
  }

  /** Sets whether there are pending tasks that no usable inexpensive machine accepts. */
  public void setNeedsExpensiveMachine(boolean needsExpensiveMachine) {
    this.needsExpensiveMachine = needsExpensiveMachine;
  }

  /** Returns whether the job is cancelled and its tasks are being stopped. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Sets whether the job is cancelled. */
  public void setCancelled(boolean cancelled) {
    this.cancelled = cancelled;
  }

  /** Returns whether the write of the job's completion is in flight. */
  public boolean isFinishing() {
    return finishing;
  }

  /** Sets whether the write of the job's completion is in flight. */
  public void setFinishing(boolean finishing) {
    this.finishing = finishing;
  }

  /** Returns whether completed tasks still have to be written to the store. */
  public boolean hasUnrecordedProgress() {
    return unrecordedProgress;
  }

  /** Sets whether completed tasks still have to be written to the store. */
  public void setUnrecordedProgress(boolean unrecordedProgress) {
    this.unrecordedProgress = unrecordedProgress;
  }

  /** Returns the tasks that the store records as done. */
  public BitSet recordedTasks() {
    return recordedTasks;
  }

  /** Sets the tasks that the store records as done. */
  public void setRecordedTasks(BitSet recordedTasks) {
    this.recordedTasks = recordedTasks;
  }
}
