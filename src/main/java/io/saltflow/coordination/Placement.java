package io.saltflow.coordination;

import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Size;
import java.util.Collection;

/** Where a task may go, and where it best goes, machine by machine. */
final class Placement {
  private Placement() {}

  /** Whether the job's other tasks, wherever they might be, allow one more on this machine. */
  static boolean allowed(Job job, Machine m) {
    JobSpec spec = job.spec;
    if (!spec.allows(m.typeName, m.zone, m.spot) || !job.startsIn(m.zone)) {
      return false;
    }
    if (!spec.oneZone() && !spec.spread()) {
      return true;
    }
    int here = 0;
    int elsewhere = 0;
    for (Presence p : job.present.values()) {
      if (p.machine.zone.equals(m.zone)) {
        here++;
      } else {
        elsewhere++;
      }
    }
    for (String zone : job.assignedZones) {
      if (zone.equals(m.zone)) {
        here++;
      } else {
        elsewhere++;
      }
    }
    if (spec.oneZone() && elsewhere > 0) {
      return false;
    }
    return !spec.spread() || here + 1 <= spec.spreadLimit();
  }

  /**
   * Lower is better: no fetch, then a cheap kind, then the least room left. Room is counted in
   * cores, not in parts, so that small machines fill first: one long task would keep a large one.
   */
  static double score(Job job, Machine m, Size free, Estimates estimates, boolean dear) {
    double fetchS = estimates.fetch(job, m).toSeconds();
    double left = free.cores() - job.spec.size().cores();
    return fetchS + (dear ? 8 : 0) + Math.min(10, left * 0.25) + m.errorsInARow * 10;
  }

  static double cheapestPerCore(Collection<Machine> machines) {
    double cheapest = Double.MAX_VALUE;
    for (Machine m : machines) {
      if (m.type != null && m.type.size().cores() > 0) {
        cheapest = Math.min(cheapest, m.pricePerCore());
      }
    }
    return cheapest;
  }
}
