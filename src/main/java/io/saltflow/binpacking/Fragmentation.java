package io.saltflow.binpacking;

import io.saltflow.model.Resources;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Measures how many of a machine's free accelerators are unusable for the typical workload, after
 * Weng et al. ("Beware of Fragmentation", USENIX ATC 2023); a task is placed where it increases
 * this number least. The workload consists of waiting and running tasks plus a small share of
 * whole-machine tasks, so that small tasks do not occupy an empty machine while they fit on a
 * partially used one.
 */
public final class Fragmentation {
  /** Maximum number of distinct task sizes; further ones are ignored. */
  private static final int MAX_SHAPES = 12;

  /** Weight of a whole-machine task in the workload. */
  private static final double WHOLE_MACHINE_WEIGHT = 0.25;

  private final Map<Resources, Integer> shapes = new LinkedHashMap<>();
  private int totalTasks;

  /** Adds waiting or running tasks of this size to the workload. */
  public void addWorkload(Resources size, int tasks) {
    if (size.gpus() > 0 && tasks > 0 && (shapes.size() < MAX_SHAPES || shapes.containsKey(size))) {
      shapes.merge(size, tasks, Integer::sum);
      totalTasks += tasks;
    }
  }

  /** Clears the workload. */
  public void clear() {
    shapes.clear();
    totalTasks = 0;
  }

  /**
   * Returns the net increase in unusable accelerators if the task is placed on the machine. For a
   * task without accelerators on a machine that has some, returns the machine's total number of
   * accelerators.
   */
  public double increase(Resources machineSize, Resources free, Resources task) {
    if (machineSize.gpus() <= 0) {
      return 0;
    }
    if (task.gpus() <= 0) {
      return machineSize.gpus();
    }
    return unusableAccelerators(machineSize, free.minus(task))
        - unusableAccelerators(machineSize, free);
  }

  private double unusableAccelerators(Resources machineSize, Resources free) {
    double gpus = Math.max(0, free.gpus());
    double unusable = 0;
    for (Map.Entry<Resources, Integer> entry : shapes.entrySet()) {
      unusable += entry.getKey().fitsIn(free) ? 0 : gpus * entry.getValue() / totalTasks;
    }
    double partiallyUsed = gpus >= machineSize.gpus() - 1e-6 ? 0 : gpus;
    return (1 - WHOLE_MACHINE_WEIGHT) * unusable + WHOLE_MACHINE_WEIGHT * partiallyUsed;
  }
}
