package io.saltflow.autoscaler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import java.util.Collection;

/** Selects the kind of instance on which a job's waiting tasks cost least. */
final class InstanceSelector {
  /**
   * Number of cores at which a machine is weighted with twice its price. Large machines are
   * penalized because one long task keeps the whole machine, and all of it is reclaimed at once.
   */
  private static final double SIZE_PENALTY_CORES = 500;

  private final Policy policy;
  private final RequestBackoffs backoffs;

  InstanceSelector(Policy policy, RequestBackoffs backoffs) {
    this.policy = policy;
    this.backoffs = backoffs;
  }

  /**
   * Limits on the price of an instance.
   *
   * @param expensiveAllowed whether tasks may cost much more than on the cheapest kind because they
   *     cannot wait
   * @param maxHourlyPrice the price above which a machine is rejected if its tasks cost much more
   *     than on the cheapest kind
   */
  record PriceLimit(boolean expensiveAllowed, double maxHourlyPrice) {}

  /** Selection of an instance kind for one job. */
  private final class Search {
    private final Job job;
    private final int tasks;
    private final PriceLimit limit;
    private final MonotonicTime now;
    private InstanceKind best;
    private double bestCost = Double.MAX_VALUE;
    private double lowestTaskPrice = Double.MAX_VALUE;

    Search(Job job, int tasks, PriceLimit limit, MonotonicTime now) {
      this.job = job;
      this.tasks = tasks;
      this.limit = limit;
      this.now = now;
    }

    void consider(InstanceKind kind, int tasksPerMachine) {
      if (!isPossible(kind)) {
        return;
      }
      double hourlyPrice = kind.type().hourly(kind.spot());
      lowestTaskPrice = Math.min(lowestTaskPrice, hourlyPrice / tasksPerMachine);
      if (backoffs.isBackedOff(kind, now)) {
        return;
      }
      if (hourlyPrice > limit.maxHourlyPrice && isExpensive(hourlyPrice / tasksPerMachine)) {
        return;
      }
      double cost =
          Math.ceil((double) tasks / tasksPerMachine)
              * hourlyPrice
              * (1 + kind.type().size().cores() / SIZE_PENALTY_CORES);
      if (cost < bestCost) {
        best = kind;
        bestCost = cost;
      }
    }

    private boolean isPossible(InstanceKind kind) {
      if (!kind.accepts(job) || !job.replicas().mayStartIn(kind.zone())) {
        return false;
      }
      boolean boundToZone = job.spec.oneZone() && !job.placements.isEmpty();
      return !boundToZone
          || job.placements.firstEntry().getValue().machine.zone.equals(kind.zone());
    }

    private boolean isExpensive(double taskPrice) {
      return taskPrice > lowestTaskPrice * policy.expensivePriceFactor();
    }

    InstanceKind result() {
      if (best == null) {
        return null;
      }
      double taskPrice =
          best.type().hourly(best.spot()) / job.spec.size().countFittingIn(best.type().size());
      return !limit.expensiveAllowed && isExpensive(taskPrice) ? null : best;
    }
  }

  /** Returns the kind to request, or {@code null} if none is available at an acceptable price. */
  InstanceKind select(
      Job job, int tasks, Collection<MachineType> types, PriceLimit limit, MonotonicTime now) {
    Search search = new Search(job, tasks, limit, now);
    for (MachineType type : types) {
      int tasksPerMachine = job.spec.size().countFittingIn(type.size());
      if (tasksPerMachine == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        search.consider(new InstanceKind(type, zone, true), tasksPerMachine);
        search.consider(new InstanceKind(type, zone, false), tasksPerMachine);
      }
    }
    return search.result();
  }
}
