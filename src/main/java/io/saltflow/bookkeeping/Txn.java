package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
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

  int writeCount() {
    return writes.size();
  }

  Body body() {
    return Body.of().with(Wire.GUARDS, guards).with(Wire.WRITES, writes);
  }
}
