package io.saltflow.leader;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.Attempt;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.scheduler.PlacementRules;
import io.saltflow.scheduler.Scheduler;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the commands that answer a heartbeat: results to clear, tasks to stop and to launch. */
final class WorkerCommands {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCommands.class);

  /** Time beyond twice the grace period that a task may take to write a checkpoint. */
  private static final TimeSpan CHECKPOINT_GRACE_MARGIN = TimeSpan.seconds(5);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final Reconciliation reconciliation;
  private long attemptSequence;
  private long launches;

  WorkerCommands(ClusterState cluster, Scheduler scheduler, Reconciliation reconciliation) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.reconciliation = reconciliation;
  }

  /** Returns the number of tasks launched in this term. */
  long launches() {
    return launches;
  }

  /**
   * Clears results that are recorded or not needed. Other results stay on their worker, where the
   * next leader can find them.
   */
  void clearRecordedResults(WorkerHeartbeat heartbeat, List<WorkerCommand> commands) {
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      if (status.state() != WorkerHeartbeat.TaskState.EXITED) {
        continue;
      }
      Job job = cluster.jobs().scheduled().get(status.task().job());
      boolean resultNotNeeded = job == null || job.recordedTasks().get(status.task().index());
      if (status.cause() != WorkerHeartbeat.ExitCause.DONE || resultNotNeeded) {
        commands.add(new WorkerCommand.Clear(status.task(), status.attempt()));
      }
    }
  }

  /**
   * Stops the tasks of ended jobs on a machine that is not reconciled yet, whose task list may be
   * old. Every answer renews the machine's lease and therefore must include these stops: a machine
   * that becomes unreachable after the answer would otherwise run a cancelled task for another
   * lease period.
   */
  void stopEndedJobs(WorkerHeartbeat heartbeat, List<WorkerCommand> commands) {
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      Job job = cluster.jobs().scheduled().get(status.task().job());
      if (status.state() != WorkerHeartbeat.TaskState.EXITED
          && (job == null || job.isCancelled())) {
        commands.add(new WorkerCommand.Stop(status.task(), status.attempt(), new TimeSpan(0)));
      }
    }
  }

  /** Stops preempted tasks and those that should not run on a reconciled machine. */
  void stopUnwantedTasks(
      Machine machine, WorkerHeartbeat heartbeat, List<WorkerCommand> commands, MonotonicTime now) {
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      if (status.state() == WorkerHeartbeat.TaskState.EXITED) {
        continue;
      }
      TaskPlacement placement = machine.placements.get(status.task());
      if (placement == null
          || !placement.attempt.equals(status.attempt())
          || placement.job.done.get(placement.index)) {
        commands.add(new WorkerCommand.Stop(status.task(), status.attempt(), new TimeSpan(0)));
      } else if (placement.job.isCancelled()) {
        placement.requestStop(now, new TimeSpan(0));
        commands.add(new WorkerCommand.Stop(status.task(), status.attempt(), new TimeSpan(0)));
      } else if (placement.isStopping() && placement.state() != TaskPlacement.State.SAVING) {
        commands.add(new WorkerCommand.Stop(status.task(), status.attempt(), placement.grace()));
      } else if (placement.isStopping()
          && now.after(
              placement
                  .stopRequestedAt()
                  .plus(placement.grace().times(2))
                  .plus(CHECKPOINT_GRACE_MARGIN)
                  .plus(cluster.policy().heartbeatInterval()))) {
        commands.add(new WorkerCommand.Stop(status.task(), status.attempt(), new TimeSpan(0)));
      }
    }
  }

  /**
   * Launches the tasks assigned to the machine that may still start.
   *
   * @param urgentOnly whether only tasks with a preempting priority are launched
   */
  void launchAssigned(
      Machine machine,
      int maxLaunches,
      boolean urgentOnly,
      List<WorkerCommand> commands,
      MonotonicTime now) {
    if (machine.assignments.isEmpty()) {
      return;
    }
    List<Machine.Assignment> assignments = List.copyOf(machine.assignments);
    scheduler.withdrawAssignments(machine);
    int remaining = maxLaunches;
    for (Machine.Assignment assignment : assignments) {
      Job job = assignment.job();
      // The assignment may be outdated: up to a second has passed since the round.
      if (remaining <= 0
          || job.isCancelled()
          || job.isFinishing()
          || (urgentOnly
              && cluster.policy().preemptingPriority().higherThan(job.queueState().priority()))
          || !mayStart(job)
          || job.done.get(assignment.taskIndex())
          || job.placements.containsKey(assignment.taskIndex())
          || (job.isService() && job.placements.size() >= job.desiredTasks())
          || !job.spec.size().fitsIn(machine.free())
          || !cluster.quotaUsage().mayLaunch(job)
          || !PlacementRules.allowed(job, machine)) {
        continue;
      }
      Attempt attempt = Attempt.of(cluster.term().number(), ++attemptSequence);
      TaskPlacement placement =
          cluster
              .reconciler()
              .launch(job, assignment.taskIndex(), attempt, machine, assignment.backfilled(), now);
      commands.add(new WorkerCommand.Launch(placement.taskId(), attempt));
      remaining--;
      if (launches++ == 0) {
        LOG.info(
            "first task launched {} ms after the start of term {}",
            now.since(cluster.term().since()).ms(),
            cluster.term().number());
      }
    }
  }

  /**
   * Returns whether tasks of the job may start. Until the failover is complete, this excludes jobs
   * that an earlier leader may have launched, as their tasks may run on machines that are not
   * reconciled yet.
   */
  private boolean mayStart(Job job) {
    return job.isStartRecorded()
        && (reconciliation.isComplete() || !job.mayHaveStartedInEarlierTerm);
  }
}
