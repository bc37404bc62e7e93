package io.saltflow.scheduler;

import io.saltflow.binpacking.Bin;
import io.saltflow.binpacking.MigrationPlan;
import io.saltflow.binpacking.MigrationPlanner;
import io.saltflow.binpacking.MovableReplica;
import io.saltflow.binpacking.PlacementConstraints;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Searches for replicas to move so that one task of a waiting job fits. Converts machines and
 * replicas to bins for {@link MigrationPlanner}, and determines which replicas may move and at what
 * cost.
 */
final class MigrationSearch {
  /**
   * Maximum number of steps of one search, of which a round makes one. They take some milliseconds
   * on a tenth of a core.
   */
  private static final int SEARCH_STEP_BUDGET = 1500;

  /**
   * Cost of a replica's downtime in addition to the image fetch, in seconds: stop, heartbeats and
   * start.
   */
  private static final double DOWNTIME_COST_S = 8;

  private static final double SINGLE_REPLICA_COST_S = 20;
  private static final double SAME_PRIORITY_COST_S = 15;

  /**
   * The result of a search.
   *
   * @param plan the moves, or {@code null} if there are none to make
   * @param waitReason the reason why the job still waits, for operators
   */
  record Proposal(MigrationPlan plan, String waitReason) {}

  private final Map<JobId, Job> jobs;
  private final Function<MachineId, Machine> machines;
  private final RunTimeEstimates estimates;
  private final MigrationPlans plans;

  MigrationSearch(
      Map<JobId, Job> jobs,
      Function<MachineId, Machine> machines,
      RunTimeEstimates estimates,
      MigrationPlans plans) {
    this.jobs = jobs;
    this.machines = machines;
    this.estimates = estimates;
    this.plans = plans;
  }

  /** Searches the usable machines for moves that make room for one task of the job. */
  Proposal find(Job job, List<Machine> usable, MonotonicTime now) {
    List<Bin> bins = new ArrayList<>();
    Resources totalFree = Resources.ZERO;
    for (Machine machine : usable) {
      boolean eligible = PlacementRules.allowed(job, machine) && !machine.isCordoned();
      // Tasks that the round has just assigned take resources although the worker does not know of
      // them yet.
      Resources free = machine.available().minus(machine.totalMigrationHold());
      boolean sameAcceleratorUse =
          (job.spec.size().gpus() > 0) == (machine.type().size().gpus() > 0);
      if (sameAcceleratorUse) {
        bins.add(
            new Bin(
                machine.id,
                free,
                eligible && machine.migrationHolds.isEmpty(),
                movableReplicas(job, machine, now)));
        totalFree = eligible ? totalFree.plus(free) : totalFree;
      }
    }
    if (!job.spec.size().fitsIn(totalFree)) {
      return new Proposal(null, "all free room together is too little for it");
    }
    MigrationPlan plan =
        MigrationPlanner.plan(job.spec.size(), bins, constraints(now), SEARCH_STEP_BUDGET);
    if (plan == null) {
      return new Proposal(null, "it fits by sum, and no replicas can be moved for it");
    }
    return new Proposal(
        plan,
        "it fits by sum, "
            + plan.moves().size()
            + " replicas to move, "
            + Math.round(plan.costS())
            + " s");
  }

  /** Returns the machine's replicas that may be moved for the waiting job, ordered by task id. */
  private List<MovableReplica> movableReplicas(Job waitingJob, Machine machine, MonotonicTime now) {
    List<MovableReplica> movable = new ArrayList<>();
    for (TaskPlacement placement : machine.placements.values()) {
      if (mayMove(placement, waitingJob, now)) {
        Job job = placement.job;
        double costS = DOWNTIME_COST_S + (job.spec.tasks() == 1 ? SINGLE_REPLICA_COST_S : 0);
        costS +=
            job.queueState().priority() == waitingJob.queueState().priority()
                ? SAME_PRIORITY_COST_S
                : 0;
        movable.add(new MovableReplica(placement.taskId(), job.spec.size(), costS));
      }
    }
    movable.sort(Comparator.comparing(replica -> replica.task().toString()));
    return movable;
  }

  private boolean mayMove(TaskPlacement placement, Job waitingJob, MonotonicTime now) {
    Job job = placement.job;
    boolean replica =
        job.spec.daemon()
            && placement.state() == TaskPlacement.State.RUNNING
            && !placement.isStopping();
    return replica
        && !job.queueState().priority().higherThan(waitingJob.queueState().priority())
        && job.pendingCount() <= 0
        && (!job.isService()
            || (job.replicas().disruptionBudget() != null
                && job.replicas().disruptionBudget().allows(1)))
        && !plans.movedRecently(placement.taskId(), now);
  }

  private PlacementConstraints constraints(MonotonicTime now) {
    return new PlacementConstraints() {
      @Override
      public boolean mayPlace(MovableReplica replica, MachineId to) {
        Job job = jobs.get(replica.task().job());
        Machine machine = machines.apply(to);
        TaskPlacement placement = job.placements.get(replica.task().index());
        return machine != null
            && !machine.isCordoned()
            && job.spec.allows(machine.typeName, machine.zone, machine.spot)
            && job.replicas().mayStartIn(machine.zone)
            && !job.failedMachines.avoids(machine, now)
            && (placement.machine.zone.equals(machine.zone)
                || PlacementRules.allowed(job, machine));
      }

      @Override
      public double fetchS(MovableReplica replica, MachineId to) {
        Job job = jobs.get(replica.task().job());
        return estimates.fetchTime(job, machines.apply(to)).toSeconds();
      }
    };
  }
}
