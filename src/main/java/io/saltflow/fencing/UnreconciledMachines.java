package io.saltflow.fencing;

import io.saltflow.cluster.Machine;
import io.saltflow.model.Resources;
import java.util.Collection;

/**
 * Counts the machines that may still run tasks of earlier terms and the resources that these may
 * hold. The totals are updated incrementally, because summing over thousands of machines at each
 * heartbeat would slow down a failover.
 */
final class UnreconciledMachines {
  private static final Resources UNBOUNDED = new Resources(1e9, 1e9, 1e9);

  private int count;
  private Resources totalSize = Resources.ZERO;
  private boolean ledgerIncomplete;

  /**
   * Adds a machine that may run tasks of earlier terms. An unknown type counts as unbounded usage.
   */
  void add(Machine machine) {
    count++;
    machine.setUnreconciledSize(machine.type() == null ? UNBOUNDED : machine.type().size());
    totalSize = totalSize.plus(machine.unreconciledSize());
  }

  /** Recomputes the totals after machine types have become known. */
  void recount(Collection<Machine> machines) {
    count = 0;
    totalSize = Resources.ZERO;
    for (Machine machine : machines) {
      if (machine.mayRunEarlierTermTasks()) {
        add(machine);
      }
    }
  }

  /** Removes a machine whose tasks of earlier terms are known or have ended. */
  void markReconciled(Machine machine) {
    if (machine.mayRunEarlierTermTasks()) {
      machine.setMayRunEarlierTermTasks(false);
      count--;
      // Subtraction leaves a rounding error, so the total is reset when no machine remains.
      totalSize = count == 0 ? Resources.ZERO : totalSize.minus(machine.unreconciledSize());
    }
  }

  /**
   * Returns whether part of the machine ledger could not be read, so that unknown machines may
   * exist.
   */
  boolean isLedgerIncomplete() {
    return ledgerIncomplete;
  }

  /** Sets whether part of the machine ledger could not be read. */
  void setLedgerIncomplete(boolean incomplete) {
    ledgerIncomplete = incomplete;
  }

  /** Returns whether every machine that earlier terms may have used is reconciled. */
  boolean isEmpty() {
    return !ledgerIncomplete && count == 0;
  }

  /** Returns the maximum resources that tasks on all of these machines may hold. */
  Resources maxUsage() {
    return ledgerIncomplete ? UNBOUNDED : totalSize;
  }
}
