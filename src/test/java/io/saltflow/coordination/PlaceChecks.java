package io.saltflow.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether a leader launches where the job's other tasks, wherever they might be by what it has not
 * seen disproved, allow it: all in one zone, at most so many in one, or in the only zone, and on
 * the only kind of machine, that the job allows. Looked at in each step for the launches of that
 * step. What is found on machines is not: a former leader may have deleted a machine that this one
 * still counts, and launched elsewhere since.
 */
final class PlaceChecks {
  private PlaceChecks() {}

  static void check(World w) {
    if (w.lead == null || w.lead.core == null) {
      return;
    }
    for (Job job : w.lead.core.jobs()) {
      for (Presence p : job.present.values()) {
        if (!p.found && p.launchedAt.equals(w.time())) {
          check(w, job, p);
        }
      }
    }
  }

  private static void check(World w, Job job, Presence launched) {
    Map<String, Integer> byZone = new HashMap<>();
    for (Presence p : job.present.values()) {
      if (!p.found || p.launchedAt.before(w.time())) {
        byZone.merge(p.machine.zone, 1, Integer::sum);
      }
    }
    Machine m = launched.machine;
    boolean split = job.spec.oneZone() && byZone.size() > 1;
    boolean crowded = job.spec.spread() && byZone.get(m.zone) > job.spec.spreadLimit();
    if (split || crowded || !job.spec.allows(m.typeName, m.zone, m.spot)) {
      w.broken.add("wrong_place: " + launched.task() + " might be in " + byZone + " at " + w.now);
    }
  }
}
