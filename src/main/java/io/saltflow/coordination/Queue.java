package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The order in which jobs are considered: guarantee, priority, arrival, and our extensions. */
final class Queue {
  private final Policy policy;
  private final Estimates estimates;

  Queue(Policy policy, Estimates estimates) {
    this.policy = policy;
    this.estimates = estimates;
  }

  /** Guarantee first, then priority, then arrival; ids settle what arrived together. */
  List<Job> inOrder(Collection<Job> jobs, Set<JobId> guaranteed, double fleetCores, Time now) {
    for (Job job : jobs) {
      job.pressed = pressed(job, now);
      job.place = place(job, fleetCores);
    }
    List<Job> order = new ArrayList<>(jobs);
    order.sort(
        Comparator.comparing((Job j) -> j.failsEverywhere())
            .thenComparing(j -> !guaranteed.contains(j.id()))
            .thenComparing(Job::queuedAs, Comparator.reverseOrder())
            .thenComparing(j -> j.place)
            .thenComparing(Job::id));
    return order;
  }

  /**
   * Arrival, put back by the time that what the job still has to start would keep the whole fleet:
   * a short job passes a long one that came a little earlier, which it hardly delays. The delay of
   * the long one is bounded by its own length, so it can't starve. Our extension; a weight of 0 is
   * the paper's order of arrival.
   */
  private double place(Job job, double fleetCores) {
    double lengthS =
        job.pendingCount()
            * job.spec.size().cores()
            * estimates.predict(job, 0).toSeconds()
            / Math.max(1, fleetCores);
    return job.arrivedWallMs + policy.lengthWeight() * lengthS * 1000;
  }

  /**
   * Whether a job of low priority has little time to spare before its deadline, or before the time
   * its class should be started or finished in. Our extension: without it such work starves while
   * work of normal priority keeps coming.
   */
  private boolean pressed(Job job, Time now) {
    Span slack = policy.pressedSlack();
    if (job.startBy != null && !job.startBy.since(now).longerThan(slack)) {
      return true;
    }
    return job.dueAt != null
        && !job.dueAt.since(now).minus(estimates.predict(job, 0).times(1.3)).longerThan(slack);
  }

  /** Jobs that fit in their team's guarantee together with the team's earlier unfinished jobs. */
  Set<JobId> guaranteed(Collection<Job> jobs) {
    Set<JobId> out = new HashSet<>();
    if (policy.teams().values().stream().allMatch(t -> t.cores() <= 0 && t.gpus() <= 0)) {
      return out;
    }
    Map<String, Size> sums = new HashMap<>();
    List<Job> byArrival = new ArrayList<>(jobs);
    byArrival.sort(Comparator.comparing((Job j) -> j.arrivedWallMs).thenComparing(Job::id));
    for (Job job : byArrival) {
      Policy.Team team = policy.teams().get(job.spec.team());
      if (team == null || (team.cores() <= 0 && team.gpus() <= 0)) {
        continue;
      }
      Size whole = job.spec.size().times(job.wantedTasks() - job.done.cardinality());
      Size sum = sums.getOrDefault(job.spec.team(), Size.ZERO).plus(whole);
      sums.put(job.spec.team(), sum);
      if (sum.cores() <= team.cores() && sum.gpus() <= team.gpus()) {
        out.add(job.id());
      }
    }
    return out;
  }
}
