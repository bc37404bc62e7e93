package io.saltflow.packing;

import io.saltflow.protocol.Size;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How much of a machine's free accelerators is of no use to what is usual: the measure of Weng et
 * al. ("Beware of Fragmentation", USENIX ATC 2023), by which a task goes where it makes least more
 * of it. What is usual is what waits and runs, and a little of a whole machine's worth, so that
 * small tasks don't open one while a piece fits.
 */
public final class Fragments {
  /** Shapes that are told apart; the rarest beyond that are forgotten. */
  private static final int MOST_SHAPES = 12;

  /** The weight of the largest task that a machine can hold. */
  private static final double WHOLE = 0.25;

  private final Map<Size, Integer> shapes = new LinkedHashMap<>();
  private int all;

  /** So many tasks of that size wait or run. */
  public void usual(Size size, int tasks) {
    if (size.gpus() > 0 && tasks > 0 && (shapes.size() < MOST_SHAPES || shapes.containsKey(size))) {
      shapes.merge(size, tasks, Integer::sum);
      all += tasks;
    }
  }

  /** Everything is counted anew. */
  public void clear() {
    shapes.clear();
    all = 0;
  }

  /**
   * Accelerators that become useless, less those that become useful, where the task goes; more than
   * any such number where a task without accelerators would take room beside them.
   */
  public double more(Size whole, Size free, Size task) {
    if (whole.gpus() <= 0) {
      return 0;
    }
    if (task.gpus() <= 0) {
      return whole.gpus();
    }
    return of(whole, free.minus(task)) - of(whole, free);
  }

  private double of(Size whole, Size free) {
    double gpus = Math.max(0, free.gpus());
    double useless = 0;
    for (Map.Entry<Size, Integer> e : shapes.entrySet()) {
      useless += e.getKey().fitsIn(free) ? 0 : gpus * e.getValue() / all;
    }
    double rest = gpus >= whole.gpus() - 1e-6 ? 0 : gpus;
    return (1 - WHOLE) * useless + WHOLE * rest;
  }
}
