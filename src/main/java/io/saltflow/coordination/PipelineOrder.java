package io.saltflow.coordination;

import io.saltflow.lanes.Lane;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
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
 * Steps of pipelines that are due change places among themselves: the one with the least time to
 * spare first, those that can't be in time any more last, as each of them would make others late
 * too. No other job's place changes, and none changes its lane.
 */
final class PipelineOrder {
  /** Places are exchanged only among jobs that are alike in all that goes before the time. */
  private record Line(Lane lane, boolean guaranteed, boolean failing) {}

  private PipelineOrder() {}

  /**
   * The jobs with steps of pipelines by the time at which they have to start.
   *
   * @param run what a job is expected to take
   */
  static List<Job> leastSlackFirst(
      List<Job> order, Set<JobId> guaranteed, Function<Job, Span> run, Time now) {
    Map<Line, List<Job>> steps = new HashMap<>();
    for (Job job : order) {
      if (job.pipelineDue() != null) {
        steps.computeIfAbsent(line(job, guaranteed), l -> new ArrayList<>()).add(job);
      }
    }
    if (steps.isEmpty()) {
      return order;
    }
    Comparator<Job> byLatestStart =
        Comparator.comparing((Job job) -> latestStart(job, run).before(now))
            .thenComparing(job -> latestStart(job, run))
            .thenComparing(Job::id);
    Map<Line, Deque<Job>> sorted = new HashMap<>();
    steps.forEach(
        (line, jobs) -> {
          jobs.sort(byLatestStart);
          sorted.put(line, new ArrayDeque<>(jobs));
        });
    List<Job> out = new ArrayList<>();
    for (Job job : order) {
      out.add(job.pipelineDue() == null ? job : sorted.get(line(job, guaranteed)).poll());
    }
    return out;
  }

  private static Line line(Job job, Set<JobId> guaranteed) {
    return new Line(job.queuesIn(), guaranteed.contains(job.id()), job.failsEverywhere());
  }

  private static Time latestStart(Job job, Function<Job, Span> run) {
    return new Time(job.pipelineDue().ms() - run.apply(job).ms());
  }
}
