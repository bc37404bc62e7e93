package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.fairshare.ShareGrant;
import io.saltflow.fairshare.ShareGroup;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Computes the order in which a round considers jobs, and the reason for each position. */
final class CandidateOrder {
  /**
   * Maximum number of consecutive candidates of one class that may be reordered so that jobs whose
   * image a machine has cached come first. A fetch takes a good part of a short run, and so close
   * in the queue the candidates hardly differ in rank.
   */
  private static final int MAX_IMAGE_LOOKAHEAD = 16;

  /** Fraction of the first-start target after which a job's first task is considered early. */
  private static final double FIRST_TASK_WAIT_FRACTION = 0.4;

  /**
   * Maximum number of jobs whose first task is considered early in one round, so that first tasks
   * cannot take the whole fleet.
   */
  private static final int MAX_FIRST_TASK_JOBS = 32;

  /** Reason for a job's position in the order. */
  enum Reason {
    /** The job is at its position in the queue order. */
    QUEUE_ORDER,
    /**
     * The job is urgent, and its class and team are within their fair share. Comes before the
     * minimum shares of other groups.
     */
    URGENT,
    /**
     * The job's class or team has waited longer than the threshold and holds less than its minimum
     * share.
     */
    MINIMUM_SHARE,
    /**
     * The job has waited for long and none of its tasks has started. Admits one task, before the
     * minimum shares.
     */
    FIRST_TASK
  }

  /** A job at a position in the order. A job may have several positions, for different reasons. */
  static final class Candidate {
    final Job job;
    final Reason reason;
    private final ShareGroup group;

    /** Number of the job's tasks that may still start for this reason. */
    private int maxTasks;

    private Candidate(Job job, Reason reason, ShareGroup group, int maxTasks) {
      this.job = job;
      this.reason = reason;
      this.group = group;
      this.maxTasks = maxTasks;
    }

    int maxTasks() {
      return maxTasks;
    }

    /** Returns whether the candidate may use resources that are reserved for minimum shares. */
    boolean usesShareReservations() {
      return reason == Reason.MINIMUM_SHARE || reason == Reason.FIRST_TASK;
    }

    /**
     * Returns the class or team whose minimum share the candidate uses, or {@code null} if there is
     * none.
     */
    ShareGroup group() {
      return group;
    }

    void onTaskAssigned() {
      maxTasks--;
    }

    /** Returns whether one more task may start for this reason. */
    boolean mayStartAnother(FairShareScheduler fairShare) {
      return switch (reason) {
        case QUEUE_ORDER -> true;
        case URGENT -> fairShare.withinFairShare(job);
        case MINIMUM_SHARE -> maxTasks > 0 && fairShare.belowMinimumShare(group);
        case FIRST_TASK -> maxTasks > 0 && job.neverStarted();
      };
    }
  }

  private CandidateOrder() {}

  /**
   * Returns the candidates in order: jobs within guaranteed quota, then urgent jobs within their
   * fair share, then one task of each job that is overdue for its first, then minimum shares, then
   * the queue.
   */
  static List<Candidate> of(
      List<Job> order,
      Set<JobId> guaranteed,
      List<Job> overdueForFirstTask,
      List<ShareGrant> grants,
      Priority minUrgentPriority) {
    List<Candidate> candidates = new ArrayList<>();
    if (!grants.isEmpty() || !overdueForFirstTask.isEmpty()) {
      Map<JobId, Job> byId = new HashMap<>();
      for (Job job : order) {
        byId.put(job.id(), job);
        if (guaranteed.contains(job.id())) {
          candidates.add(queueCandidate(job));
        } else if (job.queueState().priority().compareTo(minUrgentPriority) >= 0) {
          candidates.add(new Candidate(job, Reason.URGENT, null, Integer.MAX_VALUE));
        }
      }
      for (Job job : overdueForFirstTask) {
        candidates.add(new Candidate(job, Reason.FIRST_TASK, null, 1));
      }
      for (ShareGrant grant : grants) {
        if (!guaranteed.contains(grant.job())) {
          candidates.add(
              new Candidate(
                  byId.get(grant.job()), Reason.MINIMUM_SHARE, grant.group(), grant.maxTasks()));
        }
      }
    }
    for (Job job : order) {
      candidates.add(queueCandidate(job));
    }
    return candidates;
  }

  /**
   * Returns the jobs that have waited for a large part of the first-start target, longest wait
   * first. Without this, a wide job or one that needs most of a machine or of its team's limit
   * could wait behind a stream of smaller jobs, while one task of it delays the others little.
   *
   * @param firstStartTarget the time within which each job's first task is to start
   */
  static List<Job> overdueForFirstTask(
      List<Job> order, TimeSpan firstStartTarget, MonotonicTime now) {
    TimeSpan threshold = firstStartTarget.times(FIRST_TASK_WAIT_FRACTION);
    return order.stream()
        .filter(job -> job.isStartRecorded() && job.neverStarted() && !job.isService())
        .filter(
            job ->
                !job.failsEverywhere()
                    && now.since(job.queueState().eligibleAt()).compareTo(threshold) >= 0)
        .sorted(
            Comparator.comparing((Job job) -> job.queueState().eligibleWallMs())
                .thenComparing(Job::id))
        .limit(MAX_FIRST_TASK_JOBS)
        .toList();
  }

  private static Candidate queueCandidate(Job job) {
    return new Candidate(job, Reason.QUEUE_ORDER, null, Integer.MAX_VALUE);
  }

  /**
   * Returns the end index, exclusive, of the candidates from the given index on that may be
   * reordered: consecutive candidates of one class in queue order.
   */
  static int endOfInterchangeable(List<Candidate> candidates, int from) {
    Candidate first = candidates.get(from);
    int to = from + 1;
    while (first.reason == Reason.QUEUE_ORDER
        && to < candidates.size()
        && to - from < MAX_IMAGE_LOOKAHEAD
        && candidates.get(to).reason == Reason.QUEUE_ORDER
        && candidates.get(to).job.jobClass.equals(first.job.jobClass)) {
      to++;
    }
    return to;
  }
}
