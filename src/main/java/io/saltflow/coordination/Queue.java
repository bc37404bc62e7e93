package io.saltflow.coordination;

import io.saltflow.lanes.Basis;
import io.saltflow.lanes.Order;
import io.saltflow.lanes.Standing;
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

  /**
   * The waiting jobs in order.
   *
   * @param basis what is recorded beside them
   */
  List<Job> inOrder(Collection<Job> waiting, Set<JobId> guaranteed, Basis basis, Time now) {
    List<Standing> standings = new ArrayList<>();
    Map<JobId, Job> byId = new HashMap<>();
    for (Job job : waiting) {
      job.pressed = pressed(job, basis, now);
      double estimateS = estimates.byItsOwner(job.spec).toSeconds();
      standings.add(job.standing(guaranteed.contains(job.id()), estimateS));
      byId.put(job.id(), job);
    }
    List<Job> out = new ArrayList<>();
    Order.of(standings, basis, policy.lengthWeight()).forEach(id -> out.add(byId.get(id)));
    return PipelineOrder.leastSlackFirst(out, guaranteed, job -> expected(job, basis), now);
  }

  /**
   * Whether a job of low priority has little time to spare before its deadline, or before the time
   * its class should be started or finished in. Our extension: without it such work starves while
   * work of normal priority keeps coming.
   */
  private boolean pressed(Job job, Basis basis, Time now) {
    Span slack = policy.pressedSlack();
    if (job.startBy != null && !job.startBy.since(now).longerThan(slack)) {
      return true;
    }
    Span run = expected(job, basis);
    Time due = job.completeBy();
    return due != null && !due.since(now).minus(run.times(1.3)).longerThan(slack);
  }

  private Span expected(Job job, Basis basis) {
    return estimates.byItsOwner(job.spec).times(basis.correction(job.spec.jobClass()));
  }

  /** Jobs that fit in their team's guarantee together with the team's earlier unfinished jobs. */
  Set<JobId> guaranteed(Collection<Job> jobs) {
    Set<JobId> out = new HashSet<>();
    if (policy.teams().values().stream().allMatch(t -> t.cores() <= 0 && t.gpus() <= 0)) {
      return out;
    }
    Map<String, Size> sums = new HashMap<>();
    List<Job> byArrival = new ArrayList<>(jobs);
    byArrival.sort(Comparator.comparing((Job j) -> j.countsFromMs).thenComparing(Job::id));
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
