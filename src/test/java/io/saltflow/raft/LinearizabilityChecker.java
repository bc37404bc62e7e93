package io.saltflow.raft;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Checks whether the history of a register is linearizable. Implements the search of Wing and Gong,
 * "Testing and verifying concurrent objects" (1993), with the state caching of Lowe, "Testing for
 * linearizability" (2017).
 */
final class LinearizabilityChecker {
  /**
   * A read or write of the register.
   *
   * @param write the value written, or {@code null} for a read
   * @param read the value that a read returned, or {@code null} if there was none
   * @param returnedAt the time of the return, or {@link Long#MAX_VALUE} if there was none; such a
   *     write may take effect at any later time or never
   */
  record Operation(String write, String read, long calledAt, long returnedAt) {
    boolean isOpen() {
      return returnedAt == Long.MAX_VALUE;
    }
  }

  private record VisitedState(BitSet linearized, String value) {}

  private final List<Operation> operations;
  private final Set<VisitedState> visited = new HashSet<>();

  private LinearizabilityChecker(List<Operation> operations) {
    this.operations = operations;
  }

  static boolean isLinearizable(List<Operation> history) {
    List<Operation> operations = new ArrayList<>(history);
    // Reads without a response do not constrain the history.
    operations.removeIf(operation -> operation.isOpen() && operation.write == null);
    operations.sort((a, b) -> Long.compare(a.calledAt, b.calledAt));
    return new LinearizabilityChecker(operations).search(new BitSet(), null);
  }

  private boolean search(BitSet linearized, String value) {
    if (!visited.add(new VisitedState((BitSet) linearized.clone(), value))) {
      return false;
    }
    long earliestReturn = Long.MAX_VALUE;
    boolean completedOperationRemains = false;
    for (int i = linearized.nextClearBit(0);
        i < operations.size();
        i = linearized.nextClearBit(i + 1)) {
      Operation operation = operations.get(i);
      earliestReturn = Math.min(earliestReturn, operation.returnedAt);
      completedOperationRemains |= !operation.isOpen();
    }
    if (!completedOperationRemains) {
      return true;
    }
    for (int i = linearized.nextClearBit(0);
        i < operations.size();
        i = linearized.nextClearBit(i + 1)) {
      Operation operation = operations.get(i);
      if (operation.calledAt > earliestReturn) {
        // Another operation returned before this one was called, so it must come first.
        break;
      }
      if (operation.write != null || Objects.equals(operation.read, value)) {
        linearized.set(i);
        boolean found = search(linearized, operation.write != null ? operation.write : value);
        linearized.clear(i);
        if (found) {
          return true;
        }
      }
    }
    return false;
  }
}
