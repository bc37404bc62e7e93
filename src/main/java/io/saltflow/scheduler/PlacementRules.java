package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Resources;
import java.util.Collection;

/** Rules that decide where a task may be placed, and a score for the machines that are allowed. */
public final class PlacementRules {
  private static final double EXPENSIVE_PENALTY_S = 8;
  private static final double MAX_ROOM_PENALTY_S = 10;
  private static final double ROOM_PENALTY_S_PER_CORE = 0.25;
  private static final int FAILURE_PENALTY_S = 10;

  private PlacementRules() {}

  /**
   * Returns whether one more task of the job may be placed on the machine, given the job's
   * constraints and the zones of its other tasks.
   */
  public static boolean allowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    if (!spec.allows(machine.typeName, machine.zone, machine.spot)
        || !job.replicas().mayStartIn(machine.zone)) {
      return false;
    }
    if (!spec.oneZone() && !spec.spread()) {
      return true;
    }
    int inZone = 0;
    int inOtherZones = 0;
    for (TaskPlacement placement : job.placements.values()) {
      if (placement.machine.zone.equals(machine.zone)) {
        inZone++;
      } else {
        inOtherZones++;
      }
    }
    for (String zone : job.assignedZones) {
      if (zone.equals(machine.zone)) {
        inZone++;
      } else {
        inOtherZones++;
      }
    }
    if (spec.oneZone() && inOtherZones > 0) {
      return false;
    }
    return !spec.spread() || inZone + 1 <= spec.spreadLimit();
  }

  /**
   * Returns the machine's score for one task, in seconds. Lower is better: a cached image, then a
   * cheap type, then the fewest free cores left. Free cores are counted absolutely, not as a
   * fraction, so that small machines fill first: a single long task would keep a large machine from
   * being scaled in.
   */
  static double score(
      Job job, Machine machine, Resources free, RunTimeEstimates estimates, boolean expensive) {
    double fetchS = estimates.fetchTime(job, machine).toSeconds();
    double coresLeft = free.cores() - job.spec.size().cores();
    return fetchS
        + (expensive ? EXPENSIVE_PENALTY_S : 0)
        + Math.min(MAX_ROOM_PENALTY_S, coresLeft * ROOM_PENALTY_S_PER_CORE)
        + machine.trackRecord().failureWeight() * FAILURE_PENALTY_S;
  }

  /**
   * Returns the lowest price per core among the machines, or {@link Double#MAX_VALUE} if there are
   * none.
   */
  public static double cheapestPricePerCore(Collection<Machine> machines) {
    double cheapest = Double.MAX_VALUE;
    for (Machine machine : machines) {
      if (machine.type() != null && machine.type().size().cores() > 0) {
        cheapest = Math.min(cheapest, machine.pricePerCore());
      }
    }
    return cheapest;
  }
}
