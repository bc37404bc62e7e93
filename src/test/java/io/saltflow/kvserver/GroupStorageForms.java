package io.saltflow.kvserver;

import io.saltflow.compat.StoredForm;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.Mutation;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import java.util.List;

/** Stored forms of a replicated log entry with write batches and of a snapshot of the store. */
public final class GroupStorageForms {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final int KEYS_PER_PART = 2;
  private static final List<WriteBatch> BATCHES =
      List.of(
          new WriteBatch(2, List.of(new Mutation.GrantLease(1, TimeSpan.seconds(5)))),
          new WriteBatch(
              3,
              List.of(
                  new Mutation.Put("lead", MessageBody.of().with("term", 1L), 1),
                  new Mutation.Put("live/req-1", MessageBody.of().with("at", 5L), 0),
                  new Mutation.Put("live/req-2", MessageBody.of().with("at", 6L), 0))),
          new WriteBatch(4, List.of(new Mutation.Delete("live/req-2"))));

  private GroupStorageForms() {}

  /** Returns the log entry and the snapshot. */
  public static List<StoredForm> all() {
    KeyValueStore store = new KeyValueStore();
    BATCHES.forEach(batch -> store.apply(batch, NOW));
    return List.of(
        StoredForm.current(
            "group log entry of transactions",
            StateMachineCodec.encodeCommand(BATCHES),
            bytes -> StateMachineCodec.encodeCommand(StateMachineCodec.decodeCommand(bytes))),
        StoredForm.current(
            "group snapshot of the store", snapshot(store), GroupStorageForms::restoreAndSnapshot));
  }

  private static byte[] snapshot(KeyValueStore store) {
    KeyValueStore.SnapshotIterator contents = store.snapshot();
    StateMachineCodec.SnapshotEncoder encoder =
        new StateMachineCodec.SnapshotEncoder(contents.revision());
    for (List<WriteBatch> part = contents.next(KEYS_PER_PART);
        !part.isEmpty();
        part = contents.next(KEYS_PER_PART)) {
      part.forEach(encoder::add);
    }
    return encoder.data();
  }

  private static byte[] restoreAndSnapshot(byte[] bytes) throws InvalidMessageException {
    KeyValueStore store = new KeyValueStore();
    StateMachineCodec.restore(bytes, store, NOW);
    return snapshot(store);
  }
}
