package io.saltflow.leader;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.TaskPlacement;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that each launch satisfies the placement constraints of its job: a single zone, the spread
 * limit per zone, and the allowed zones and machine types. All placements of the job that the
 * leader has not ruled out count. Only launches of the current step are checked. Placements found
 * in heartbeats are exempt, because an earlier leader may have deleted a machine that this leader
 * still counts, and launched the task elsewhere.
 */
final class PlacementChecks {
  private PlacementChecks() {}

  static void check(ClusterSimulation simulation) {
    if (simulation.leader == null || simulation.leader.core == null) {
      return;
    }
    for (Job job : simulation.leader.core.jobs().scheduled()) {
      for (TaskPlacement placement : job.placements.values()) {
        if (!placement.isFoundInHeartbeat() && placement.launchedAt.equals(simulation.time())) {
          check(simulation, job, placement);
        }
      }
    }
  }

  private static void check(ClusterSimulation simulation, Job job, TaskPlacement launched) {
    Map<String, Integer> byZone = new HashMap<>();
    for (TaskPlacement placement : job.placements.values()) {
      if (!placement.isFoundInHeartbeat() || placement.launchedAt.before(simulation.time())) {
        byZone.merge(placement.machine.zone, 1, Integer::sum);
      }
    }
    Machine machine = launched.machine;
    boolean split = job.spec.oneZone() && byZone.size() > 1;
    boolean crowded = job.spec.spread() && byZone.get(machine.zone) > job.spec.spreadLimit();
    if (split || crowded || !job.spec.allows(machine.typeName, machine.zone, machine.spot)) {
      simulation.violations.add(
          "wrong_place: " + launched.taskId() + " might be in " + byZone + " at " + simulation.now);
    }
  }
}
