package io.saltflow.autoscaler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.MonotonicTime;
import io.saltflow.scheduler.PlacementRules;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Cordons expensive machines while the others can process the backlog in time. */
public final class CordonPlanner {
  /**
   * Fraction of the on-demand horizon below which expensive machines are cordoned. The gap to the
   * bound at which they are created prevents oscillation.
   */
  private static final double SUFFICIENT_HORIZON_SHARE = 0.7;

  private final Policy policy;
  private final RunTimeEstimates estimates;

  /** Creates a planner that uses the operators' settings and predicted run times. */
  public CordonPlanner(Policy policy, RunTimeEstimates estimates) {
    this.policy = policy;
    this.estimates = estimates;
  }

  /** Updates which machines are cordoned and which jobs may use cordoned machines. */
  public void update(
      Collection<Machine> machines, Collection<Job> jobs, Backlog backlog, MonotonicTime now) {
    List<Machine> usableMachines = new ArrayList<>();
    for (Machine machine : machines) {
      if (machine.schedulable()) {
        usableMachines.add(machine);
      }
    }
    double inexpensivePrice =
        PlacementRules.cheapestPricePerCore(usableMachines) * policy.expensivePriceFactor();
    double inexpensiveCores = 0;
    for (Machine machine : usableMachines) {
      if (machine.pricePerCore() <= inexpensivePrice) {
        inexpensiveCores += machine.type().size().cores();
      }
    }
    double waitSeconds = backlog.coreSeconds() / Math.max(1, inexpensiveCores);
    boolean anyNeedsGpus = false;
    boolean anyMissesDeadline = false;
    for (Job job : jobs) {
      boolean pending = job.pendingCount() > 0;
      anyNeedsGpus |= pending && job.spec.size().gpus() > 0;
      anyMissesDeadline |=
          pending
              && !job.failsEverywhere()
              && DeadlineRisk.missesDeadline(job, waitSeconds, estimates, now);
    }
    markJobsForExpensiveMachines(jobs, usableMachines, inexpensivePrice);
    double horizonSeconds = policy.onDemandHorizon().toSeconds();
    boolean sufficient =
        !anyMissesDeadline && waitSeconds < horizonSeconds * SUFFICIENT_HORIZON_SHARE;
    boolean insufficient = anyMissesDeadline || waitSeconds > horizonSeconds;
    for (Machine machine : usableMachines) {
      // Prices per core do not reflect accelerators, so these machines stay while jobs wait for
      // them.
      boolean needed = machine.type().size().gpus() > 0 && anyNeedsGpus;
      if (machine.pricePerCore() <= inexpensivePrice || needed || insufficient) {
        machine.setCordoned(false);
      } else if (sufficient) {
        machine.setCordoned(true);
      }
    }
  }

  /**
   * Lets a job use cordoned machines if no inexpensive machine can ever run it because of its zone,
   * machine types or exclusion of spot instances. Otherwise it would wait next to free resources
   * for as long as the other jobs do not need the machine.
   */
  private static void markJobsForExpensiveMachines(
      Collection<Job> jobs, List<Machine> usableMachines, double inexpensivePrice) {
    Map<String, Machine> inexpensiveKinds = new LinkedHashMap<>();
    for (Machine machine : usableMachines) {
      if (machine.pricePerCore() <= inexpensivePrice) {
        inexpensiveKinds.putIfAbsent(machine.kind(), machine);
      }
    }
    for (Job job : jobs) {
      job.setNeedsExpensiveMachine(
          job.pendingCount() > 0 && !anyAccepts(inexpensiveKinds.values(), job));
    }
  }

  private static boolean anyAccepts(Collection<Machine> kinds, Job job) {
    for (Machine machine : kinds) {
      if (job.spec.size().fitsIn(machine.type().size()) && PlacementRules.allowed(job, machine)) {
        return true;
      }
    }
    return false;
  }
}
