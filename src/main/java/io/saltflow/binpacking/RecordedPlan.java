package io.saltflow.binpacking;

import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import java.util.List;

/**
 * A plan of replica migrations, recorded before its first move and after its last. The progress of
 * each move is derived from heartbeats alone: a replica is on its source, on its destination, or on
 * neither.
 *
 * @param name the unique name, never reused
 * @param waitingJob the job for whose task resources are freed
 * @param target the machine on which resources are freed for the task
 * @param plannedMs the wall-clock time at which it was planned, in milliseconds
 * @param outcome the outcome, or {@code null} while the plan is in progress
 */
public record RecordedPlan(
    String name,
    JobId waitingJob,
    MachineId target,
    List<ReplicaMove> moves,
    long plannedMs,
    PlanOutcome outcome) {

  /**
   * Outcome of a plan.
   *
   * @param succeeded whether the waiting task runs on the target machine
   * @param reason the reason why it was abandoned, for operators; empty if it succeeded
   * @param atMs the wall-clock time at which it ended, in milliseconds
   */
  public record PlanOutcome(boolean succeeded, String reason, long atMs) {}

  /** Returns a copy with this outcome. */
  public RecordedPlan withOutcome(PlanOutcome ended) {
    return new RecordedPlan(name, waitingJob, target, moves, plannedMs, ended);
  }
}
