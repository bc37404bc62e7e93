package io.saltflow.scheduler;

import io.saltflow.binpacking.MigrationPlan;
import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.binpacking.RecordedPlan.PlanOutcome;
import io.saltflow.binpacking.ReplicaMove;
import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.scheduler.MigrationPlans.ActivePlan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Moves replicas so that a large task fits: holds capacity at both ends of each move and for the
 * task, and stops replicas one by one. It launches nothing: a stopped replica that is confirmed
 * gone waits like any other task, with capacity held for it. Any leader can therefore abandon a
 * plan at any time at no cost but the time spent. Confined to the leader's thread.
 */
public final class ReplicaMigrations {
  /**
   * Time for which a task has to be waiting before a migration is planned for it. Capacity that
   * becomes free within this time is waited for instead.
   */
  private static final TimeSpan MIN_WAIT = TimeSpan.seconds(4);

  private static final TimeSpan PLAN_INTERVAL = TimeSpan.seconds(2);

  /** Time after which an unfinished plan is abandoned. Allows for image fetches and a retry. */
  private static final TimeSpan PLAN_TIMEOUT = TimeSpan.seconds(300);

  /** Limit of concurrently active plans, per accelerator machine. */
  private static final double MAX_ACTIVE_PLANS_PER_MACHINE = 0.25;

  private static final int MIN_ACTIVE_PLANS_LIMIT = 2;

  /** Limit of moves per hour, per accelerator machine. */
  private static final int MAX_MOVES_PER_HOUR_PER_MACHINE = 6;

  private static final int MIN_MOVES_PER_HOUR_LIMIT = 24;

  /** Fraction of departing machines above which no migration is planned. */
  private static final double MAX_DEPARTING_FRACTION = 0.1;

  private final Map<JobId, Job> jobs;
  private final Function<MachineId, Machine> machines;
  private final EventSummary eventSummary;
  private final MigrationPlans plans;
  private final MigrationSearch search;
  private final Map<JobId, MonotonicTime> waitingSince = new HashMap<>();
  private final Map<JobId, String> waitReasons = new LinkedHashMap<>();
  private MonotonicTime lastPlanAt = MonotonicTime.LONG_AGO;

  /**
   * Creates the migrations of a term, without any plan.
   *
   * @param jobs the live jobs, by id
   * @param machines finds a machine, or returns {@code null} if it is gone
   * @param wallClockOffsetMs the wall-clock time minus the monotonic time, in milliseconds
   */
  public ReplicaMigrations(
      Map<JobId, Job> jobs,
      Function<MachineId, Machine> machines,
      RunTimeEstimates estimates,
      EventSummary eventSummary,
      Term term,
      long wallClockOffsetMs) {
    this.jobs = jobs;
    this.machines = machines;
    this.eventSummary = eventSummary;
    plans = new MigrationPlans(term, wallClockOffsetMs);
    search = new MigrationSearch(jobs, machines, estimates, plans);
  }

  /** Restores the plans that leaders of earlier terms recorded. */
  public void restore(Collection<RecordedPlan> recorded, MonotonicTime now) {
    plans.restore(recorded, now);
  }

  /**
   * Returns the plans to write, each as a complete record under its name, and clears the list. The
   * moves of a new plan begin once its write is confirmed.
   */
  public List<RecordedPlan> takeToRecord() {
    return plans.takeToRecord();
  }

  /** Returns the names of the plans whose records are to be deleted, and clears the list. */
  public List<String> takeToDelete() {
    return plans.takeToDelete();
  }

  /** Handles the result of a write. A plan whose write failed is queued again. */
  public void onRecorded(RecordedPlan plan, boolean succeeded) {
    plans.onRecorded(plan, succeeded);
  }

  /**
   * Ends plans that are over, requests the stops that are due, and holds capacity. Called before
   * each round.
   */
  public void advance(Collection<Machine> fleet, boolean reconciled, MonotonicTime now) {
    for (Machine machine : fleet) {
      machine.migrationHolds.clear();
    }
    for (ActivePlan active : plans.activePlans()) {
      PlanOutcome outcome = outcomeOf(active, reconciled, now);
      if (outcome != null) {
        plans.finish(active, outcome);
        continue;
      }
      Machine target = machines.apply(active.plan().target());
      Job waitingJob = jobs.get(active.plan().waitingJob());
      if (target != null && waitingJob != null) {
        target.holdForMigration(waitingJob.id(), waitingJob.spec.size());
      }
      for (ReplicaMove move : active.plan().moves()) {
        advanceMove(active, move, reconciled, now);
      }
    }
  }

