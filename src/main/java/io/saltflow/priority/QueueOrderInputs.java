package io.saltflow.priority;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Inputs of the queue order apart from the jobs' own records. A leader observes and records them,
 * and orders jobs by the recorded values only, so that the order survives a failover. Values change
 * in steps of 20 percent to limit writes.
 *
 * @param fleetCores the number of cores of the usable machines, by which a job's length is measured
 * @param estimateCorrections the observed ratio of run time to estimate, by class
 * @param shortestFirstClasses the underserved classes, whose jobs are ordered by remaining work
 */
public record QueueOrderInputs(
    double fleetCores, Map<String, Double> estimateCorrections, Set<String> shortestFirstClasses) {
  private static final double LOG_STEP = Math.log(1.2);
  private static final int MAX_CLASSES = 64;
  private static final double HYSTERESIS_STEPS = 0.75;

  /** Inputs before the first observation. */
  public static final QueueOrderInputs NONE = new QueueOrderInputs(1, Map.of(), Set.of());

  /** Returns the factor by which the class's estimates are multiplied, or 1 if it is unknown. */
  public double estimateCorrection(String jobClass) {
    return estimateCorrections.getOrDefault(jobClass, 1.0);
  }

  /**
   * Returns the inputs after an observation, quantized in steps. A value within three quarters of a
   * step of the recorded one is left unchanged.
   */
  public QueueOrderInputs updatedWith(
      double cores, Map<String, Double> observedCorrections, Set<String> underservedClasses) {
    // A class without a recent observation keeps its recorded correction.
    Map<String, Double> next = new TreeMap<>(estimateCorrections);
    observedCorrections.forEach(
        (jobClass, correction) -> {
          if (next.size() < MAX_CLASSES || next.containsKey(jobClass)) {
            next.put(jobClass, quantize(estimateCorrection(jobClass), correction));
          }
        });
    return new QueueOrderInputs(
        quantize(fleetCores, Math.max(1, cores)), next, new TreeSet<>(underservedClasses));
  }

  private static double quantize(double recorded, double value) {
    double stepsApart = Math.log(value / recorded) / LOG_STEP;
    if (Math.abs(stepsApart) < HYSTERESIS_STEPS) {
      return recorded;
    }
    return Math.round(1000 * Math.exp(Math.round(Math.log(value) / LOG_STEP) * LOG_STEP)) / 1000.0;
  }
}
