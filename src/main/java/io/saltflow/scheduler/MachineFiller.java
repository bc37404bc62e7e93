package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.model.MonotonicTime;
import java.util.List;

/**
 * Fills one machine between two scheduling rounds, using the candidates and reservations of the
 * last round and looking at no other machine.
 */
final class MachineFiller {
  private final RoundState state;
  private final TaskAssigner assigner;
  private final FairShareScheduler fairShare;
  private final QuotaUsage quotaUsage;

  MachineFiller(
      RoundState state,
      TaskAssigner assigner,
      FairShareScheduler fairShare,
      QuotaUsage quotaUsage) {
    this.state = state;
    this.assigner = assigner;
    this.fairShare = fairShare;
    this.quotaUsage = quotaUsage;
  }

  /** Assigns to the machine the first candidates that may be placed there. */
  void fill(
      Machine machine,
      List<CandidateOrder.Candidate> candidates,
      boolean reconciled,
      MonotonicTime now) {
    // The machine may have come up since the last round, so its available resources are
    // recomputed.
    machine.setAvailable(machine.free());
    for (Machine.Assignment assigned : machine.assignments) {
      machine.setAvailable(machine.available().minus(assigned.job().spec.size()));
    }
    if (!state.hasRoom(machine)) {
      return;
    }
    if (state.fullyReserved(machine, now)) {
      fillReserved(machine, candidates, reconciled, now);
      return;
    }
    int headIndex = headIndex(candidates);
    for (int from = 0; from < candidates.size(); ) {
      int to = CandidateOrder.endOfInterchangeable(candidates, from);
      for (int i = from; i < to; i++) {
        if (hasImage(machine, candidates.get(i))
            && !place(machine, candidates.get(i), i > headIndex, reconciled, now)) {
          return;
        }
      }
      for (int i = from; i < to; i++) {
        if (!hasImage(machine, candidates.get(i))
            && !place(machine, candidates.get(i), i > headIndex, reconciled, now)) {
          return;
        }
      }
      from = to;
    }
  }

  private void fillReserved(
      Machine machine,
      List<CandidateOrder.Candidate> candidates,
      boolean reconciled,
      MonotonicTime now) {
    for (CandidateOrder.Candidate candidate : candidates) {
      if (candidate.usesShareReservations() && !place(machine, candidate, false, reconciled, now)) {
        return;
      }
    }
  }

  /**
   * Returns the index of the head of the queue among the candidates. Candidates after it may only
   * be backfilled.
   */
  private int headIndex(List<CandidateOrder.Candidate> candidates) {
    Job head = state.head();
    for (int i = 0; i < candidates.size(); i++) {
      if (candidates.get(i).job == head && !candidates.get(i).usesShareReservations()) {
        return i;
      }
    }
    return Integer.MAX_VALUE;
  }

  private static boolean hasImage(Machine machine, CandidateOrder.Candidate candidate) {
    return machine.cachedImages.contains(candidate.job.spec.image());
  }

  /**
   * Assigns as many of the candidate's tasks as the machine can take. Returns {@code false} if no
   * waiting task fits on the machine any more.
   */
  private boolean place(
      Machine machine,
      CandidateOrder.Candidate candidate,
      boolean backfilling,
      boolean reconciled,
      MonotonicTime now) {
    Job job = candidate.job;
    // A service's tasks are spread over machines, which only a full round considers.
    if (job.isCancelled()
        || job.isFinishing()
        || job.isService()
        || !job.isStartRecorded()
        || (!reconciled && job.mayHaveStartedInEarlierTerm)) {
      return true;
    }
    int taskIndex = job.nextPending(0, now);
    while (taskIndex >= 0
        && quotaUsage.mayAssign(job)
        && candidate.mayStartAnother(fairShare)
        && assigner.mayPlace(candidate, taskIndex, machine, backfilling, now)) {
      assigner.assign(candidate, taskIndex, machine, now);
      taskIndex = job.nextPending(taskIndex + 1, now);
    }
    return state.hasRoom(machine);
  }
}
