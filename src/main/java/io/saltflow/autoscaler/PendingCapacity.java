package io.saltflow.autoscaler;

import io.saltflow.model.Resources;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Free resources of machines that are being created, counted by the amount free on each. */
final class PendingCapacity {
  private Map<Resources, Integer> machinesByFreeResources = new LinkedHashMap<>();

  /** Adds machines with the same free resources. */
  void add(Resources free, int count) {
    if (count > 0 && free.cores() > 0) {
      machinesByFreeResources.merge(free, count, Integer::sum);
    }
  }

  /** Reserves resources for as many tasks of one size as fit, and returns how many do not fit. */
  int take(Resources taskSize, int tasks) {
    int unplaced = tasks;
    List<Map.Entry<Resources, Integer>> before =
        new ArrayList<>(machinesByFreeResources.entrySet());
    machinesByFreeResources = new LinkedHashMap<>();
    for (Map.Entry<Resources, Integer> entry : before) {
      Resources free = entry.getKey();
      int count = entry.getValue();
      int tasksPerMachine = taskSize.countFittingIn(free);
      if (unplaced == 0 || tasksPerMachine == 0) {
        add(free, count);
        continue;
      }
      int filled = Math.min(count, unplaced / tasksPerMachine);
      add(free.minus(taskSize.times(tasksPerMachine)), filled);
      unplaced -= filled * tasksPerMachine;
      if (unplaced > 0 && filled < count) {
        add(free.minus(taskSize.times(unplaced)), 1);
        filled++;
        unplaced = 0;
      }
      add(free, count - filled);
    }
    return unplaced;
  }
}
