package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Guards and writes that happen together or not at all. */
final class Txn {
  private final List<Object> guards = new ArrayList<>();
  private final List<Object> writes = new ArrayList<>();

  Txn guard(String key, Stamp version) {
    guards.add(Body.of().with(Wire.KEY, key).with(Wire.VERSION, version.number()));
    return this;
  }

  Txn put(String key, Body value) {
    writes.add(Body.of().with(Wire.PUT, key).with(Wire.VALUE, value));
    return this;
  }

  Txn put(String key, Body value, long lease) {
    writes.add(Body.of().with(Wire.PUT, key).with(Wire.VALUE, value).with(Wire.LEASE, lease));
    return this;
  }

  Txn delete(String key) {
    writes.add(Body.of().with(Wire.DELETE, key));
    return this;
  }

  int conditionCount() {
    return guards.size();
  }

  /** For how many changes a limit must allow, by which conditions are counted as well. */
  int operations() {
    int byConditions =
        (guards.size() + StateLimits.CONDITIONS_PER_OPERATION - 1)
            / StateLimits.CONDITIONS_PER_OPERATION;
    return Math.max(writes.size(), byConditions);
  }

  /** Bytes of its largest value; 0: it puts none. */
  int largestValue() {
    return writes.stream().mapToInt(Txn::valueBytes).max().orElse(0);
  }

  /** The key of its largest value, or the first that it changes; empty: it only compares. */
  String mainKey() {
    Object main = writes.stream().max(Comparator.comparingInt(Txn::valueBytes)).orElse(Body.of());
    Body write = (Body) main;
    return String.valueOf(write.get(write.get(Wire.PUT) == null ? Wire.DELETE : Wire.PUT));
  }

  private static int valueBytes(Object write) {
    return write instanceof Body b && b.get(Wire.VALUE) instanceof Body value
        ? JsonSize.of(value)
        : 0;
  }

  int writeCount() {
    return writes.size();
  }

  Body body() {
    return Body.of().with(Wire.GUARDS, guards).with(Wire.WRITES, writes);
  }
}
