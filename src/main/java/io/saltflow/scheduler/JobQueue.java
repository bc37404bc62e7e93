package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.OrderKey;
import io.saltflow.priority.QueueOrder;
import io.saltflow.priority.QueueOrderInputs;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes the order in which a round considers jobs: guaranteed quota, lane, admission, and the
 * exceptions of {@link QueueOrder}.
 */
final class JobQueue {
  private final Policy policy;
  private final RunTimeEstimates estimates;

  JobQueue(Policy policy, RunTimeEstimates estimates) {
    this.policy = policy;
    this.estimates = estimates;
  }

  /**
   * Returns the waiting jobs in queue order.
   *
   * @param orderInputs the inputs of the order that are not part of the jobs' records
   */
  List<Job> inOrder(
      Collection<Job> waiting,
      Set<JobId> guaranteed,
      QueueOrderInputs orderInputs,
      MonotonicTime now) {
    List<OrderKey> keys = new ArrayList<>();
    Map<JobId, Job> byId = new HashMap<>();
    for (Job job : waiting) {
      job.queueState().setLowSlack(hasLowSlack(job, orderInputs, now));
      double estimateS = estimates.ownerEstimate(job.spec).toSeconds();
      keys.add(job.orderKey(guaranteed.contains(job.id()), estimateS));
      byId.put(job.id(), job);
    }
    List<Job> ordered = new ArrayList<>();
    QueueOrder.of(keys, orderInputs, policy.lengthWeight())
        .forEach(id -> ordered.add(byId.get(id)));
    return LeastSlackOrder.leastSlackFirst(
        ordered, guaranteed, job -> expectedRun(job, orderInputs), now);
  }

  /**
   * Returns whether a job has little slack before its deadline, or before the start or completion
   * target of its class. Low-priority jobs that are not promoted at this point would starve behind
   * a stream of normal-priority jobs.
   */
  private boolean hasLowSlack(Job job, QueueOrderInputs orderInputs, MonotonicTime now) {
    TimeSpan slack = policy.deadlineSlack();
    if (job.queueState().startBy() != null
        && !job.queueState().startBy().since(now).longerThan(slack)) {
      return true;
    }
    TimeSpan run = expectedRun(job, orderInputs);
    MonotonicTime due = job.queueState().completeBy();
    return due != null && !due.since(now).minus(run.times(1.3)).longerThan(slack);
  }

  private TimeSpan expectedRun(Job job, QueueOrderInputs orderInputs) {
    return estimates
        .ownerEstimate(job.spec)
        .times(orderInputs.estimateCorrection(job.spec.jobClass()));
  }

  /**
   * Returns the jobs that fit in their team's guaranteed quota together with all unfinished jobs of
   * the team that became eligible earlier.
   */
  Set<JobId> guaranteedJobs(Collection<Job> jobs) {
    Set<JobId> guaranteed = new HashSet<>();
    if (policy.teams().values().stream()
        .allMatch(t -> t.guaranteedCores() <= 0 && t.guaranteedGpus() <= 0)) {
      return guaranteed;
    }
    Map<String, Resources> totals = new HashMap<>();
    List<Job> byArrival = new ArrayList<>(jobs);
    byArrival.sort(
        Comparator.comparing((Job j) -> j.queueState().eligibleWallMs()).thenComparing(Job::id));
    for (Job job : byArrival) {
      Policy.TeamQuota team = policy.teams().get(job.spec.team());
      if (team == null || (team.guaranteedCores() <= 0 && team.guaranteedGpus() <= 0)) {
        continue;
      }
      Resources remaining = job.spec.size().times(job.desiredTasks() - job.done.cardinality());
      Resources total = totals.getOrDefault(job.spec.team(), Resources.ZERO).plus(remaining);
      totals.put(job.spec.team(), total);
      if (total.cores() <= team.guaranteedCores() && total.gpus() <= team.guaranteedGpus()) {
        guaranteed.add(job.id());
      }
    }
    return guaranteed;
  }
}
