package io.saltflow.coordination;

import io.saltflow.protocol.MachineId;
import java.util.HashMap;
import java.util.Map;

/** Where a service's tasks are, so that the next goes where there are fewest. */
final class Crowd {
  /** So many seconds of image fetch are worth not sharing a machine, or a zone, with one more. */
  private static final double SHARED_MACHINE_S = 40;

  private static final double SHARED_ZONE_S = 20;

  private final Map<String, Integer> byZone = new HashMap<>();
  private final Map<MachineId, Integer> byMachine = new HashMap<>();

  Crowd(Job job) {
    for (Presence p : job.present.values()) {
      // What leaves soon is being replaced: its replacement goes where it was.
      if (!p.stopping && !p.machine.goesSoon()) {
        add(p.machine);
      }
    }
  }

  void add(Machine m) {
    byZone.merge(m.zone, 1, Integer::sum);
    byMachine.merge(m.id, 1, Integer::sum);
  }

  /** More is worse; it never falls while tasks are given out. */
  double score(Machine m) {
    return SHARED_MACHINE_S * byMachine.getOrDefault(m.id, 0)
        + SHARED_ZONE_S * byZone.getOrDefault(m.zone, 0);
  }
}
