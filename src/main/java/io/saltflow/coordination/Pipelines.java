package io.saltflow.coordination;

import io.saltflow.pipelines.DependencyGraph;
import io.saltflow.pipelines.Ranks;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
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
 * Jobs that depend on others. Until all that it needs is recorded as done, a job is held here and
 * nothing else knows of it: it has no place in the queue, takes nothing of its team's limit and no
 * room is reserved or rented for it. So one that is cancelled because of another never had a task
 * on a machine.
 */
public final class Pipelines {
  private static final Logger LOG = LoggerFactory.getLogger(Pipelines.class);

  private final DependencyGraph graph = new DependencyGraph();

  /** Jobs that wait for others; none of them is among the scheduler's. */
  private final Map<JobId, Job> held = new LinkedHashMap<>();

  /**
   * Jobs that a former leader may have started though no page that we can read says so. One is that
   * of a version which knows no dependencies: it stops what runs of such a job where it can, and
   * drops what was recorded of it.
   */
  private final Set<JobId> maybeOnMachines = new HashSet<>();

  /** Those of them whose needs are all done. */
  private final Map<JobId, Job> doubtful = new LinkedHashMap<>();

  private final Estimates estimates;

  /** What a step takes beside its run: a launch waits for its machine's next report. */
  private final Span stepOverhead;

  private final long wallMinusClockMs;
  private final Function<JobId, Job> scheduled;
  private List<Job> ranked = List.of();

  Pipelines(
      Policy policy, Estimates estimates, long wallMinusClockMs, Function<JobId, Job> scheduled) {
    this.estimates = estimates;
    this.stepOverhead = policy.report();
    this.wallMinusClockMs = wallMinusClockMs;
    this.scheduled = scheduled;
  }

  /**
   * A live job. True: it waits for others and must not be scheduled.
   *
   * @param tookOverMs the time of day at which this leader began
   */
  boolean added(Job job, long tookOverMs) {
    List<JobId> needs = job.spec.awaits();
    graph.added(job.id(), needs, job.dependenciesMet());
    if (needs.isEmpty()) {
      return false;
    }
    if (job.dependenciesMet()) {
      // Until the ends of its needs are read nobody knows from when its times count.
      job.countsFromMs = tookOverMs;
      return false;
    }
    held.put(job.id(), job);
    return true;
  }

  /** All that was live at the takeover has been added: what needs none of it may be running. */
  void takenOver() {
    for (JobId id : held.keySet()) {
      if (!graph.needsLiveJob(id)) {
        maybeOnMachines.add(id);
      }
    }
  }

  /** A job that waits for others; null: there is no such. */
  Job held(JobId id) {
    return held.get(id);
  }

  Collection<Job> held() {
    return held.values();
  }

  /** The end of a job is recorded as done. */
  void done(JobId id, long endedMs) {
    forget(id);
    graph.done(id, endedMs);
  }

  /** The end of a job is recorded as cancelled. */
  void cancelled(JobId id) {
    int before = graph.toCancel().size();
    forget(id);
    graph.cancelled(id);
    int more = graph.toCancel().size() - before;
    if (more > 0) {
      LOG.info("{} jobs that depend on {} are cancelled with it", more, id);
    }
  }

  /** A job's live record is gone. */
  void gone(JobId id) {
    forget(id);
    graph.gone(id);
  }

  private void forget(JobId id) {
    held.remove(id);
    doubtful.remove(id);
    maybeOnMachines.remove(id);
  }

  /**
   * Jobs that may be scheduled from now on, and scheduled ones whose times have become known.
   *
   * @param noneOfOldLeaders whether no task of a former leader's can be on a machine unknown to us
   */
  List<Job> takeReleased(boolean noneOfOldLeaders) {
    List<Job> out = new ArrayList<>();
    for (DependencyGraph.Released each : graph.takeReleased()) {
      Job job = held.get(each.job());
      Job known = job == null ? scheduled.apply(each.job()) : job;
      if (known == null) {
        continue;
      }
      known.countsFromMs = Math.max(known.arrivedWallMs, each.lastEndMs());
      if (job != null && (job.maybeStartedBefore || maybeOnMachines.contains(job.id()))) {
        doubtful.put(job.id(), job);
      } else {
        out.add(known);
      }
    }
    if (noneOfOldLeaders) {
      out.addAll(doubtful.values());
      doubtful.clear();
    }
    for (Job job : out) {
      maybeOnMachines.remove(job.id());
      if (held.remove(job.id()) != null) {
        double waitedS = (job.countsFromMs - job.arrivedWallMs) / 1000.0;
        LOG.info("{} is released after {} s: what it depends on is done", job.id(), waitedS);
      }
    }
    return out;
  }

  /** Jobs whose ends must be read before what needs them may start. */
  public List<JobId> endsToRead() {
    return graph.toRead();
  }

  /** Jobs whose ends are read when there is time, for the times of those that have started. */
  public List<JobId> endsToReadForTimes() {
    return graph.toReadForTimes();
  }

  /** Jobs that have to be recorded as cancelled, each until that was confirmed. */
  public List<JobId> toCancel() {
    List<JobId> out = new ArrayList<>();
    for (DependencyGraph.Doomed each : graph.toCancel()) {
      out.add(each.job());
    }
    return out;
  }

  /** Priorities and latest completions are passed back along the pipelines. */
  void passBack() {
    if (!graph.takeChanged()) {
      return;
    }
    ranked.forEach(job -> job.inherits(null));
    List<Job> now = new ArrayList<>();
    Ranks.of(graph, new RankedJobs())
        .forEach(
            (id, rank) -> {
              Job job = job(id);
              Time latestEnd =
                  rank.latestEndMs() == Ranks.NO_DEADLINE
                      ? null
                      : new Time(rank.latestEndMs() - wallMinusClockMs);
              job.inherits(new Job.Inherited(rank.priority(), latestEnd));
              now.add(job);
            });
    ranked = now;
  }

  private Job job(JobId id) {
    Job waiting = held.get(id);
    return waiting == null ? scheduled.apply(id) : waiting;
  }

  /** What ranks are computed from. */
  private final class RankedJobs implements Ranks.Jobs {
    @Override
    public Priority priority(JobId id) {
      return job(id).spec.priority();
    }

    @Override
    public long deadlineMs(JobId id) {
      Job job = job(id);
      Span deadline = job.spec.daemon() ? null : job.spec.deadline();
      return deadline == null ? Ranks.NO_DEADLINE : job.arrivedWallMs + deadline.ms();
    }

    @Override
    public long expectedMs(JobId id) {
      return estimates.byItsOwner(job(id).spec).plus(stepOverhead).ms();
    }
  }
}
