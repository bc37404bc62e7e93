package io.saltflow.dependencies;

import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Computes what a job inherits from its direct and transitive dependents: the highest priority, and
 * the latest completion with which all of them can still be in time. The latter is propagated
 * backward along the critical path of estimates, as in HEFT's upward rank (Topcuoglu, Hariri and
 * Wu, 2002).
 */
public final class DependencyRanks {
  /** Value for jobs that do not have to complete by any time. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Attributes of a job itself, without those inherited from its dependents. */
  public interface JobAttributes {
    /** Returns the job's own priority. */
    Priority priority(JobId id);

    /** Returns the job's own deadline as wall-clock time in ms, or {@link #NO_DEADLINE}. */
    long deadlineMs(JobId id);

    /** Returns the estimated time in ms from the job's release until its end is recorded. */
    long expectedMs(JobId id);
  }

  /**
   * The requirements of a job and its dependents.
   *
   * @param priority the highest priority of the job and its dependents
   * @param latestEndMs the latest completion that meets the deadlines of the job and its dependents
   */
  public record InheritedRank(Priority priority, long latestEndMs) {
    private InheritedRank combinedWith(Priority otherPriority, long otherLatestEndMs) {
      return new InheritedRank(
          otherPriority.higherThan(priority) ? otherPriority : priority,
          Math.min(latestEndMs, otherLatestEndMs));
    }
  }

  private DependencyRanks() {}

  /**
   * Returns the ranks of all live jobs that have dependencies or dependents. Each job comes after
   * all its dependents. Jobs on a dependency cycle, which only a damaged record can cause, and
   * their dependencies are left out.
   */
  public static Map<JobId, InheritedRank> of(DependencyGraph graph, JobAttributes jobs) {
    Map<JobId, InheritedRank> ranks = new LinkedHashMap<>();
    Map<JobId, Integer> dependentsLeft = dependentCounts(graph);
    Deque<JobId> ready = new ArrayDeque<>();
    for (JobId id : graph.linkedJobs()) {
      ranks.put(id, new InheritedRank(jobs.priority(id), jobs.deadlineMs(id)));
      if (!dependentsLeft.containsKey(id)) {
        ready.add(id);
      }
    }
    Map<JobId, InheritedRank> settled = new LinkedHashMap<>();
    while (!ready.isEmpty()) {
      JobId id = ready.poll();
      InheritedRank rank = ranks.get(id);
      settled.put(id, rank);
      long latestStartMs =
          rank.latestEndMs == NO_DEADLINE ? NO_DEADLINE : rank.latestEndMs - jobs.expectedMs(id);
      for (JobId dependency : graph.liveDependencies(id)) {
        ranks.computeIfPresent(
            dependency, (dependencyId, own) -> own.combinedWith(rank.priority, latestStartMs));
        if (dependentsLeft.merge(dependency, -1, Integer::sum) == 0) {
          ready.add(dependency);
        }
      }
    }
    return settled;
  }

  private static Map<JobId, Integer> dependentCounts(DependencyGraph graph) {
    Map<JobId, Integer> counts = new HashMap<>();
    Collection<JobId> linked = graph.linkedJobs();
    for (JobId id : linked) {
      for (JobId dependency : graph.liveDependencies(id)) {
        counts.merge(dependency, 1, Integer::sum);
      }
    }
    return counts;
  }
}
