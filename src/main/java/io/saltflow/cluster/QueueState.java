package io.saltflow.cluster;

import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;
import io.saltflow.priority.OperatorOverride;

/**
 * The queue position and the due times of a job. They derive from its recorded lane and admission
 * position, its own deadlines, and the urgency that it inherits from the jobs that depend on it.
 */
public final class QueueState {
  /**
   * The urgency that a job inherits from the jobs that depend on it.
   *
   * @param priority the highest priority among the job and its dependents
   * @param latestEnd the time by which the job must be complete for its dependents to meet their
   *     deadlines, or {@code null} if there is none
   */
  public record InheritedUrgency(Priority priority, MonotonicTime latestEnd) {}

  private final JobSpec spec;
  private Lane lane;
  private AdmissionPosition admissionPosition = new AdmissionPosition(0, 0);
  private OperatorOverride operatorOverride;
  private InheritedUrgency inheritedUrgency;
  private int boostRank = Integer.MAX_VALUE;
  private MonotonicTime boostDueAt;
  private boolean lowSlack;
  private long eligibleWallMs;
  private MonotonicTime eligibleAt = MonotonicTime.LONG_AGO;
  private MonotonicTime dueAt;
  private MonotonicTime startBy;

  QueueState(JobSpec spec, long arrivedWallMs) {
    this.spec = spec;
    this.lane = Lane.of(spec.priority());
    this.eligibleWallMs = arrivedWallMs;
  }

  /** Sets the lane and the position in it that were recorded at admission. */
  public void setOrderKey(Lane recordedLane, AdmissionPosition recordedPosition) {
    lane = recordedLane;
    admissionPosition = recordedPosition;
  }

  /** Returns the position that was recorded at admission. */
  public AdmissionPosition admissionPosition() {
    return admissionPosition;
  }

  /** Sets the urgency inherited from dependents, or {@code null} if there is none. */
  public void setInheritedUrgency(InheritedUrgency urgency) {
    inheritedUrgency = urgency;
  }

  /** Returns the inherited priority if there is one, else the job's own priority. */
  public Priority priority() {
    return inheritedUrgency == null ? spec.priority() : inheritedUrgency.priority;
  }

  /**
   * Returns the priority used for queueing. Low priority is raised to normal while the slack is
   * low.
   */
  public Priority effectivePriority() {
    return lowSlack && priority() == Priority.LOW ? Priority.NORMAL : priority();
  }

  /**
   * Returns the earlier of the job's own due time and the inherited one, or {@code null} if it has
   * neither.
   */
  public MonotonicTime completeBy() {
    return earlier(dueAt, inheritedUrgency == null ? null : inheritedUrgency.latestEnd);
  }

  /** Returns whether a user set a deadline for the job or for a job that depends on it. */
  public boolean hasDeadline() {
    boolean ownDeadline = dueAt != null && spec.deadline() != null;
    boolean inheritedDeadline = inheritedUrgency != null && inheritedUrgency.latestEnd != null;
    return ownDeadline || inheritedDeadline;
  }

  /**
   * Returns the time by which the job must be complete as a step of a pipeline, or {@code null} if
   * it is not part of one or the pipeline has no deadline.
   */
  public MonotonicTime pipelineDeadline() {
    if (inheritedUrgency != null) {
      return inheritedUrgency.latestEnd;
    }
    return spec.dependencies().isEmpty() || spec.deadline() == null ? null : dueAt;
  }

  /**
   * Returns the earlier of {@link #completeBy} and the daily deadline that the job is boosted for,
   * or {@code null} if it has neither.
   */
  public MonotonicTime earliestDueAt() {
    return earlier(completeBy(), boostDueAt);
  }

  /**
   * Returns the time since the job's own deadline passed, in seconds, or 0 if it has not passed or
   * the job has none.
   */
  public double overdueS(MonotonicTime now) {
    boolean hasOwnDeadline = spec.deadline() != null && dueAt != null;
    return hasOwnDeadline ? Math.max(0, now.since(dueAt).toSeconds()) : 0;
  }

  private static MonotonicTime earlier(MonotonicTime first, MonotonicTime second) {
    return second == null || (first != null && first.before(second)) ? first : second;
  }

  /**
   * Returns the recorded lane, or the lane of the inherited priority if that ranks higher. A job in
   * a lane named by an operator stays there, because such lanes are independent of priorities.
   */
  Lane lane() {
    Lane priorityLane = Lane.of(priority());
    return lane.name().isEmpty() && priorityLane.rank() < lane.rank() ? priorityLane : lane;
  }

  /** Returns the lane that the job currently queues in, including an operator's override. */
  public Lane effectiveLane() {
    return operatorOverride == null || operatorOverride.lane() == null
        ? lane()
        : operatorOverride.lane();
  }

  /**
   * Returns the time since which the job has been eligible to start, in wall-clock milliseconds.
   * This is its admission or the end of its last dependency.
   */
  public long eligibleWallMs() {
    return eligibleWallMs;
  }

  /** Sets the time since which the job has been eligible to start, in wall-clock milliseconds. */
  public void setEligibleWallMs(long eligibleWallMs) {
    this.eligibleWallMs = eligibleWallMs;
  }

  /**
   * Returns the eligible time on this leader's monotonic clock. It is inexact by the skew between
   * the two clocks.
   */
  public MonotonicTime eligibleAt() {
    return eligibleAt;
  }

  /** Sets the eligible time on this leader's monotonic clock. */
  public void setEligibleAt(MonotonicTime eligibleAt) {
    this.eligibleAt = eligibleAt;
  }

  /**
   * Returns the time by which the job should be complete according to its deadline or its class
   * target, or {@code null} if it has neither.
   */
  public MonotonicTime dueAt() {
    return dueAt;
  }

  /** Sets the time by which the job should be complete, or {@code null} for no target. */
  public void setDueAt(MonotonicTime dueAt) {
    this.dueAt = dueAt;
  }

  /**
   * Returns the time by which the first tasks should have started according to the class target, or
   * {@code null} if there is no target.
   */
  public MonotonicTime startBy() {
    return startBy;
  }

  /** Sets the time by which the first tasks should have started, or {@code null} for no target. */
  public void setStartBy(MonotonicTime startBy) {
    this.startBy = startBy;
  }

  /**
   * Returns the rank among the jobs boosted for a daily deadline, or {@link Integer#MAX_VALUE} if
   * the job is not boosted.
   */
  public int boostRank() {
    return boostRank;
  }

  /** Sets the rank among the jobs boosted for a daily deadline. */
  public void setBoostRank(int boostRank) {
    this.boostRank = boostRank;
  }

  /** Returns the daily deadline that the job is boosted for, or {@code null} if there is none. */
  public MonotonicTime boostDueAt() {
    return boostDueAt;
  }

  /** Sets the daily deadline that the job is boosted for, or {@code null} for none. */
  public void setBoostDueAt(MonotonicTime boostDueAt) {
    this.boostDueAt = boostDueAt;
  }

  /** Returns the queue position that an operator set, or {@code null} if there is none. */
  public OperatorOverride operatorOverride() {
    return operatorOverride;
  }

  /** Sets the queue position that an operator chose, or {@code null} for none. */
  public void setOperatorOverride(OperatorOverride operatorOverride) {
    this.operatorOverride = operatorOverride;
  }

  /**
   * Returns whether so little time is left before the deadline that the job queues above its own
   * priority.
   */
  public boolean hasLowSlack() {
    return lowSlack;
  }

  /** Sets whether little time is left before the deadline. */
  public void setLowSlack(boolean lowSlack) {
    this.lowSlack = lowSlack;
  }
}