  /** Returns the outcome of the plan, or {@code null} if it is still active. */
  private PlanOutcome outcomeOf(ActivePlan active, boolean reconciled, MonotonicTime now) {
    Job waitingJob = jobs.get(active.plan().waitingJob());
    if (waitingJob == null || waitingJob.isCancelled() || waitingJob.isFinishing()) {
      return abandoned("its job is over", now);
    }
    for (TaskPlacement placement : waitingJob.placements.values()) {
      if (placement.machine.id.equals(active.plan().target())) {
        return new PlanOutcome(true, "", plans.toWallMs(now));
      }
    }
    Machine target = machines.apply(active.plan().target());
    if (target == null || target.departing()) {
      return abandoned("the machine that it cleared is gone or about to go", now);
    }
    if (reconciled && waitingJob.pendingCount() == 0) {
      return abandoned("its job found room elsewhere", now);
    }
    if (now.since(active.since()).longerThan(PLAN_TIMEOUT)) {
      return abandoned("it took too long", now);
    }
    for (ReplicaMove move : active.plan().moves()) {
      Machine destination = machines.apply(move.to());
      if (currentMachine(move) == target && (destination == null || destination.departing())) {
        return abandoned("a machine that a replica was to go to is gone or about to go", now);
      }
      if (currentMachine(move) == target && !sizeOf(move).fitsIn(destination.free())) {
        return abandoned("there is no room any more where a replica was to go", now);
      }
    }
    return null;
  }

  private PlanOutcome abandoned(String reason, MonotonicTime now) {
    return new PlanOutcome(false, reason, plans.toWallMs(now));
  }

  private Resources sizeOf(ReplicaMove move) {
    return jobs.get(move.task().job()).spec.size();
  }

  private Machine currentMachine(ReplicaMove move) {
    Job job = jobs.get(move.task().job());
    TaskPlacement placement = job == null ? null : job.placements.get(move.task().index());
    return placement == null ? null : placement.machine;
  }

  /**
   * Stops the replica once the move may begin. Capacity at its destination is held from the start
   * of the plan.
   */
  private void advanceMove(
      ActivePlan active, ReplicaMove move, boolean reconciled, MonotonicTime now) {
    Job job = jobs.get(move.task().job());
    Machine destination = machines.apply(move.to());
    if (job == null || job.isCancelled() || destination == null) {
      return;
    }
    TaskPlacement placement = job.placements.get(move.task().index());
    boolean arrived = placement != null && placement.machine == destination;
    if (arrived || (placement != null && !placement.machine.id.equals(move.from()))) {
      return;
    }
    destination.holdForMigration(job.id(), job.spec.size());
    boolean mayStop =
        placement != null
            && !placement.isStopping()
            && active.isRecorded()
            && reconciled
            && destination.schedulable()
            && job.spec.size().fitsIn(destination.free())
            && job.pendingCount() == 0
            && job.placements.values().stream().noneMatch(other -> other.isStopping())
            && allowedWithout(job, placement, destination)
            && (!job.isService()
                || (job.replicas().disruptionBudget() != null
                    && job.replicas().disruptionBudget().allows(1)));
    if (mayStop) {
      if (job.isService()) {
        job.replicas().disruptionBudget().consume(1);
      }
      eventSummary.countEvent(
          "replicas stopped for migration",
          move.task() + " to " + destination.id + " for " + active.plan().waitingJob());
      placement.requestStop(now, Preemption.gracePeriod(placement));
    }
  }

  /**
   * Returns whether the job's zone constraint allows the replica on the destination once it has
   * left its machine.
   */
  private static boolean allowedWithout(Job job, TaskPlacement placement, Machine destination) {
    return placement.machine.zone.equals(destination.zone)
        || !(job.spec.oneZone() && job.placements.size() > 1);
  }

  /**
   * Plans moves for one waiting job after a round. A migration is worth it if the task fits in the
   * sum of free resources of the machines that the job may use but on none of them, no suitable
   * machine is booting, and the cloud has recently refused all suitable machine types.
   *
   * @param mayScaleOut whether the cloud may still provide a machine for the job
   */
  public void plan(
      List<WaitingJob> waiting,
      List<Machine> usable,
      List<Machine> booting,
      Function<Job, Boolean> mayScaleOut,
      boolean reconciled,
      MonotonicTime now) {
    waitReasons.clear();
    List<WaitingJob> eligible = eligibleJobs(waiting, now);
    if (eligible.isEmpty() || now.since(lastPlanAt).compareTo(PLAN_INTERVAL) < 0) {
      return;
    }
    String blockedReason = blockedReason(usable, reconciled, now);
    if (blockedReason != null) {
      eligible.forEach(waitingJob -> waitReasons.put(waitingJob.job().id(), blockedReason));
      return;
    }
    lastPlanAt = now;
    for (WaitingJob waitingJob : eligible) {
      Job job = waitingJob.job();
      String skipReason = skipReason(job, booting, mayScaleOut, now);
      if (skipReason != null) {
        waitReasons.put(job.id(), skipReason);
      } else if (planFor(job, usable, now)) {
        return;
      }
    }
  }

