package io.saltflow.protocol;

import java.util.List;

/** A worker's report. {@code notice} is null unless the cloud is about to take the machine. */
public record Report(
    MachineId machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long sequence,
    Term token,
    Span notice,
    List<TaskReport> tasks) {

  /** What the worker says of one task. */
  public record TaskReport(
      TaskId task, Attempt attempt, TaskState state, ExitCause cause, boolean saved) {}

  /** Where a task on a machine stands. */
  public enum TaskState {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task ended. */
  public enum ExitCause {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_TASK,
    OTHER
  }

  /** Whether this report was made after the given one of the same machine. */
  public boolean newerThan(long otherSession, long otherSequence) {
    return session > otherSession || (session == otherSession && sequence > otherSequence);
  }
}
