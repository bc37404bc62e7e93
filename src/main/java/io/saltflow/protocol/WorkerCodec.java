package io.saltflow.protocol;

import io.saltflow.model.Attempt;
import io.saltflow.model.MachineId;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes worker heartbeats and the commands in their responses. */
public final class WorkerCodec {
  private WorkerCodec() {}

  /** Decodes a worker's heartbeat. */
  public static WorkerHeartbeat decodeHeartbeat(MessageBody body) throws InvalidMessageException {
    List<WorkerHeartbeat.TaskStatus> tasks = new ArrayList<>();
    for (MessageBody task : body.maps(Wire.TASKS)) {
      TaskId id = TaskId.parse(task.text(Wire.TASK));
      if (id == null) {
        throw new InvalidMessageException(Wire.TASK + ": not a task's name");
      }
      tasks.add(
          new WorkerHeartbeat.TaskStatus(
              id,
              new Attempt(task.integer(Wire.ATTEMPT)),
              state(task.text(Wire.STATE)),
              cause(task.textOr(Wire.CAUSE, "")),
              task.flagOr(Wire.CHECKPOINT_SAVED, false)));
    }
    return new WorkerHeartbeat(
        new MachineId(body.text(Wire.MACHINE)),
        body.textOr(Wire.ADDRESS, ""),
        body.text(Wire.MACHINE_TYPE),
        body.text(Wire.ZONE),
        body.flagOr(Wire.SPOT, false),
        body.integer(Wire.AGENT_EPOCH),
        body.integer(Wire.SEQUENCE),
        new Term(body.integerOr(Wire.FENCING_TOKEN, 0)),
        body.get(Wire.PREEMPTION_NOTICE_S) == null ? null : body.seconds(Wire.PREEMPTION_NOTICE_S),
        tasks);
  }

  /** Encodes a worker's heartbeat. */
  public static MessageBody encodeHeartbeat(WorkerHeartbeat heartbeat) {
    List<Object> tasks = new ArrayList<>(heartbeat.tasks().size());
    for (WorkerHeartbeat.TaskStatus task : heartbeat.tasks()) {
      MessageBody status =
          MessageBody.of()
              .with(Wire.TASK, task.task().toString())
              .with(Wire.ATTEMPT, task.attempt().number())
              .with(Wire.STATE, name(task.state()));
      if (task.state() == WorkerHeartbeat.TaskState.EXITED) {
        status
            .with(Wire.CAUSE, name(task.cause()))
            .with(Wire.CHECKPOINT_SAVED, task.checkpointSaved());
      }
      tasks.add(status);
    }
    return MessageBody.of()
        .with(Wire.MACHINE, heartbeat.machine().text())
        .with(Wire.ADDRESS, heartbeat.address())
        .with(Wire.MACHINE_TYPE, heartbeat.type())
        .with(Wire.ZONE, heartbeat.zone())
        .with(Wire.SPOT, heartbeat.spot())
        .with(Wire.AGENT_EPOCH, heartbeat.agentEpoch())
        .with(Wire.SEQUENCE, heartbeat.sequence())
        .with(Wire.FENCING_TOKEN, heartbeat.fencingToken().number())
        .with(
            Wire.PREEMPTION_NOTICE_S,
            heartbeat.preemptionNotice() == null ? null : heartbeat.preemptionNotice().toSeconds())
        .with(Wire.TASKS, tasks);
  }

  private static String name(WorkerHeartbeat.TaskState state) {
    return switch (state) {
      case FETCHING -> Wire.TASK_FETCHING;
      case RUNNING -> Wire.TASK_RUNNING;
      case SAVING -> Wire.TASK_SAVING;
      case EXITED -> Wire.TASK_EXITED;
    };
  }

  private static String name(WorkerHeartbeat.ExitCause cause) {
    return switch (cause) {
      case DONE -> Wire.CAUSE_DONE;
      case STOPPED -> Wire.CAUSE_STOPPED;
      case ERROR, OTHER -> Wire.CAUSE_ERROR;
      case NO_ROOM -> Wire.CAUSE_NO_ROOM;
      case BUSY -> Wire.CAUSE_BUSY;
      case UNKNOWN_TASK -> Wire.CAUSE_UNKNOWN;
    };
  }

  /** Decodes the commands in a heartbeat response. Unknown commands are skipped. */
  public static List<WorkerCommand> decodeCommands(MessageBody body)
      throws InvalidMessageException {
    List<WorkerCommand> out = new ArrayList<>();
    for (MessageBody command : body.maps(Wire.COMMANDS)) {
      TaskId task = TaskId.parse(command.text(Wire.TASK));
      if (task == null) {
        throw new InvalidMessageException(Wire.TASK + ": not a task's name");
      }
      Attempt attempt = new Attempt(command.integer(Wire.ATTEMPT));
      switch (command.text(Wire.VERB)) {
        case Wire.VERB_LAUNCH -> out.add(new WorkerCommand.Launch(task, attempt));
        case Wire.VERB_STOP ->
            out.add(new WorkerCommand.Stop(task, attempt, command.seconds(Wire.GRACE_S)));
        case Wire.VERB_CLEAR -> out.add(new WorkerCommand.Clear(task, attempt));
        default -> {}
      }
    }
    return out;
  }

  /**
   * Decodes a task state. An unknown state counts as running because the task is on the machine.
   */
  private static WorkerHeartbeat.TaskState state(String text) {
    return switch (text) {
      case Wire.TASK_FETCHING -> WorkerHeartbeat.TaskState.FETCHING;
      case Wire.TASK_SAVING -> WorkerHeartbeat.TaskState.SAVING;
      case Wire.TASK_EXITED -> WorkerHeartbeat.TaskState.EXITED;
      default -> WorkerHeartbeat.TaskState.RUNNING;
    };
  }

  private static WorkerHeartbeat.ExitCause cause(String text) {
    return switch (text) {
      case Wire.CAUSE_DONE -> WorkerHeartbeat.ExitCause.DONE;
      case Wire.CAUSE_STOPPED -> WorkerHeartbeat.ExitCause.STOPPED;
      case Wire.CAUSE_ERROR -> WorkerHeartbeat.ExitCause.ERROR;
      case Wire.CAUSE_NO_ROOM -> WorkerHeartbeat.ExitCause.NO_ROOM;
      case Wire.CAUSE_BUSY -> WorkerHeartbeat.ExitCause.BUSY;
      case Wire.CAUSE_UNKNOWN -> WorkerHeartbeat.ExitCause.UNKNOWN_TASK;
      default -> WorkerHeartbeat.ExitCause.OTHER;
    };
  }

  /** Encodes the response to a heartbeat with the fencing token and the commands. */
  public static MessageBody encodeCommands(Term token, List<WorkerCommand> commands) {
    List<Object> list = new ArrayList<>(commands.size());
    for (WorkerCommand command : commands) {
      MessageBody body =
          MessageBody.of()
              .with(Wire.VERB, verb(command))
              .with(Wire.TASK, command.task().toString())
              .with(Wire.ATTEMPT, command.attempt().number());
      if (command instanceof WorkerCommand.Stop stop) {
        body.with(Wire.GRACE_S, stop.grace().toSeconds());
      }
      list.add(body);
    }
    return MessageBody.of().with(Wire.FENCING_TOKEN, token.number()).with(Wire.COMMANDS, list);
  }

  private static String verb(WorkerCommand command) {
    if (command instanceof WorkerCommand.Launch) {
      return Wire.VERB_LAUNCH;
    }
    return command instanceof WorkerCommand.Stop ? Wire.VERB_STOP : Wire.VERB_CLEAR;
  }
}
