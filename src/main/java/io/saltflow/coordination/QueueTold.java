package io.saltflow.coordination;

import io.saltflow.lanes.Lane;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The waiting jobs as people read them. */
final class QueueTold {
  private static final int NAMED = 10;

  private QueueTold() {}

  static List<Leader.Line> of(
      List<Scheduler.Waiting> waiting,
      boolean accounted,
      Set<JobId> guaranteed,
      TeamUse use,
      Map<JobId, String> moves,
      Time now) {
    Map<Integer, List<Scheduler.Waiting>> byRank = new TreeMap<>();
    Map<Integer, Lane> lanes = new LinkedHashMap<>();
    for (Scheduler.Waiting w : waiting) {
      Lane lane = w.job().queuesIn();
      lanes.putIfAbsent(lane.rank(), lane);
      byRank.computeIfAbsent(lane.rank(), r -> new ArrayList<>()).add(w);
    }
    List<Leader.Line> out = new ArrayList<>();
    byRank.forEach(
        (rank, jobs) -> {
          int tasks = 0;
          List<String> first = new ArrayList<>();
          for (Scheduler.Waiting w : jobs) {
            tasks += w.job().pendingCount();
            if (first.size() < NAMED) {
              first.add(line(w, guaranteed, now));
            }
          }
          String why = why(jobs.get(0), accounted, use, moves, now);
          out.add(new Leader.Line(lanes.get(rank).toString(), jobs.size(), tasks, why, first));
        });
    return out;
  }

  private static String line(Scheduler.Waiting w, Set<JobId> guaranteed, Time now) {
    Job job = w.job();
    double since = Math.max(0, now.since(job.arrivedAt).toSeconds());
    return String.format(
        Locale.ROOT,
        "%s, %d of %d tasks wait, for %.0f s%s%s%s",
        job.id(),
        job.pendingCount(),
        job.spec.tasks(),
        since,
        guaranteed.contains(job.id()) ? ", within its team's guarantee" : "",
        job.pressed ? ", its time is running out" : "",
        job.moved == null ? "" : ", moved by an operator");
  }

  private static String why(
      Scheduler.Waiting w, boolean accounted, TeamUse use, Map<JobId, String> moves, Time now) {
    Job job = w.job();
    if (job.failsEverywhere()) {
      return "it fails wherever it is started";
    }
    if (w.held()) {
      return "that it may be started is being recorded";
    }
    if (!accounted && job.maybeStartedBefore) {
      return "a takeover is not accounted for yet";
    }
    if (!use.mayGive(job)) {
      return "its team's limit is in use";
    }
    if (moves.containsKey(job.id())) {
      return moves.get(job.id());
    }
    return job.nextPending(0, now) < 0 ? "its tasks wait out a failure" : "no machine has room";
  }
}
