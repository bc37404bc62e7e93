package io.saltflow.agreement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Checks whether a history of one register could have happened one operation at a time, each
 * between its call and its return: the search of Wing and Gong, "Testing and verifying concurrent
 * objects" (1993), with Lowe's memory of what was tried, "Testing for linearizability" (2017).
 */
final class Linear {
  /**
   * An operation.
   *
   * @param write what was written; null: it is a read
   * @param read what a read found; null: nothing was there
   * @param returned {@link Long#MAX_VALUE}: no answer came, so it may have happened at any time, or
   *     (a write) never
   */
  record Op(String write, String read, long called, long returned) {
    boolean open() {
      return returned == Long.MAX_VALUE;
    }
  }

  private record Tried(BitSet done, String value) {}

  private final List<Op> ops;
  private final Set<Tried> tried = new HashSet<>();

  private Linear(List<Op> ops) {
    this.ops = ops;
  }

  static boolean ok(List<Op> history) {
    List<Op> ops = new ArrayList<>(history);
    // Reads without an answer say nothing.
    ops.removeIf(o -> o.open() && o.write == null);
    ops.sort((a, b) -> Long.compare(a.called, b.called));
    return new Linear(ops).search(new BitSet(), null);
  }

  private boolean search(BitSet done, String value) {
    if (!tried.add(new Tried((BitSet) done.clone(), value))) {
      return false;
    }
    long earliestReturn = Long.MAX_VALUE;
    boolean left = false;
    for (int i = done.nextClearBit(0); i < ops.size(); i = done.nextClearBit(i + 1)) {
      Op o = ops.get(i);
      earliestReturn = Math.min(earliestReturn, o.returned);
      left |= !o.open();
    }
    if (!left) {
      return true;
    }
    for (int i = done.nextClearBit(0); i < ops.size(); i = done.nextClearBit(i + 1)) {
      Op o = ops.get(i);
      if (o.called > earliestReturn) {
        // Something returned before this was called, so it must come first.
        break;
      }
      if (o.write != null || Objects.equals(o.read, value)) {
        done.set(i);
        boolean found = search(done, o.write != null ? o.write : value);
        done.clear(i);
        if (found) {
          return true;
        }
      }
    }
    return false;
  }
}
