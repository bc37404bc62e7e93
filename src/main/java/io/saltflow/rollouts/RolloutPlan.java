package io.saltflow.rollouts;

import io.saltflow.healthgates.Gate;
import io.saltflow.healthgates.Measure;
import io.saltflow.healthgates.Quantity;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * How a service goes from one version to another.
 *
 * @param steps how many replicas are of the new version after each step
 * @param surge how many replicas there may be beyond the service's own number
 * @param maxUnavailable how many may be missing by the rollout's own doing
 * @param pace how fast the version that grows may do so
 * @param zoneByZone whether a zone's replicas are all replaced, and ready, before the next zone's
 * @param settle a replica counts as ready once it has been so for this long: old ones are let go
 *     for it, and it must not die right afterwards
 * @param stepTimeout how long a step may take until its gate passes
 * @param rollbackTimeout how long a rollback may take
 * @param gate what must hold for a step to be good
 * @param windows when a step may begin
 * @param stop what ends the rollout at once; null: nothing but the limit does
 */
public record RolloutPlan(
    List<Step> steps,
    int surge,
    int maxUnavailable,
    Pace pace,
    boolean zoneByZone,
    TimeSpan settle,
    TimeSpan stepTimeout,
    TimeSpan rollbackTimeout,
    Gate gate,
    Gate stop,
    MaintenanceWindows windows) {

  /** In the place of a probe's path: connecting is all that is asked. */
  public static final String CONNECT = "tcp";

  /**
   * How fast a version may grow.
   *
   * @param atOnce replicas that are not ready yet at a time
   * @param startsPerMinute replicas that are started anew in a minute on the way forth; 0: as many
   *     as may be. A rollback is not slowed down by it.
   */
  public record Pace(int atOnce, int startsPerMinute) {
    /** So many at a time, at any rate. */
    public static Pace atOnce(int count) {
      return new Pace(count, 0);
    }
  }

  /**
   * A step.
   *
   * @param count replicas of the new version, or a percentage of all
   * @param percent whether it is a percentage
   * @param approval whether somebody must approve of it before the next begins
   */
  public record Step(int count, boolean percent, boolean approval) {
    /** How many of so many replicas; a percentage is rounded up, so that each step moves one. */
    int targetOf(int replicas) {
      int n = percent ? (replicas * count + 99) / 100 : count;
      return Math.min(replicas, n);
    }
  }

  /** Why the plan can never work, a sentence for each reason. */
  public List<String> faults(int replicas) {
    List<String> out = new ArrayList<>();
    if (surge + maxUnavailable < 1) {
      out.add("surge and mostUnavailable are both 0: no replica could ever be replaced");
    }
    if (maxUnavailable >= replicas && replicas > 1) {
      out.add("mostUnavailable is all of the replicas: the service may stop serving");
    }
    int before = 0;
    for (int i = 0; i < steps.size(); i++) {
      int target = steps.get(i).targetOf(replicas);
      if (target <= before) {
        out.add("step " + (i + 1) + " moves nothing: " + target + " of " + replicas + " after it");
      }
      before = target;
    }
    if (before < replicas) {
      out.add("the last step leaves " + (replicas - before) + " replicas of the old version");
    }
    String never = gate.unsatisfiableReason(stepTimeout);
    if (never != null) {
      out.add("the gate can never pass: " + never);
    }
    if (pace.atOnce < 1) {
      out.add("startsAtOnce is 0: nothing would ever start");
    }
    return out;
  }

  /** What the gates ask probes for: paths, or {@link #CONNECT}. */
  public Set<String> probePaths() {
    Set<String> out = new TreeSet<>();
    for (Gate otherGate : stop == null ? List.of(gate) : List.of(gate, stop)) {
      for (Quantity quantity : otherGate.quantities()) {
        if (quantity.measure() == Measure.PROBE) {
          out.add(quantity.text());
        }
      }
    }
    return out;
  }

  int targetReplicas(int step, int replicas) {
    return steps.get(step).targetOf(replicas);
  }
}
