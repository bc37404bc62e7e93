package io.saltflow.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Where a job's tasks are, or might be by what a leader has not seen disproved: all in one zone, at
 * most so many in one, or in the only zone that it allows. Looked at in each step.
 */
final class PlaceChecks {
  private PlaceChecks() {}

  static void check(World w) {
    if (w.lead == null || w.lead.core == null) {
      return;
    }
    for (Job job : w.lead.core.jobs()) {
      if (job.present.size() > 0 && (job.spec.oneZone() || job.spec.spread())) {
        check(w, job);
      }
    }
  }

  private static void check(World w, Job job) {
    Map<String, Integer> byZone = new HashMap<>();
    for (Presence p : job.present.values()) {
      byZone.merge(p.machine.zone, 1, Integer::sum);
    }
    boolean split = job.spec.oneZone() && byZone.size() > 1;
    boolean crowded =
        job.spec.spread() && byZone.values().stream().anyMatch(n -> n > job.spec.spreadLimit());
    if (split || crowded) {
      w.broken.add("wrong_place: " + job.id() + " might be " + byZone + " at " + w.now);
    }
  }
}
