package io.saltflow.model;

import java.util.List;

/**
 * A worker's heartbeat with the status of its tasks.
 *
 * @param preemptionNotice time until the cloud reclaims the machine, or {@code null} if no reclaim
 *     is announced
 */
public record WorkerHeartbeat(
    MachineId machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long agentEpoch,
    long sequence,
    Term fencingToken,
    TimeSpan preemptionNotice,
    List<TaskStatus> tasks) {

  /** The status of one task on the worker. */
  public record TaskStatus(
      TaskId task, Attempt attempt, TaskState state, ExitCause cause, boolean checkpointSaved) {}

  /** The state of a task on a machine. */
  public enum TaskState {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task exited. */
  public enum ExitCause {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_TASK,
    OTHER
  }

  /** Returns whether this heartbeat was created after the given one of the same machine. */
  public boolean newerThan(long otherAgentEpoch, long otherSequence) {
    return agentEpoch > otherAgentEpoch
        || (agentEpoch == otherAgentEpoch && sequence > otherSequence);
  }
}
