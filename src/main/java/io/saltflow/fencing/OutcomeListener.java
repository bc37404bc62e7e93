package io.saltflow.fencing;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.WorkerHeartbeat;

/**
 * Receives outcomes of task attempts proven by heartbeats, machine deletions and lease expiries.
 */
interface OutcomeListener {
  /**
   * Handles the success of a task.
   *
   * @param placement the attempt that produced the result, or {@code null} if the attempt is
   *     unknown
   */
  void onDone(Job job, int index, TaskPlacement placement, MonotonicTime now);

  /** Handles an attempt that exited with an error. */
  void onFailed(Job job, int index, Machine machine, MonotonicTime now);

  /**
   * Handles the end of a task that was requested to stop.
   *
   * @param saved whether its checkpoint was written
   */
  void onStopped(TaskPlacement placement, boolean saved, MonotonicTime now);

  /** Handles a launch that the machine refused. */
  void onLaunchRefused(TaskPlacement placement, WorkerHeartbeat.ExitCause cause, MonotonicTime now);

  /**
   * Handles an attempt that ended without a result.
   *
   * @param reason the proof of the loss, shown to operators and recorded for the exits of services
   */
  void onLost(TaskPlacement placement, String reason, MonotonicTime now);
}
