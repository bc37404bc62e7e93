package io.saltflow.deadlines;

/**
 * The numbers of cores available to the jobs of a daily deadline.
 *
 * @param currentCores the cores that its jobs get in the current order
 * @param boostedCores the cores that they could get if boosted: all cores of the cluster, within
 *     their teams' limits
 */
public record CoreSupply(double currentCores, double boostedCores) {}
