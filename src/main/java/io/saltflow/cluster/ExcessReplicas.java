package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Selects the replicas to stop when a service has more than desired. */
final class ExcessReplicas {
  private ExcessReplicas() {}

  /**
   * Returns the excess replicas. Replicas that are not running yet are selected first, then those
   * in zones to be vacated, then those that share a zone or a machine with the most other replicas,
   * then the youngest. Replicas on departing machines are not counted, because they end with their
   * machine, unless the desired number is 0.
   *
   * @param vacateFirstZones zones in which replicas are stopped first
   */
  static List<TaskPlacement> select(
      Collection<TaskPlacement> placements, int desired, Set<String> vacateFirstZones) {
    List<TaskPlacement> staying = new ArrayList<>();
    for (TaskPlacement placement : placements) {
      if (!placement.isStopping() && (desired == 0 || !placement.machine.departing())) {
        staying.add(placement);
      }
    }
    if (staying.size() <= desired) {
      return List.of();
    }
    Comparator<TaskPlacement> byAge =
        Comparator.comparing(
                (TaskPlacement placement) ->
                    placement.runningSince() == null
                        ? MonotonicTime.NEVER
                        : placement.runningSince())
            .thenComparing(placement -> placement.index);
    staying.sort(byAge);
    Map<TaskPlacement, Integer> crowding = new HashMap<>();
    Map<String, Integer> replicasByLocation = new HashMap<>();
    for (TaskPlacement placement : staying) {
      int onMachine = replicasByLocation.merge(placement.machine.id.text(), 1, Integer::sum);
      int inZone = replicasByLocation.merge("zone " + placement.machine.zone, 1, Integer::sum);
      crowding.put(placement, Math.max(inZone, onMachine > 1 ? onMachine * placements.size() : 0));
    }
    staying.sort(
        Comparator.comparing((TaskPlacement placement) -> placement.runningSince() == null)
            .thenComparing(placement -> vacateFirstZones.contains(placement.machine.zone))
            .thenComparing(crowding::get)
            .thenComparing(byAge));
    return staying.subList(desired, staying.size());
  }
}
