package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QueueState;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.dependencies.DependencyGraph;
import io.saltflow.dependencies.DependencyRanks;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds jobs back until the completion of all their dependencies is recorded. Until then a held job
 * is unknown to the scheduler: it has no position in the queue, uses nothing of its team's limit,
 * and no capacity is reserved or scaled out for it. A job that is cancelled by cascade has
 * therefore never had a task on a machine.
 */
public final class DependencyTracker {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyTracker.class);

  private final DependencyGraph graph = new DependencyGraph();

  /** Jobs that wait for their dependencies, by id. The scheduler knows none of them. */
  private final Map<JobId, Job> heldJobs = new LinkedHashMap<>();

  /**
   * Held jobs that an earlier leader may have started although no readable record says so. A leader
   * of a version without support for dependencies stops the tasks of such a job where it can, and
   * discards the job's records.
   */
  private final Set<JobId> mayBeRunning = new HashSet<>();

  /** Jobs of {@link #mayBeRunning} whose dependencies are all done. */
  private final Map<JobId, Job> awaitingReconciliation = new LinkedHashMap<>();

  private final RunTimeEstimates estimates;

  /**
   * Time that a job takes in addition to its run: a launch waits for the machine's next heartbeat.
   */
  private final TimeSpan stepOverhead;

  private final long wallClockOffsetMs;
  private final Function<JobId, Job> findScheduled;
  private List<Job> rankedJobs = List.of();

  /**
   * Creates a tracker without jobs.
   *
   * @param wallClockOffsetMs the wall-clock time minus the monotonic time, in milliseconds
   * @param findScheduled finds a job that the scheduler knows, or returns {@code null}
   */
  public DependencyTracker(
      Policy policy,
      RunTimeEstimates estimates,
      long wallClockOffsetMs,
      Function<JobId, Job> findScheduled) {
    this.estimates = estimates;
    this.stepOverhead = policy.heartbeatInterval();
    this.wallClockOffsetMs = wallClockOffsetMs;
    this.findScheduled = findScheduled;
  }

  /**
   * Adds a live job.
   *
   * @param leaderSinceMs the wall-clock time at which this leader's term began, in milliseconds
   * @return whether the job waits for dependencies and must not be scheduled
   */
  public boolean onJobAdded(Job job, long leaderSinceMs) {
    List<JobId> dependencies = job.spec.dependencies();
    graph.onJobAdded(job.id(), dependencies, job.dependenciesMet());
    if (dependencies.isEmpty()) {
      return false;
    }
    if (job.dependenciesMet()) {
      // The time at which the job became eligible is unknown until the completions of its
      // dependencies have been read.
      job.queueState().setEligibleWallMs(leaderSinceMs);
      return false;
    }
    heldJobs.put(job.id(), job);
    return true;
  }

  /**
   * Marks the held jobs that depend on no live job as possibly running. Called once all jobs that
   * were live at the failover have been added.
   */
  public void onFailover() {
    for (JobId id : heldJobs.keySet()) {
      if (!graph.dependsOnLiveJob(id)) {
        mayBeRunning.add(id);
      }
    }
  }

  /** Returns the job if it waits for dependencies, otherwise {@code null}. */
  public Job findHeldJob(JobId id) {
    return heldJobs.get(id);
  }

  /** Returns all jobs that wait for dependencies. */
  public Collection<Job> heldJobs() {
    return heldJobs.values();
  }

  /** Handles the recorded completion of a job. */
  public void onJobDone(JobId id, long endedMs) {
    forget(id);
    graph.onDone(id, endedMs);
  }

  /** Handles the recorded cancellation of a job. */
  public void onJobCancelled(JobId id) {
    int pendingBefore = graph.pendingCancellations().size();
    forget(id);
    graph.onCancelled(id);
    int dependents = graph.pendingCancellations().size() - pendingBefore;
    if (dependents > 0) {
      LOG.info("cancelling {} dependents of cancelled job {}", dependents, id);
    }
  }

  /** Handles the removal of a job's live record. */
  public void onJobRemoved(JobId id) {
    forget(id);
    graph.onRecordRemoved(id);
  }

  private void forget(JobId id) {
    heldJobs.remove(id);
    awaitingReconciliation.remove(id);
    mayBeRunning.remove(id);
  }

  /**
   * Returns the jobs that may be scheduled from now on, and the scheduled jobs whose eligible time
   * has become known.
   *
   * @param noEarlierTermTasks whether no machine can run a task of an earlier term that is unknown
   *     to this leader
   */
  public List<Job> takeReleased(boolean noEarlierTermTasks) {
    List<Job> released = new ArrayList<>();
    for (DependencyGraph.ReleasedJob release : graph.takeReleased()) {
      Job job = heldJobs.get(release.job());
      Job target = job == null ? findScheduled.apply(release.job()) : job;
      if (target == null) {
        continue;
      }
      target.queueState().setEligibleWallMs(Math.max(target.arrivedWallMs, release.lastEndMs()));
      if (job != null && (job.mayHaveStartedInEarlierTerm || mayBeRunning.contains(job.id()))) {
        awaitingReconciliation.put(job.id(), job);
      } else {
        released.add(target);
      }
    }
    if (noEarlierTermTasks) {
      released.addAll(awaitingReconciliation.values());
      awaitingReconciliation.clear();
    }
    for (Job job : released) {
      mayBeRunning.remove(job.id());
      if (heldJobs.remove(job.id()) != null) {
        double waitedS = (job.queueState().eligibleWallMs() - job.arrivedWallMs) / 1000.0;
        LOG.info("dependencies complete: job {} released after {} s", job.id(), waitedS);
      }
    }
    return released;
  }

  /** Returns the jobs whose completions must be read before their dependents may start. */
  public List<JobId> completionsToRead() {
    return graph.completionsToRead();
  }

  /**
   * Returns the jobs whose completions are read at low urgency, to learn the eligible times of jobs
   * that have already started.
   */
  public List<JobId> completionsToReadForTimes() {
    return graph.completionsToReadForTimes();
  }

  /**
   * Returns the jobs whose cancellation has to be recorded. Each is returned until its cancellation
   * is confirmed.
   */
  public List<JobId> jobsToCancel() {
    List<JobId> ids = new ArrayList<>();
    for (DependencyGraph.PendingCancellation cancellation : graph.pendingCancellations()) {
      ids.add(cancellation.job());
    }
    return ids;
  }

  /** Propagates priorities and latest completion times backwards along the dependencies. */
  public void propagateRanks() {
    if (!graph.takeChanged()) {
      return;
    }
    rankedJobs.forEach(job -> job.queueState().setInheritedUrgency(null));
    List<Job> newlyRankedJobs = new ArrayList<>();
    DependencyRanks.of(graph, new RankedJobs())
        .forEach(
            (id, rank) -> {
              Job job = job(id);
              MonotonicTime latestEnd =
                  rank.latestEndMs() == DependencyRanks.NO_DEADLINE
                      ? null
                      : new MonotonicTime(rank.latestEndMs() - wallClockOffsetMs);
              job.queueState()
                  .setInheritedUrgency(new QueueState.InheritedUrgency(rank.priority(), latestEnd));
              newlyRankedJobs.add(job);
            });
    rankedJobs = newlyRankedJobs;
  }

  private Job job(JobId id) {
    Job held = heldJobs.get(id);
    return held == null ? findScheduled.apply(id) : held;
  }

  /** Provides the attributes that ranks are computed from. */
  private final class RankedJobs implements DependencyRanks.JobAttributes {
    @Override
    public Priority priority(JobId id) {
      return job(id).spec.priority();
    }

    @Override
    public long deadlineMs(JobId id) {
      Job job = job(id);
      TimeSpan deadline = job.spec.daemon() ? null : job.spec.deadline();
      return deadline == null ? DependencyRanks.NO_DEADLINE : job.arrivedWallMs + deadline.ms();
    }

    @Override
    public long expectedMs(JobId id) {
      return estimates.ownerEstimate(job(id).spec).plus(stepOverhead).ms();
    }
  }
}