  private List<WaitingJob> eligibleJobs(List<WaitingJob> waiting, MonotonicTime now) {
    Set<JobId> stillWaiting = new HashSet<>();
    List<WaitingJob> eligible = new ArrayList<>();
    for (WaitingJob waitingJob : waiting) {
      Job job = waitingJob.job();
      // Cores become free all the time, but accelerators and capacity for daemons do not.
      boolean longLived = job.spec.daemon() || job.spec.size().gpus() > 0;
      if (longLived
          && waitingJob.tasks() > 0
          && !waitingJob.awaitingStartRecord()
          && !job.failsEverywhere()) {
        stillWaiting.add(job.id());
        waitingSince.putIfAbsent(job.id(), now);
        if (now.since(waitingSince.get(job.id())).compareTo(MIN_WAIT) >= 0) {
          eligible.add(waitingJob);
        }
      }
    }
    waitingSince.keySet().retainAll(stillWaiting);
    return eligible;
  }

  /** Returns why no moves may be planned for any job now, or {@code null} if they may. */
  private String blockedReason(List<Machine> usable, boolean reconciled, MonotonicTime now) {
    if (!reconciled) {
      return "nothing is moved while a takeover is not accounted for";
    }
    long departing = usable.stream().filter(Machine::departing).count();
    if (departing > usable.size() * MAX_DEPARTING_FRACTION) {
      return "nothing is moved while machines are being taken back";
    }
    long acceleratorMachines =
        usable.stream().filter(machine -> machine.type().size().gpus() > 0).count();
    double maxActivePlans =
        Math.max(MIN_ACTIVE_PLANS_LIMIT, acceleratorMachines * MAX_ACTIVE_PLANS_PER_MACHINE);
    if (plans.activeCount() >= maxActivePlans) {
      return "other moves go on";
    }
    long maxMoves =
        Math.max(MIN_MOVES_PER_HOUR_LIMIT, acceleratorMachines * MAX_MOVES_PER_HOUR_PER_MACHINE);
    return plans.movesInLastHour(now) >= maxMoves ? "enough was moved this hour" : null;
  }

  /**
   * Returns why no moves need to be planned for the job, or {@code null} if a search is worthwhile.
   */
  private String skipReason(
      Job job, List<Machine> booting, Function<Job, Boolean> mayScaleOut, MonotonicTime now) {
    if (plans.isActiveFor(job.id())) {
      return "room is being made for it";
    }
    for (Machine machine : booting) {
      boolean suitable = !machine.bootOverdue(now) && job.spec.size().fitsIn(machine.type().size());
      if (suitable && PlacementRules.allowed(job, machine)) {
        return "a machine for it is on its way";
      }
    }
    return mayScaleOut.apply(job) ? "a machine may be rented for it" : null;
  }

  private boolean planFor(Job job, List<Machine> usable, MonotonicTime now) {
    MigrationSearch.Proposal proposal = search.find(job, usable, now);
    waitReasons.put(job.id(), proposal.waitReason());
    MigrationPlan plan = proposal.plan();
    if (plan == null) {
      return false;
    }
    plans.add(job.id(), plan, now);
    // Capacity is held immediately, because machines are also filled between two rounds.
    machines.apply(plan.target()).holdForMigration(job.id(), job.spec.size());
    for (ReplicaMove move : plan.moves()) {
      Job moved = jobs.get(move.task().job());
      machines.apply(move.to()).holdForMigration(moved.id(), moved.spec.size());
    }
    return true;
  }

  /** Returns why each job that a migration might help still waits, for operators. */
  public Map<JobId, String> waitReasons() {
    return waitReasons;
  }

  /**
   * Returns the active plans, the outcomes of ended plans and the reasons why other jobs wait, as
   * lines of text for operators.
   */
  public List<String> describePlans() {
    List<String> lines = new ArrayList<>();
    for (ActivePlan active : plans.activePlans()) {
      long remaining =
          active.plan().moves().stream()
              .filter(move -> currentMachine(move) != machines.apply(move.to()))
              .count();
      lines.add(MigrationPlans.describe(active.plan()) + ": goes on, " + remaining + " to go");
    }
    lines.addAll(plans.describeEnded());
    waitReasons.forEach((id, reason) -> lines.add(id + " waits: " + reason));
    return lines;
  }
}
