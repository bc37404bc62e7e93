package io.saltflow.coordination;

import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which tasks of a service are stopped when there are more than are wanted. */
final class Surplus {
  private Surplus() {}

  /**
   * Those that are too many now: first what does not run yet, then those in the zones that are left
   * first, then those that share a zone or a machine with most others, then what began last. Tasks
   * on machines that will go soon go with them, unless none is wanted.
   *
   * @param most how many are wanted
   * @param leaveFirst zones that are left first
   */
  static List<Presence> of(Collection<Presence> present, int most, Set<String> leaveFirst) {
    List<Presence> staying = new ArrayList<>();
    for (Presence p : present) {
      if (!p.stopping && (most == 0 || !p.machine.goesSoon())) {
        staying.add(p);
      }
    }
    if (staying.size() <= most) {
      return List.of();
    }
    Comparator<Presence> byAge =
        Comparator.comparing((Presence p) -> p.runningSince == null ? Time.NEVER : p.runningSince)
            .thenComparing(p -> p.index);
    staying.sort(byAge);
    Map<Presence, Integer> crowded = new HashMap<>();
    Map<String, Integer> places = new HashMap<>();
    for (Presence p : staying) {
      int onMachine = places.merge(p.machine.id.text(), 1, Integer::sum);
      int inZone = places.merge("zone " + p.machine.zone, 1, Integer::sum);
      crowded.put(p, Math.max(inZone, onMachine > 1 ? onMachine * present.size() : 0));
    }
    staying.sort(
        Comparator.comparing((Presence p) -> p.runningSince == null)
            .thenComparing(p -> leaveFirst.contains(p.machine.zone))
            .thenComparing(crowded::get)
            .thenComparing(byAge));
    return staying.subList(most, staying.size());
  }
}
