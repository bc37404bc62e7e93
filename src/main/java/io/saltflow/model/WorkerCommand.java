package io.saltflow.model;

/** A command that the leader sends to a worker in response to a heartbeat. */
public sealed interface WorkerCommand {
  /** Returns the task that the command applies to. */
  TaskId task();

  /** Returns the attempt that the command applies to. */
  Attempt attempt();

  /** Starts the attempt. */
  record Launch(TaskId task, Attempt attempt) implements WorkerCommand {}

  /** Stops the attempt after a grace period in which it may write a checkpoint. */
  record Stop(TaskId task, Attempt attempt, TimeSpan grace) implements WorkerCommand {}

  /** Removes the exited attempt from heartbeats because its result has been recorded. */
  record Clear(TaskId task, Attempt attempt) implements WorkerCommand {}
}
