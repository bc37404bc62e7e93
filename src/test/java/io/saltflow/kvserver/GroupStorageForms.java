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

/** A batch of transactions as an entry of the replicated log, and the store as its snapshot. */
public final class GroupStorageForms {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final int KEYS_PER_PART = 2;
  private static final List<WriteBatch> STEPS =
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

  /** Both forms. */
  public static List<StoredForm> all() {
    KeyValueStore store = new KeyValueStore();
    STEPS.forEach(step -> store.apply(step, NOW));
    return List.of(
        StoredForm.current(
            "group log entry of transactions",
            StateMachineCodec.encodeCommand(STEPS),
            b -> StateMachineCodec.encodeCommand(StateMachineCodec.decodeCommand(b))),
        StoredForm.current(
            "group snapshot of the store", snapshot(store), GroupStorageForms::readAndSnapshot));
  }

  private static byte[] snapshot(KeyValueStore store) {
    KeyValueStore.SnapshotIterator copy = store.snapshot();
    StateMachineCodec.SnapshotEncoder writer =
        new StateMachineCodec.SnapshotEncoder(copy.revision());
    for (List<WriteBatch> part = copy.next(KEYS_PER_PART);
        !part.isEmpty();
        part = copy.next(KEYS_PER_PART)) {
      part.forEach(writer::add);
    }
    return writer.data();
  }

  private static byte[] readAndSnapshot(byte[] bytes) throws InvalidMessageException {
    KeyValueStore store = new KeyValueStore();
    StateMachineCodec.restore(bytes, store, NOW);
    return snapshot(store);
  }
}
