package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.MachineId;
import java.util.HashMap;
import java.util.Map;

/**
 * Scores machines by the number of a service's tasks on the machine and in its zone, so that the
 * tasks are spread.
 */
final class SpreadScorer {
  /** Penalty for each task of the service on the same machine, in seconds of image fetch. */
  private static final double SAME_MACHINE_PENALTY_S = 40;

  /** Penalty for each task of the service in the same zone, in seconds of image fetch. */
  private static final double SAME_ZONE_PENALTY_S = 20;

  private final Map<String, Integer> byZone = new HashMap<>();
  private final Map<MachineId, Integer> byMachine = new HashMap<>();

  SpreadScorer(Job job) {
    for (TaskPlacement placement : job.placements.values()) {
      // Tasks that leave soon are not counted, so that their replacement may take their place.
      if (!placement.isStopping() && !placement.machine.departing()) {
        add(placement.machine);
      }
    }
  }

  void add(Machine machine) {
    byZone.merge(machine.zone, 1, Integer::sum);
    byMachine.merge(machine.id, 1, Integer::sum);
  }

  /** Returns the penalty in seconds. It never decreases while tasks are assigned. */
  double score(Machine machine) {
    return SAME_MACHINE_PENALTY_S * byMachine.getOrDefault(machine.id, 0)
        + SAME_ZONE_PENALTY_S * byZone.getOrDefault(machine.zone, 0);
  }
}
