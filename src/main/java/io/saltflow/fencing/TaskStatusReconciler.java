package io.saltflow.fencing;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.WorkerHeartbeat;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles each task status in a heartbeat with the placements. */
final class TaskStatusReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStatusReconciler.class);

  /** Exit reason of a replica that ended without a stop command. */
  static final String EXITED_BY_ITSELF = "it ended by itself";

  private final Map<JobId, Job> jobs;
  private final EndedJobs endedJobs;
  private final Placements placements;
  private final OutcomeListener listener;
  private final EventSummary eventSummary;

  TaskStatusReconciler(
      Map<JobId, Job> jobs,
      EndedJobs endedJobs,
      Placements placements,
      OutcomeListener listener,
      EventSummary eventSummary) {
    this.jobs = jobs;
    this.endedJobs = endedJobs;
    this.placements = placements;
    this.listener = listener;
    this.eventSummary = eventSummary;
  }

  /**
   * Reconciles one task in a heartbeat of a machine.
   *
   * @param currentToken whether the worker had received this term's fencing token when it created
   *     the list
   */
  void reconcile(
      Machine machine,
      WorkerHeartbeat.TaskStatus reported,
      boolean currentToken,
      MonotonicTime now) {
    Job job = jobs.get(reported.task().job());
    TaskPlacement placement = machine.placements.get(reported.task());
    boolean known = placement != null && placement.attempt.equals(reported.attempt());
    if (reported.state() == WorkerHeartbeat.TaskState.EXITED) {
      if (known) {
        placements.remove(placement);
      }
      onTaskExited(machine, job, known ? placement : null, reported, now);
      return;
    }
    if (job == null) {
      // The job was cancelled between the machine's first answer and this heartbeat, which
      // reconciles the machine. The task must count towards the team's limit, because the answer
      // with its stop command may be lost and the team could then exceed its limit.
      job = endedJobs.find(reported.task().job());
    }
    if (!currentToken || job == null || reported.task().index() >= job.spec.tasks()) {
      // A list created before the worker received this term's token may be minutes old. Adopting a
      // task from it could hide where the task actually runs.
      return;
    }
    if (!known) {
      placement = adopt(job, machine, reported, now);
      if (placement == null) {
        return;
      }
    }
    updateState(placement, reported.state(), now);
  }

  /**
   * Adds a placement for a task that this leader did not launch.
   *
   * @return the placement, or {@code null} if the task is placed elsewhere
   */
  private TaskPlacement adopt(
      Job job, Machine machine, WorkerHeartbeat.TaskStatus reported, MonotonicTime now) {
    if (job.placements.get(reported.task().index()) != null) {
      // This heartbeat was delayed until its machine's lease expired, and the next one will carry a
      // new agent epoch. The task stays where it was launched since.
      eventSummary.countEvent(
          "tasks in outdated heartbeats ignored", reported.task() + " of " + machine.id);
      return null;
    }
    TaskPlacement placement =
        placements.add(job, reported.task().index(), reported.attempt(), machine, now);
    placement.setFoundInHeartbeat(true);
    return placement;
  }

  private static void updateState(
      TaskPlacement placement, WorkerHeartbeat.TaskState reported, MonotonicTime now) {
    placement.setState(
        switch (reported) {
          case FETCHING -> TaskPlacement.State.FETCHING;
          case SAVING -> TaskPlacement.State.SAVING;
          default -> TaskPlacement.State.RUNNING;
        });
    if (placement.state() == TaskPlacement.State.RUNNING && placement.runningSince() == null) {
      onFirstSeenRunning(placement, now);
    }
    if (placement.state() == TaskPlacement.State.SAVING && !placement.isStopping()) {
      placement.requestStop(now, placement.job.spec.checkpointWrite());
    }
  }

  private static void onFirstSeenRunning(TaskPlacement placement, MonotonicTime now) {
    placement.setRunningSince(now);
    TaskOutcomes.onTaskRunning(placement.job, now);
    if (!placement.isFoundInHeartbeat()) {
      placement.job.replicas().recordStartLatency(now.since(placement.launchedAt));
    }
    LOG.debug(
        "task {} running on machine {}, {} s after its launch",
        placement.taskId(),
        placement.machine.id,
        now.since(placement.launchedAt).toSeconds());
    placement.machine.addCachedImage(placement.job.spec.image());
  }

  /** Accepts only the task results in a heartbeat of a deleted machine. */
  void acceptResults(WorkerHeartbeat heartbeat, MonotonicTime now) {
    for (WorkerHeartbeat.TaskStatus reported : heartbeat.tasks()) {
      Job job = jobs.get(reported.task().job());
      if (reported.state() == WorkerHeartbeat.TaskState.EXITED
          && reported.cause() == WorkerHeartbeat.ExitCause.DONE) {
        onTaskExited(null, job, null, reported, now);
      }
    }
  }

  private void onTaskExited(
      Machine machine,
      Job job,
      TaskPlacement placement,
      WorkerHeartbeat.TaskStatus reported,
      MonotonicTime now) {
    if (job == null || reported.task().index() >= job.spec.tasks()) {
      return;
    }
    int index = reported.task().index();
    if (reported.cause() == WorkerHeartbeat.ExitCause.DONE && !job.spec.daemon()) {
      // A result is accepted from any attempt, however late the heartbeat arrives.
      if (!job.done.get(index)) {
        listener.onDone(job, index, placement, now);
      }
      return;
    }
    if (placement == null) {
      return;
    }
    switch (reported.cause()) {
      case ERROR -> listener.onFailed(job, index, machine, now);
      case STOPPED -> listener.onStopped(placement, reported.checkpointSaved(), now);
      case DONE -> listener.onLost(placement, EXITED_BY_ITSELF, now);
      default -> listener.onLaunchRefused(placement, reported.cause(), now);
    }
  }
}
