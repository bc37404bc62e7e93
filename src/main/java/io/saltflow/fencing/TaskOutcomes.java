package io.saltflow.fencing;

import io.saltflow.cluster.CoreTimeUsage;
import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.faultattribution.FaultAttribution;
import io.saltflow.faultattribution.FaultAttribution.Finding;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerHeartbeat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies proven task outcomes to jobs and machines: progress, retries, run time estimates and
 * fault attribution.
 */
public final class TaskOutcomes implements OutcomeListener {
  private static final Logger LOG = LoggerFactory.getLogger(TaskOutcomes.class);

  private static final String TASK_ERROR = "error";

  /** Delay before a failed task is retried. */
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(500);

  private final RunTimeEstimates estimates;
  private final CoreTimeUsage coreTimeUsage;
  private final EventSummary eventSummary;
  private final Map<JobId, Job> jobs;
  private final FaultAttribution faultAttribution;
  private TaskReconciler reconciler;
  private boolean changed;

  /**
   * Creates the listener for the outcomes of one term.
   *
   * @param jobs a live view of the scheduled jobs
   */
  public TaskOutcomes(
      Policy policy,
      Map<JobId, Job> jobs,
      RunTimeEstimates estimates,
      CoreTimeUsage coreTimeUsage,
      EventSummary eventSummary) {
    this.jobs = jobs;
    this.faultAttribution = new FaultAttribution(policy.faultyThreshold());
    this.estimates = estimates;
    this.coreTimeUsage = coreTimeUsage;
    this.eventSummary = eventSummary;
  }

  /** Sets the reconciler, which must happen once before the first outcome. */
  public void setReconciler(TaskReconciler taskReconciler) {
    reconciler = taskReconciler;
  }

  /** Discards the failures of a job that ended, so that they no longer count against machines. */
  public void onJobEnded(JobId job) {
    faultAttribution.removeJob(job);
  }

  /** Discards the failures on a machine that was deleted. */
  public void onMachineDeleted(MachineId machine) {
    faultAttribution.removeMachine(machine);
  }

  /** Returns whether an outcome since the last round requires a new one. */
  public boolean changed() {
    return changed;
  }

  /** Marks all outcomes so far as considered by a scheduling round. */
  public void clearChanged() {
    changed = false;
  }

  /** Logs, once for each job, the time from its eligibility to the start of its first task. */
  static void onTaskRunning(Job job, MonotonicTime now) {
    if (job.markStarted()) {
      double afterS = Math.max(0, now.since(job.queueState().eligibleAt()).toSeconds());
      LOG.info(
          "{} begins {} s after it arrived", job.id(), String.format(Locale.ROOT, "%.1f", afterS));
    }
  }

  @Override
  public void onDone(Job job, int index, TaskPlacement placement, MonotonicTime now) {
    onTaskRunning(job, now);
    if (placement != null && placement.fullRunObserved()) {
      estimates.recordRun(job.spec, now.since(placement.runningSince()));
    }
    applyFindings(
        faultAttribution.recordSuccess(job.id(), placement == null ? null : placement.machine.id),
        now);
    if (placement != null) {
      placement.machine.trackRecord().onTaskSucceeded(placement.launchedAt);
    }
    job.markDone(index);
    job.notBefore.remove(index);
    job.checkpointedRunTime.remove(index);
    job.setUnrecordedProgress(true);
    changed = true;
  }

  @Override
  public void onFailed(Job job, int index, Machine machine, MonotonicTime now) {
    job.countFailure();
    job.failedMachines.add(machine.id, now);
    changed = true;
    job.replicas().recordUnexpectedExit(TASK_ERROR, true);
    job.notBefore.put(index, now.plus(RETRY_DELAY));
    if (job.isService()) {
      // A broken build fails on any machine and is handled by its rollout. Its failures must not
      // count against machines that may run replicas of other services.
      LOG.debug("task {}/{} failed on machine {}", job.id(), index, machine.id);
      double retryDelayS =
          job.failsEverywhere() ? Math.min(60, 2 * job.failureCount()) : RETRY_DELAY.toSeconds();
      job.notBefore.put(index, now.plus(TimeSpan.seconds(retryDelayS)));
      return;
    }
    if (job.doneCount() > 0) {
      // Successes in earlier terms also count.
      applyFindings(faultAttribution.recordSuccess(job.id(), null), now);
    }
    applyFindings(faultAttribution.recordFailure(job.id(), machine.id), now);
    job.onRetryFailed(now);
    for (MachineId id : job.failedMachines.ids()) {
      Machine other = reconciler.findMachine(id);
      if (other != null) {
        other.trackRecord().setFailureWeight(faultAttribution.failureWeight(id));
      }
    }
  }

