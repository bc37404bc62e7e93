package io.saltflow.fencing;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.Attempt;
import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.function.Predicate;

/**
 * Adds and removes task placements and keeps the job, its machine and the quota usage consistent.
 */
final class Placements {
  private final QuotaUsage quotaUsage;
  private final OutcomeListener listener;

  Placements(QuotaUsage quotaUsage, OutcomeListener listener) {
    this.quotaUsage = quotaUsage;
    this.listener = listener;
  }

  /** Adds a placement for an attempt launched by the answer to the machine's latest heartbeat. */
  TaskPlacement add(Job job, int index, Attempt attempt, Machine machine, MonotonicTime now) {
    TaskPlacement placement = new TaskPlacement(job, index, attempt, machine, now);
    machine.addPlacement(placement);
    job.addPlacement(placement);
    quotaUsage.addPlaced(job);
    return placement;
  }

  /** Removes a placement whose attempt is proven to have ended. */
  void remove(TaskPlacement placement) {
    placement.machine.removePlacement(placement);
    placement.job.removePlacement(placement);
    quotaUsage.removePlaced(placement.job);
  }

  /** Removes the placements on the machine that match the condition and reports them as lost. */
  void removeIf(
      Machine machine, Predicate<TaskPlacement> condition, String reason, MonotonicTime now) {
    for (TaskPlacement placement : new ArrayList<>(machine.placements.values())) {
      if (condition.test(placement)) {
        remove(placement);
        listener.onLost(placement, reason, now);
      }
    }
  }

  /** Removes all placements on the machine and reports them as lost. */
  void removeAll(Machine machine, String reason, MonotonicTime now) {
    removeIf(machine, placement -> true, reason, now);
  }
}
