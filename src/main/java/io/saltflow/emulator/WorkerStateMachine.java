package io.saltflow.emulator;

import io.saltflow.model.Attempt;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Worker agent as a deterministic state machine. The caller passes in the time and the answers to
 * heartbeats. Tasks are timers, and the name of their image determines how they end: {@value
 * #ERROR_IMAGE} fails at the end of its run time, {@value #HANG_IMAGE} never ends, and any other
 * image succeeds.
 */
public final class WorkerStateMachine {
  /** Image of tasks that fail. */
  public static final String ERROR_IMAGE = "stand-in/error";

  /** Image of tasks that never end. */
  public static final String HANG_IMAGE = "stand-in/hang";

  private record AttemptKey(TaskId task, Attempt attempt) {}

  private static final class HostedTask {
    final JobSpec spec;
    WorkerHeartbeat.TaskState state = WorkerHeartbeat.TaskState.FETCHING;
    WorkerHeartbeat.ExitCause cause = WorkerHeartbeat.ExitCause.OTHER;
    boolean checkpointSaved;
    boolean fails;
    MonotonicTime runningSince;
    MonotonicTime nextEventAt;

    HostedTask(JobSpec spec, MonotonicTime fetchedAt) {
      this.spec = spec;
      this.nextEventAt = fetchedAt;
    }

    void exitWith(WorkerHeartbeat.ExitCause exitCause) {
      state = WorkerHeartbeat.TaskState.EXITED;
      cause = exitCause;
      nextEventAt = MonotonicTime.NEVER;
    }
  }

  private final MachineId id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final TimeSpan lease;
  private final ObjectStore objectStore;
  private final Map<AttemptKey, HostedTask> tasks = new LinkedHashMap<>();
  private final Map<String, MonotonicTime> imageReadyAt = new HashMap<>();
  private Term term = Term.NONE;
  private long agentEpoch = 1;
  private long sequence;
  private MonotonicTime leaseRenewedAt;
  private boolean changed = true;

  WorkerStateMachine(
      MachineId id,
      MachineType type,
      String zone,
      boolean spot,
      TimeSpan lease,
      ObjectStore objectStore,
      MonotonicTime now) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.lease = lease;
    this.objectStore = objectStore;
    this.leaseRenewedAt = now;
  }

  /** Returns the next heartbeat, with the status of every task. */
  WorkerHeartbeat nextHeartbeat() {
    changed = false;
    List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>(tasks.size());
    tasks.forEach(
        (key, t) ->
            statuses.add(
                new WorkerHeartbeat.TaskStatus(
                    key.task, key.attempt, t.state, t.cause, t.checkpointSaved)));
    return new WorkerHeartbeat(
        id, "127.0.0.1:0", type.name(), zone, spot, agentEpoch, ++sequence, term, null, statuses);
  }

  /** Returns whether the state has changed since the last heartbeat. */
  boolean changed() {
    return changed;
  }

  /**
   * Executes the commands in the answer to a heartbeat. Answers to heartbeats of an earlier agent
   * epoch and answers of an earlier term are ignored.
   *
   * @param heartbeatEpoch the agent epoch of the answered heartbeat
   * @param sentAt the time at which the heartbeat was sent, from which the lease is renewed
   */
  void onAnswer(
      long heartbeatEpoch,
      Term answerTerm,
      List<WorkerCommand> commands,
      MonotonicTime sentAt,
      MonotonicTime now) {
    tick(now);
    if (heartbeatEpoch != agentEpoch || answerTerm.compareTo(term) < 0) {
      return;
    }
    changed |= answerTerm.compareTo(term) > 0;
    term = answerTerm;
    leaseRenewedAt = sentAt;
    for (WorkerCommand command : commands) {
      execute(command, now);
    }
  }

  private void execute(WorkerCommand command, MonotonicTime now) {
    AttemptKey key = new AttemptKey(command.task(), command.attempt());
    HostedTask hosted = tasks.get(key);
    if (command instanceof WorkerCommand.Launch) {
      if (hosted == null) {
        changed = true;
        tasks.put(key, launch(key, now));
      }
    } else if (hosted != null && command instanceof WorkerCommand.Stop stopCommand) {
      stop(key.task, hosted, stopCommand.grace(), now);
    } else if (hosted != null && hosted.state == WorkerHeartbeat.TaskState.EXITED) {
      tasks.remove(key);
      changed = true;
    }
  }

  private HostedTask launch(AttemptKey key, MonotonicTime now) {
    JobSpec spec = objectStore.description(key.task.job());
    HostedTask hosted = new HostedTask(spec, now);
    if (spec == null || key.task.index() >= spec.tasks()) {
      hosted.exitWith(WorkerHeartbeat.ExitCause.UNKNOWN_TASK);
    } else if (hosts(key.task)) {
      hosted.exitWith(WorkerHeartbeat.ExitCause.BUSY);
    } else if (!spec.size().fitsIn(freeResources())) {
      hosted.exitWith(WorkerHeartbeat.ExitCause.NO_ROOM);
    } else {
      hosted.nextEventAt =
          imageReadyAt.computeIfAbsent(spec.image(), image -> now.plus(fetchTime(spec)));
      hosted.nextEventAt = MonotonicTime.later(now, hosted.nextEventAt);
    }
    return hosted;
  }

  private boolean hosts(TaskId task) {
    return tasks.entrySet().stream()
        .anyMatch(
            e ->
                e.getKey().task.equals(task)
                    && e.getValue().state != WorkerHeartbeat.TaskState.EXITED);
  }

  private TimeSpan fetchTime(JobSpec spec) {
    return TimeSpan.seconds(spec.imageGb() / type.fetchGbPerS());
  }

  private Resources freeResources() {
    Resources free = type.size();
    for (HostedTask hosted : tasks.values()) {
      if (hosted.state != WorkerHeartbeat.TaskState.EXITED) {
        free = free.minus(hosted.spec.size());
      }
    }
    return free;
  }

  private void stop(TaskId task, HostedTask hosted, TimeSpan grace, MonotonicTime now) {
    if (hosted.state == WorkerHeartbeat.TaskState.EXITED) {
      return;
    }
    changed = true;
    boolean savesCheckpoint =
        hosted.state == WorkerHeartbeat.TaskState.RUNNING
            && hosted.spec.checkpoints()
            && grace.compareTo(hosted.spec.checkpointWrite()) >= 0;
    if (savesCheckpoint) {
      objectStore.saveCheckpoint(
          task, objectStore.checkpointedRunTime(task).plus(now.since(hosted.runningSince)));
      hosted.state = WorkerHeartbeat.TaskState.SAVING;
      hosted.nextEventAt = now.plus(hosted.spec.checkpointWrite());
    } else if (hosted.state != WorkerHeartbeat.TaskState.SAVING || grace.ms() == 0) {
      hosted.exitWith(WorkerHeartbeat.ExitCause.STOPPED);
    }
  }

  /**
   * Processes the fetches, runs and checkpoints that have ended, and discards all tasks if the
   * lease has expired.
   */
  void tick(MonotonicTime now) {
    if (now.since(leaseRenewedAt).longerThan(lease)) {
      changed |= !tasks.isEmpty();
      tasks.clear();
      agentEpoch++;
      leaseRenewedAt = now;
      return;
    }
    tasks.forEach((key, t) -> advance(key.task, t, now));
  }

  private void advance(TaskId task, HostedTask hosted, MonotonicTime now) {
    while (now.compareTo(hosted.nextEventAt) >= 0) {
      changed = true;
      switch (hosted.state) {
        case FETCHING -> start(task, hosted);
        case RUNNING -> end(task, hosted);
        case SAVING -> {
          hosted.checkpointSaved = true;
          hosted.exitWith(WorkerHeartbeat.ExitCause.STOPPED);
        }
        case EXITED -> throw new IllegalStateException("an exited task has no next event");
      }
    }
  }

  private void start(TaskId task, HostedTask hosted) {
    if (objectStore.hasResult(task)) {
      hosted.exitWith(WorkerHeartbeat.ExitCause.DONE);
      return;
    }
    hosted.state = WorkerHeartbeat.TaskState.RUNNING;
    hosted.runningSince = hosted.nextEventAt;
    boolean fails = hosted.spec.image().equals(ERROR_IMAGE);
    hosted.fails = fails;
    TimeSpan failsAfter = objectStore.serviceParameters(task.job()).behaviour().failsAfter();
    if (hosted.spec.daemon() && failsAfter != null) {
      hosted.fails = true;
      hosted.nextEventAt = hosted.runningSince.plus(failsAfter);
      return;
    }
    boolean endless = hosted.spec.image().equals(HANG_IMAGE) || (hosted.spec.daemon() && !fails);
    TimeSpan remaining = hosted.spec.estimate().minus(objectStore.checkpointedRunTime(task));
    hosted.nextEventAt =
        endless
            ? MonotonicTime.NEVER
            : hosted.runningSince.plus(TimeSpan.millis(Math.max(0, remaining.ms())));
  }

  private void end(TaskId task, HostedTask hosted) {
    if (hosted.fails) {
      hosted.exitWith(WorkerHeartbeat.ExitCause.ERROR);
    } else {
      objectStore.saveResult(task);
      hosted.exitWith(WorkerHeartbeat.ExitCause.DONE);
    }
  }

  /** Returns the running tasks of services with their parameters. */
  Map<TaskId, ObjectStore.ServiceParameters> runningServices() {
    Map<TaskId, ObjectStore.ServiceParameters> running = new HashMap<>();
    tasks.forEach(
        (key, hostedTask) -> {
          if (hostedTask.state == WorkerHeartbeat.TaskState.RUNNING && hostedTask.spec.daemon()) {
            running.put(key.task, objectStore.serviceParameters(key.task.job()));
          }
        });
    return running;
  }

  /** Returns the next time at which {@link #tick} must be called. */
  MonotonicTime nextEventAt() {
    MonotonicTime next = leaseRenewedAt.plus(lease);
    for (HostedTask hosted : tasks.values()) {
      next = MonotonicTime.earlier(next, hosted.nextEventAt);
    }
    return next;
  }
}
