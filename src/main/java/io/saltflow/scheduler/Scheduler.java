package io.saltflow.scheduler;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs scheduling rounds with backfilling. Jobs start in queue order while they fit. The first job
 * that does not fit, the head, gets a reservation on the machines where capacity for it is
 * available first. Later jobs are backfilled if they end before the reservation or fit beside it,
 * and backfilled tasks that write checkpoints are preempted when it is due.
 *
 * <p>A full round considers all machines. Between two rounds, {@link #fillMachine} considers only
 * the machine that sent a heartbeat, with the queue and the reservations of the last round.
 * Confined to the leader's thread.
 */
public final class Scheduler {
  private final Policy policy;
  private final RunTimeEstimates estimates;
  private final QuotaUsage quotaUsage;
  private final JobQueue queue;
  private final HeadReservation headReservation;
  private final QuotaReserver quotaReserver;
  private final Preemption preemption;
  private final FairShareScheduler fairShare;
  private final RecordedOrderInputs orderInputs;
  private final RoundState state = new RoundState();
  private final TaskAssigner assigner;
  private final MachineFiller filler;

  /** Candidates in order, for machines that send a heartbeat between two rounds. */
  private List<CandidateOrder.Candidate> candidates = List.of();

  /**
   * Creates a scheduler without machines and jobs.
   *
   * @param orderInputs the inputs of the queue order that are not part of the jobs' records
   */
  public Scheduler(
      Policy policy,
      RunTimeEstimates estimates,
      QuotaUsage quotaUsage,
      EventSummary eventSummary,
      RecordedOrderInputs orderInputs) {
    this.orderInputs = orderInputs;
    this.policy = policy;
    this.estimates = estimates;
    this.quotaUsage = quotaUsage;
    queue = new JobQueue(policy, estimates);
    fairShare = new FairShareScheduler(policy, estimates, quotaUsage);
    headReservation = new HeadReservation(estimates, fairShare, eventSummary);
    quotaReserver = new QuotaReserver(estimates, quotaUsage);
    preemption = new Preemption(policy, estimates, quotaUsage, fairShare, eventSummary);
    assigner = new TaskAssigner(policy, estimates, quotaUsage, state);
    filler = new MachineFiller(state, assigner, fairShare, quotaUsage);
  }

  /** Returns the jobs that were within their team's guaranteed quota at the last round. */
  public Set<JobId> guaranteedJobs() {
    return state.guaranteedJobs();
  }

  /** Returns the resources of all machines that were usable or booting at the last round. */
  public Resources fleetResources() {
    Resources sum = Resources.ZERO;
    for (Machine machine : state.usableMachines()) {
      sum = sum.plus(machine.type().size());
    }
    for (Machine machine : state.bootingMachines()) {
      sum = sum.plus(machine.type().size());
    }
    return sum;
  }

  /** Returns the machines that tasks could be placed on at the last round. */
  public List<Machine> usableMachines() {
    return state.usableMachines();
  }

  /** Returns the machines that had been requested and were not up yet at the last round. */
  public List<Machine> bootingMachines() {
    return state.bootingMachines();
  }

  /** Returns how often a machine was checked for a task, as a measure of the work of the rounds. */
  public long placementChecks() {
    return assigner.placementChecks();
  }

  /** Returns the shares of classes and teams at the last round. */
  public FairShareScheduler fairShare() {
    return fairShare;
  }

  /**
   * Assigns tasks to machines and requests stops where preemption is due.
   *
   * @param reconciled whether all machines have reported in this term, so that no task of an
   *     earlier term is unknown
   * @return the jobs that still wait, in queue order
   */
  public List<WaitingJob> runRound(
      Collection<Job> jobs, Collection<Machine> machines, boolean reconciled, MonotonicTime now) {
    double usableCores = updateMachines(machines);
    for (Job job : jobs) {
      job.assignedZones.clear();
    }
    state.updateCheapestPrice();
    state.setGuaranteedJobs(queue.guaranteedJobs(jobs));
    List<Job> pending = pendingJobs(jobs, reconciled);
    orderInputs.updateFleet(usableCores, estimates.corrections());
    List<Job> order = queue.inOrder(pending, state.guaranteedJobs(), orderInputs.current(), now);
    assigner.updateWorkload(jobs);
    fairShare.update(jobs, new HashSet<>(order), state.usableMachines(), now);
    orderInputs.observe(
        usableCores, estimates.corrections(), fairShare.underservedClasses(), reconciled);
    quotaUsage.clearReservations();
    candidates = candidatesFor(order, now);
    state.updateWaitingMinimums(order, estimates);
    RoundPlacer placer =
        new RoundPlacer(
            state, assigner, fairShare, quotaUsage, headReservation, quotaReserver, now);
    Map<JobId, WaitingJob> unplaced = placer.placeAll(candidates);
    List<WaitingJob> waitingJobs = new ArrayList<>();
    List<Job> waiting = new ArrayList<>();
    for (Job job : order) {
      WaitingJob waitingJob = unplaced.get(job.id());
      if (waitingJob != null) {
        waitingJobs.add(waitingJob);
        waiting.add(job);
      }
    }
    candidates.removeIf(candidate -> !unplaced.containsKey(candidate.job.id()));
    state.updateWaitingMinimums(waiting, estimates);
    headReservation.preemptBackfilledWhenDue(state.head(), state.usableMachines(), now);
    preemption.preempt(
        waitingJobs, state.usableMachines(), state.bootingMachines(), state.guaranteedJobs(), now);
    return waitingJobs;
  }

  /**
   * Withdraws assignments that were not sent, and groups the machines into usable and booting ones.
   * Returns the total cores of the usable machines.
   */
  private double updateMachines(Collection<Machine> machines) {
    state.clearMachines();
    double usableCores = 0;
    for (Machine machine : machines) {
      withdrawAssignments(machine);
      machine.setReservation(null);
      if (machine.schedulable()) {
        state.addUsable(machine);
        machine.setAvailable(machine.free());
        usableCores += machine.type().size().cores();
      } else if (machine.booting()) {
        state.addBooting(machine);
      }
    }
    return usableCores;
  }

  private static List<Job> pendingJobs(Collection<Job> jobs, boolean reconciled) {
    List<Job> pending = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.isCancelled()
          && !job.isFinishing()
          && job.pendingCount() > 0
          && (reconciled || !job.mayHaveStartedInEarlierTerm)) {
        pending.add(job);
      }
    }
    return pending;
  }

  private List<CandidateOrder.Candidate> candidatesFor(List<Job> order, MonotonicTime now) {
    return CandidateOrder.of(
        order,
        state.guaranteedJobs(),
        CandidateOrder.overdueForFirstTask(order, policy.firstStartTarget(), now),
        fairShare.grants(),
        policy.preemptingPriority());
  }

  /** Withdraws the assignments that have not been sent to the machine's worker yet. */
  public void withdrawAssignments(Machine machine) {
    assigner.withdraw(machine);
  }

  /**
   * Assigns tasks to a machine that sent a heartbeat between two rounds: the first in the last
   * round's order that may be placed there.
   */
  public void fillMachine(Machine machine, boolean reconciled, MonotonicTime now) {
    filler.fill(machine, candidates, reconciled, now);
  }
}
