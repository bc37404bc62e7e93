package io.saltflow.lanes;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What the order rests on beside the jobs' own records. A leader learns it, records it, and puts
 * jobs in order by what is recorded only: its successor begins with the same. In steps of a fifth,
 * so that it is seldom written.
 *
 * @param fleetCores what a long job is measured by
 * @param corrections of classes' estimates, by what tasks were seen to take
 * @param soonest classes that are short of the fleet, whose jobs that can end soonest come first
 */
public record Basis(double fleetCores, Map<String, Double> corrections, Set<String> soonest) {
  private static final double STEP = Math.log(1.2);
  private static final int MOST_CLASSES = 64;
  private static final double NEAR = 0.75;

  /** Nothing is known yet. */
  public static final Basis NONE = new Basis(1, Map.of(), Set.of());

  /** By what the class's estimates are multiplied. */
  public double correction(String jobClass) {
    return corrections.getOrDefault(jobClass, 1.0);
  }

  /** The same in steps: what stays within three quarters of a step of the recorded stays it. */
  public Basis toward(double cores, Map<String, Double> now, Set<String> shortOnes) {
    // Of a class that was not seen lately what is recorded stays.
    Map<String, Double> next = new TreeMap<>(corrections);
    now.forEach(
        (c, v) -> {
          if (next.size() < MOST_CLASSES || next.containsKey(c)) {
            next.put(c, step(correction(c), v));
          }
        });
    return new Basis(step(fleetCores, Math.max(1, cores)), next, new TreeSet<>(shortOnes));
  }

  private static double step(double recorded, double value) {
    double apart = Math.log(value / recorded) / STEP;
    if (Math.abs(apart) < NEAR) {
      return recorded;
    }
    return Math.round(1000 * Math.exp(Math.round(Math.log(value) / STEP) * STEP)) / 1000.0;
  }
}
