package io.saltflow.scheduler;

import io.saltflow.binpacking.Fragmentation;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.MachineReservation;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.Collection;

/**
 * Decides whether a task may be placed on a machine, scores the machine for it, and records the
 * assignment on the machine, the job and the team's quota.
 */
final class TaskAssigner {
  /**
   * Outweighs all other parts of a score, so that a task goes where capacity is held for its
   * migration.
   */
  private static final double MIGRATION_HOLD_BONUS = 1e6;

  /** Cost of fragmentation that makes one more accelerator unusable, in seconds of image fetch. */
  private static final double FRAGMENTATION_COST_S = 30;

  private final Policy policy;
  private final RunTimeEstimates estimates;
  private final QuotaUsage quotaUsage;
  private final RoundState state;
  private final Fragmentation fragmentation = new Fragmentation();

  private long placementChecks;

  TaskAssigner(Policy policy, RunTimeEstimates estimates, QuotaUsage quotaUsage, RoundState state) {
    this.policy = policy;
    this.estimates = estimates;
    this.quotaUsage = quotaUsage;
    this.state = state;
  }

  /** Returns how often a machine was checked for a task, as a measure of the work of the rounds. */
  long placementChecks() {
    return placementChecks;
  }

  /** Updates the running and waiting task sizes that fragmentation is measured by. */
  void updateWorkload(Collection<Job> jobs) {
    fragmentation.clear();
    for (Job job : jobs) {
      fragmentation.addWorkload(job.spec.size(), job.placements.size() + job.pendingCount());
    }
  }

  /**
   * Returns the machine's score for one task of the job, in seconds. Lower is better. The tasks of
   * a service are spread. Other tasks prefer a short image fetch and the least fragmentation.
   *
   * @param spread the distribution of the service's tasks, or {@code null} if the job is not a
   *     service
   */
  double score(Job job, Machine machine, SpreadScorer spread) {
    boolean expensive =
        machine.pricePerCore() > state.cheapestPricePerCore() * policy.expensivePriceFactor();
    double migrationHoldBonus =
        machine.migrationHolds.containsKey(job.id()) ? -MIGRATION_HOLD_BONUS : 0;
    double fragmentationIncrease =
        machine.type().size().gpus() <= 0
            ? 0
            : fragmentation.increase(machine.type().size(), machine.available(), job.spec.size());
    return PlacementRules.score(job, machine, machine.available(), estimates, expensive)
        + migrationHoldBonus
        + fragmentationIncrease * FRAGMENTATION_COST_S
        + (spread == null ? 0 : spread.score(machine));
  }

  /**
   * Returns whether the task may be placed on the machine now.
   *
   * @param backfilling whether the job is behind the head of the queue
   */
  boolean mayPlace(
      CandidateOrder.Candidate candidate,
      int taskIndex,
      Machine machine,
      boolean backfilling,
      MonotonicTime now) {
    Job job = candidate.job;
    placementChecks++;
    return job.spec.size().fitsIn(machine.availableFor(job))
        && PlacementRules.allowed(job, machine)
        && (!boundByReservation(candidate, machine, backfilling)
            || mayBackfill(job, machine, estimates.predict(job, taskIndex), now))
        && (!job.failedMachines.avoids(machine, now)
            || job.failsEverywhere()
            || state.usableMachines().size() <= 1)
        && (!machine.isCordoned() || mayUseCordoned(job));
  }

  private boolean mayUseCordoned(Job job) {
    return job.needsExpensiveMachine()
        || job.spec.size().gpus() > 0
        || state.guaranteedJobs().contains(job.id())
        || job.queueState().priority().compareTo(policy.preemptingPriority()) >= 0;
  }

  /**
   * Returns whether the machine's reservation restricts the candidate. A reservation for the head
   * restricts the candidates behind it in the queue, and one for a minimum share restricts all
   * candidates that do not use such reservations.
   */
  private static boolean boundByReservation(
      CandidateOrder.Candidate candidate, Machine machine, boolean backfilling) {
    return (machine.reservation() != null && machine.reservation().forMinimumShare)
        ? !candidate.usesShareReservations()
        : backfilling;
  }

  private boolean mayBackfill(Job job, Machine machine, TimeSpan run, MonotonicTime now) {
    MachineReservation reservation = machine.reservation();
    return reservation == null
        || endsBeforeReservation(job, machine, run, now, reservation)
        || job.spec.size().fitsIn(reservation.leftover());
  }

  private boolean endsBeforeReservation(
      Job job, Machine machine, TimeSpan run, MonotonicTime now, MachineReservation reservation) {
    return !job.spec.daemon()
        && !now.plus(estimates.fetchTime(job, machine)).plus(run).after(reservation.availableAt);
  }

  /**
   * Assigns the task to the machine. The worker is notified with the reply to its next heartbeat.
   */
  void assign(
      CandidateOrder.Candidate candidate, int taskIndex, Machine machine, MonotonicTime now) {
    Job job = candidate.job;
    Job head = state.head();
    boolean backfilling = !candidate.usesShareReservations() && head != null && head != job;
    candidate.onTaskAssigned();
    machine.setAvailable(machine.available().minus(job.spec.size()));
    machine.migrationHolds.remove(job.id());
    quotaUsage.addAssigned(job);
    job.markAssigned(taskIndex);
    machine.assignments.add(new Machine.Assignment(job, taskIndex, backfilling));
    if (job.spec.oneZone() || job.spec.spread()) {
      job.assignedZones.add(machine.zone);
    }
    MachineReservation reservation = machine.reservation();
    if (reservation != null
        && !(reservation.forMinimumShare && candidate.usesShareReservations())
        && !endsBeforeReservation(
            job, machine, estimates.predict(job, taskIndex), now, reservation)) {
      reservation.setLeftover(reservation.leftover().minus(job.spec.size()));
    }
  }

  /** Withdraws the assignments that have not been sent to the machine's worker yet. */
  void withdraw(Machine machine) {
    for (Machine.Assignment assigned : machine.assignments) {
      assigned.job().markUnassigned(assigned.taskIndex());
      machine.setAvailable(machine.available().plus(assigned.job().spec.size()));
      quotaUsage.removeAssigned(assigned.job());
      assigned.job().assignedZones.remove(machine.zone);
    }
    machine.assignments.clear();
  }
}
