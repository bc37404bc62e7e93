package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.model.MonotonicTime;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Ranks the machines that may take a candidate's next task, best score first. Used for a single
 * candidate.
 */
final class MachineRanking {
  /** A machine that could take the task. The order breaks ties between equal scores. */
  record ScoredMachine(Machine machine, int order, double score) {}

  private static final Comparator<ScoredMachine> BY_SCORE =
      Comparator.comparingDouble(ScoredMachine::score).thenComparingInt(ScoredMachine::order);

  private final TaskAssigner assigner;
  private final CandidateOrder.Candidate candidate;
  private final boolean backfilling;
  private final MonotonicTime now;
  private final SpreadScorer spread;
  private final PriorityQueue<ScoredMachine> machines = new PriorityQueue<>(BY_SCORE);

  MachineRanking(
      TaskAssigner assigner,
      CandidateOrder.Candidate candidate,
      boolean backfilling,
      MonotonicTime now) {
    this.assigner = assigner;
    this.candidate = candidate;
    this.backfilling = backfilling;
    this.now = now;
    Job job = candidate.job;
    spread = job.isService() ? new SpreadScorer(job) : null;
  }

  /** Adds the machine if the task may be placed on it. */
  void addIfEligible(int taskIndex, Machine machine, int order) {
    if (assigner.mayPlace(candidate, taskIndex, machine, backfilling, now)) {
      double score = assigner.score(candidate.job, machine, spread);
      machines.add(new ScoredMachine(machine, order, score));
    }
  }

  /**
   * Removes and returns the best machine for the task, or returns {@code null} if there is none.
   */
  ScoredMachine pollBest(int taskIndex) {
    ScoredMachine best = machines.poll();
    while (best != null && scoreIsOutdated(best)) {
      addIfEligible(taskIndex, best.machine, best.order);
      best = machines.poll();
    }
    return best;
  }

  /**
   * Returns whether the machine's score has risen since it was computed, because the machine or its
   * zone got another task of the service.
   */
  private boolean scoreIsOutdated(ScoredMachine best) {
    return spread != null && assigner.score(candidate.job, best.machine, spread) > best.score;
  }

  /** Updates the scores after a task of the job was assigned to the machine. */
  void onAssigned(Machine machine) {
    if (spread != null) {
      spread.add(machine);
    }
  }
}
