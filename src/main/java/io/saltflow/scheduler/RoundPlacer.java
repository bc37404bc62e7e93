package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.scheduler.HeadReservation.ReservationRequest;
import io.saltflow.scheduler.MachineRanking.ScoredMachine;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Places the tasks of one scheduling round: considers the candidates in order, assigns their tasks
 * to the best machines, and reserves capacity for minimum shares and for the head of the queue.
 */
final class RoundPlacer {
  private final RoundState state;
  private final TaskAssigner assigner;
  private final FairShareScheduler fairShare;
  private final QuotaUsage quotaUsage;
  private final HeadReservation headReservation;
  private final QuotaReserver quotaReserver;
  private final MonotonicTime now;
  private final List<Machine> openMachines;
  private final Map<JobId, WaitingJob> unplaced = new LinkedHashMap<>();
  private final Map<JobId, ReservationRequest> shareRequests = new LinkedHashMap<>();

  RoundPlacer(
      RoundState state,
      TaskAssigner assigner,
      FairShareScheduler fairShare,
      QuotaUsage quotaUsage,
      HeadReservation headReservation,
      QuotaReserver quotaReserver,
      MonotonicTime now) {
    this.state = state;
    this.assigner = assigner;
    this.fairShare = fairShare;
    this.quotaUsage = quotaUsage;
    this.headReservation = headReservation;
    this.quotaReserver = quotaReserver;
    this.now = now;
    openMachines = state.machinesWithRoom();
  }

  /** Places the tasks that fit. Returns the jobs with tasks that found no machine, by job id. */
  Map<JobId, WaitingJob> placeAll(List<CandidateOrder.Candidate> candidates) {
    state.setHead(null);
    for (CandidateOrder.Candidate candidate : candidates) {
      if (candidate.reason == CandidateOrder.Reason.QUEUE_ORDER && !shareRequests.isEmpty()) {
        reserveForMinimumShares();
      }
      if (!unplaced.containsKey(candidate.job.id())) {
        placeCandidate(candidate);
      }
    }
    return unplaced;
  }

  private void reserveForMinimumShares() {
    headReservation.reserveForMinimumShares(
        shareRequests.values(), state.usableMachines(), state.bootingMachines(), now);
    shareRequests.clear();
    openMachines.removeIf(machine -> state.fullyReserved(machine, now));
  }

  /** Places the candidate's tasks and records how many of them are left. */
  private void placeCandidate(CandidateOrder.Candidate candidate) {
    Job job = candidate.job;
    if (!job.isStartRecorded()) {
      int pendingTasks = job.countPending(0, quotaUsage.remainingTasks(job), now);
      unplaced.put(job.id(), new WaitingJob(job, pendingTasks, true));
      return;
    }
    int tasksLeft = placeTasks(candidate);
    if (candidate.usesShareReservations()) {
      if (tasksLeft > 0) {
        requestShareReservation(candidate, tasksLeft);
      }
      return;
    }
    if (tasksLeft > 0
        || (candidate.reason == CandidateOrder.Reason.QUEUE_ORDER
            && job.nextPending(0, now) >= 0)) {
      unplaced.put(job.id(), new WaitingJob(job, tasksLeft, false));
    }
    if (tasksLeft > 0 && state.head() == null) {
      state.setHead(job);
      headReservation.reserveForHead(
          job, tasksLeft, state.usableMachines(), state.bootingMachines(), now);
    }
  }

  private void requestShareReservation(CandidateOrder.Candidate candidate, int tasksLeft) {
    Job job = candidate.job;
    int maxTasks =
        candidate.reason == CandidateOrder.Reason.FIRST_TASK
            ? 1
            : Math.min(
                tasksLeft,
                fairShare.tasksBelowMinimumShare(candidate.group(), shareRequests.values(), job));
    shareRequests.merge(
        job.id(),
        new ReservationRequest(job, maxTasks),
        (first, second) -> first.tasks >= second.tasks ? first : second);
  }

  /**
   * Assigns the candidate's tasks to the best machines.
   *
   * @return how many tasks found no machine, or 0 if quota or share ended the placement rather than
   *     capacity
   */
  private int placeTasks(CandidateOrder.Candidate candidate) {
    Job job = candidate.job;
    int taskIndex = job.nextPending(0, now);
    if (taskIndex < 0 || !candidate.mayStartAnother(fairShare)) {
      return 0;
    }
    boolean backfilling = state.head() != null;
    MachineRanking ranking = new MachineRanking(assigner, candidate, backfilling, now);
    for (int i = 0; i < openMachines.size(); i++) {
      ranking.addIfEligible(taskIndex, openMachines.get(i), i);
    }
    while (taskIndex >= 0) {
      if (!quotaUsage.mayAssign(job) || !candidate.mayStartAnother(fairShare)) {
        reserveQuotaForFirstTask(candidate);
        return 0;
      }
      ScoredMachine best = ranking.pollBest(taskIndex);
      if (best == null) {
        int pending = job.countPending(taskIndex, quotaUsage.remainingTasks(job), now);
        return Math.min(candidate.maxTasks(), pending);
      }
      // The predicted run time of a previously stopped task differs from that of the job's other
      // tasks, so the machine is checked again.
      if (assigner.mayPlace(candidate, taskIndex, best.machine(), backfilling, now)) {
        assigner.assign(candidate, taskIndex, best.machine(), now);
        ranking.onAssigned(best.machine());
        taskIndex = job.nextPending(taskIndex + 1, now);
        if (taskIndex >= 0) {
          ranking.addIfEligible(taskIndex, best.machine(), best.order());
        }
      }
    }
    return 0;
  }

  /**
   * Reserves quota for the job's first task. The team's limit delays it, so no capacity on machines
   * is freed or reserved.
   */
  private void reserveQuotaForFirstTask(CandidateOrder.Candidate candidate) {
    if (candidate.reason == CandidateOrder.Reason.FIRST_TASK
        && candidate.mayStartAnother(fairShare)) {
      quotaReserver.reserve(candidate.job, state.usableMachines(), now);
    }
  }
}
