package io.saltflow.leader;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.QueueState;
import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.scheduler.DependencyTracker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The jobs that have not ended.
 *
 * @param scheduled the jobs that may be placed, in the order in which they became known
 * @param dependencies the jobs that are held until others have ended
 */
record LiveJobs(Map<JobId, Job> scheduled, DependencyTracker dependencies) {
  /** Returns the live job with this id, scheduled or held, or {@code null} if it is unknown. */
  Job find(JobId id) {
    Job job = scheduled.get(id);
    return job == null ? dependencies.findHeldJob(id) : job;
  }

  /** Returns the ids of the scheduled jobs, followed by those of the held jobs. */
  List<JobId> ids() {
    List<JobId> ids = new ArrayList<>(scheduled.keySet());
    dependencies.heldJobs().forEach(job -> ids.add(job.id()));
    return ids;
  }

  /**
   * Returns the resources that the pending tasks of a team need in jobs ahead of a given priority
   * and arrival time.
   */
  Resources demandAheadOf(String team, Priority priority, long arrivedWallMs) {
    Resources demand = Resources.ZERO;
    for (Job job : scheduled.values()) {
      QueueState queueState = job.queueState();
      boolean isAhead =
          queueState.effectivePriority().higherThan(priority)
              || (queueState.effectivePriority() == priority
                  && queueState.eligibleWallMs() < arrivedWallMs);
      if (isAhead && job.spec.team().equals(team) && !job.isCancelled() && !job.failsEverywhere()) {
        demand = demand.plus(job.spec.size().times(job.pendingCount()));
      }
    }
    return demand;
  }
}
