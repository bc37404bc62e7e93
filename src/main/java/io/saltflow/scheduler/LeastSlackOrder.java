package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.Lane;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Orders the jobs of pipelines with a deadline by least slack: the job that has to start first
 * comes first. Jobs that can no longer be in time come last, as each of them would make others late
 * too. These jobs exchange positions only among themselves. The position of every other job is
 * unchanged, and no job changes its lane.
 */
final class LeastSlackOrder {
  /**
   * Attributes that take precedence over slack. Jobs exchange positions only if they are equal in
   * them.
   */
  private record PeerGroup(Lane lane, boolean guaranteed, boolean failing) {}

  private LeastSlackOrder() {}

  /**
   * Returns the jobs with those that have a pipeline deadline ordered by their latest start time.
   *
   * @param expectedRun the expected run time of a job
   */
  static List<Job> leastSlackFirst(
      List<Job> order,
      Set<JobId> guaranteed,
      Function<Job, TimeSpan> expectedRun,
      MonotonicTime now) {
    Map<PeerGroup, List<Job>> dependentJobs = new HashMap<>();
    for (Job job : order) {
      if (job.queueState().pipelineDeadline() != null) {
        dependentJobs
            .computeIfAbsent(peerGroup(job, guaranteed), group -> new ArrayList<>())
            .add(job);
      }
    }
    if (dependentJobs.isEmpty()) {
      return order;
    }
    Comparator<Job> byLatestStart =
        Comparator.comparing((Job job) -> latestStart(job, expectedRun).before(now))
            .thenComparing(job -> latestStart(job, expectedRun))
            .thenComparing(Job::id);
    Map<PeerGroup, Deque<Job>> sorted = new HashMap<>();
    dependentJobs.forEach(
        (group, jobs) -> {
          jobs.sort(byLatestStart);
          sorted.put(group, new ArrayDeque<>(jobs));
        });
    List<Job> reordered = new ArrayList<>();
    for (Job job : order) {
      reordered.add(
          job.queueState().pipelineDeadline() == null
              ? job
              : sorted.get(peerGroup(job, guaranteed)).poll());
    }
    return reordered;
  }

  private static PeerGroup peerGroup(Job job, Set<JobId> guaranteed) {
    return new PeerGroup(
        job.queueState().effectiveLane(), guaranteed.contains(job.id()), job.failsEverywhere());
  }

  private static MonotonicTime latestStart(Job job, Function<Job, TimeSpan> expectedRun) {
    return new MonotonicTime(
        job.queueState().pipelineDeadline().ms() - expectedRun.apply(job).ms());
  }
}
