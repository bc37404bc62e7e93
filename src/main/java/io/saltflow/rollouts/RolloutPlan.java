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
 * A plan that replaces one version of a service by another.
 *
 * @param steps the number of replicas of the new version after each step
 * @param surge how many replicas may exist beyond the service's number of replicas
 * @param maxUnavailable how many replicas the rollout itself may make unavailable
 * @param pace limits on starting replicas of the growing version
 * @param zoneByZone whether all replicas of a zone are replaced and ready before the next zone
 *     begins
 * @param settle how long a replica must stay ready before it counts as available and an old one is
 *     removed
 * @param stepTimeout how long a step may take to pass its gate
 * @param rollbackTimeout how long a rollback may take
 * @param gate the condition that a step must meet
 * @param windows the times at which a step may begin
 * @param stop the condition that starts a rollback at once; {@code null} if there is none
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

  /** Stands in for a probe's path: the probe only opens a TCP connection. */
  public static final String CONNECT = "tcp";

  /**
   * Limits on starting replicas.
   *
   * @param maxStarting the most replicas that may be starting at a time
   * @param startsPerMinute the most replicas started per minute, or 0 for no limit. It does not
   *     apply to rollbacks.
   */
  public record Pace(int maxStarting, int startsPerMinute) {
    /** Returns a limit on concurrent starts without a limit on their rate. */
    public static Pace withoutRateLimit(int count) {
      return new Pace(count, 0);
    }
  }

  /**
   * A step of the plan.
   *
   * @param count the number of replicas of the new version, or their percentage
   * @param percent whether {@code count} is a percentage
   * @param approval whether an operator must approve the step before the next one begins
   */
  public record Step(int count, boolean percent, boolean approval) {
    /**
     * Returns the step's number of new replicas. Percentages are rounded up, so that no step rounds
     * to zero.
     */
    int targetOf(int replicas) {
      int n = percent ? (replicas * count + 99) / 100 : count;
      return Math.min(replicas, n);
    }
  }

  /** Returns the reasons why the plan can never succeed, one text each. */
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
    if (pace.maxStarting < 1) {
      out.add("startsAtOnce is 0: nothing would ever start");
    }
    return out;
  }

  /** Returns the paths that the plan's conditions probe, or {@link #CONNECT}. */
  public Set<String> probePaths() {
    Set<String> out = new TreeSet<>();
    for (Gate condition : stop == null ? List.of(gate) : List.of(gate, stop)) {
      for (Quantity quantity : condition.quantities()) {
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