  /** Marks the jobs and machines named by the findings. */
  private void applyFindings(List<Finding> findings, MonotonicTime now) {
    for (Finding finding : findings) {
      changed = true;
      if (finding instanceof Finding.FaultyMachine faulty) {
        Machine machine = reconciler.findMachine(faulty.machine());
        if (machine != null && !machine.isFaulty()) {
          machine.markFaulty(now);
          eventSummary.countEvent("machines marked faulty", machine.id);
        }
      } else if (finding instanceof Finding.DefectiveJob defective) {
        Job job = jobs.get(defective.job());
        if (job != null) {
          job.setDefective(true, now);
          LOG.info(
              "job {} fails on every machine, {} so far; retrying one task at a time with backoff"
                  + " until the job is cancelled",
              job.id(),
              defective.machines());
        }
      } else if (finding instanceof Finding.ClearedJob cleared) {
        Job job = jobs.get(cleared.job());
        if (job != null) {
          job.setDefective(false, now);
          LOG.info(
              "job {} no longer fails on every machine; resuming launches of its tasks", job.id());
        }
      }
    }
  }

  @Override
  public void onStopped(TaskPlacement placement, boolean saved, MonotonicTime now) {
    changed = true;
    if (!saved && placement.runningSince() != null) {
      coreTimeUsage.recordWasted(placement, now.since(placement.runningSince()).toSeconds());
    }
    if (placement.machine.reclaimAt() == null && placement.runningSince() != null) {
      TimeSpan lost =
          saved
              ? placement.job.spec.checkpointWrite().times(2)
              : now.since(placement.runningSince());
      placement.job.addPreemptionLoss(lost.toSeconds());
    }
    if (saved && placement.runningSince() != null) {
      keepProgress(placement, now.since(placement.runningSince()));
    }
  }

  @Override
  public void onLaunchRefused(
      TaskPlacement placement, WorkerHeartbeat.ExitCause cause, MonotonicTime now) {
    changed = true;
    eventSummary.countEvent("launches refused by workers: " + cause, location(placement));
    placement.job.notBefore.put(placement.index, now.plus(TimeSpan.seconds(2)));
  }

  @Override
  public void onLost(TaskPlacement placement, String reason, MonotonicTime now) {
    changed = true;
    placement
        .job
        .replicas()
        .recordUnexpectedExit(reason, reason.equals(TaskStatusReconciler.EXITED_BY_ITSELF));
    if (placement.state() != TaskPlacement.State.LAUNCHED) {
      eventSummary.countEvent("tasks lost and to be restarted: " + reason, location(placement));
    }
    if (placement.runningSince() == null) {
      return;
    }
    TimeSpan runTime = now.since(placement.runningSince());
    if (placement.job.spec.checkpoints()) {
      long interval = placement.job.spec.checkpointInterval().ms();
      keepProgress(placement, new TimeSpan(runTime.ms() / interval * interval));
    } else {
      coreTimeUsage.recordWasted(placement, runTime.toSeconds());
    }
  }

  private static String location(TaskPlacement placement) {
    return placement.taskId() + " on " + placement.machine.id;
  }

  /** Adds run time covered by a checkpoint, from which the task resumes. */
  private static void keepProgress(TaskPlacement placement, TimeSpan runTime) {
    TimeSpan before =
        placement.job.checkpointedRunTime.getOrDefault(placement.index, new TimeSpan(0));
    placement.job.checkpointedRunTime.put(placement.index, before.plus(runTime));
  }
}
