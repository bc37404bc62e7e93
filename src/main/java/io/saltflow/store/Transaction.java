package io.saltflow.store;

import io.saltflow.model.Revision;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A transaction of the key-value store. Its writes are executed atomically, and only if each
 * guarded key has the given revision (compare-and-swap).
 */
public final class Transaction {
  private final List<Object> guards = new ArrayList<>();
  private final List<Object> writes = new ArrayList<>();

  /** Requires a key to have this revision, or not to exist for {@link Revision#ABSENT}. */
  public Transaction guard(String key, Revision revision) {
    guards.add(MessageBody.of().with(Wire.KEY, key).with(Wire.VERSION, revision.number()));
    return this;
  }

  /** Adds a write of a key. */
  public Transaction put(String key, MessageBody value) {
    writes.add(MessageBody.of().with(Wire.PUT, key).with(Wire.VALUE, value));
    return this;
  }

  /** Adds a write of a key that is deleted when the lease ends. */
  public Transaction put(String key, MessageBody value, long leaseId) {
    writes.add(
        MessageBody.of().with(Wire.PUT, key).with(Wire.VALUE, value).with(Wire.LEASE, leaseId));
    return this;
  }

  /** Adds a deletion of a key. */
  public Transaction delete(String key) {
    writes.add(MessageBody.of().with(Wire.DELETE, key));
    return this;
  }

  int guardCount() {
    return guards.size();
  }

  /** Returns how many operations this transaction counts for, including its guards. */
  public int operationCost() {
    int byGuards =
        (guards.size() + StoreLimits.GUARDS_PER_OPERATION - 1) / StoreLimits.GUARDS_PER_OPERATION;
    return Math.max(writes.size(), byGuards);
  }

  /** Returns the size of the largest value in bytes, or 0 if the transaction puts none. */
  int largestValueBytes() {
    return writes.stream().mapToInt(Transaction::valueBytes).max().orElse(0);
  }

  /** Returns the key of the largest value, or the first written key, or "null" without writes. */
  String mainKey() {
    Object main =
        writes.stream()
            .max(Comparator.comparingInt(Transaction::valueBytes))
            .orElse(MessageBody.of());
    MessageBody write = (MessageBody) main;
    return String.valueOf(write.get(write.get(Wire.PUT) == null ? Wire.DELETE : Wire.PUT));
  }

  private static int valueBytes(Object write) {
    return write instanceof MessageBody fields
            && fields.get(Wire.VALUE) instanceof MessageBody value
        ? JsonSize.of(value)
        : 0;
  }

  int writeCount() {
    return writes.size();
  }

  /** Returns the wire form of the transaction. */
  public MessageBody encode() {
    return MessageBody.of().with(Wire.GUARDS, guards).with(Wire.WRITES, writes);
  }
}
