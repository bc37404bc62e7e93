package io.saltflow.protocol;

/** A command to a worker. */
public sealed interface Order {
  TaskId task();

  Attempt attempt();

  /** Start this attempt. */
  record Launch(TaskId task, Attempt attempt) implements Order {}

  /** Stop it, giving it this long to save. */
  record Halt(TaskId task, Attempt attempt, Span grace) implements Order {}

  /** Leave the exited attempt out of the reports. */
  record Clear(TaskId task, Attempt attempt) implements Order {}
}
