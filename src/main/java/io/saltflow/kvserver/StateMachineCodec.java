package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.AvroOutput;
import io.saltflow.protocol.InvalidMessageException;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes write batches as a Raft log command, and a store's contents as a Raft snapshot, in Avro's
 * binary encoding.
 */
final class StateMachineCodec {
  private static final int MAX_BATCHES = 1 << 20;

  private StateMachineCodec() {}

  /** Encodes write batches as a command, which is an Avro array. */
  static byte[] encodeCommand(List<WriteBatch> batches) {
    return AvroOutput.encode(
        out -> {
          out.writeArrayStart();
          out.setItemCount(batches.size());
          for (WriteBatch batch : batches) {
            out.startItem();
            out.writeBytes(batch.encode());
          }
          out.writeArrayEnd();
        });
  }

  /**
   * Decodes a command.
   *
   * @throws InvalidMessageException when it is malformed
   */
  static List<WriteBatch> decodeCommand(byte[] command) throws InvalidMessageException {
    AvroInput in = new AvroInput(command);
    List<WriteBatch> batches = new ArrayList<>();
    for (long blockSize = in.readArrayStart(MAX_BATCHES);
        blockSize != 0;
        blockSize = in.readArrayNext(MAX_BATCHES - batches.size())) {
      for (long item = 0; item < blockSize; item++) {
        batches.add(WriteBatch.decode(in.readBytes()));
      }
    }
    if (!in.atEnd()) {
      throw new InvalidMessageException("trailing bytes after the write batches of a log entry");
    }
    return batches;
  }

  /** Encodes a snapshot part by part: the revision, then the write batches. */
  static final class SnapshotEncoder {
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();

    SnapshotEncoder(long revision) {
      AvroOutput.write(data, out -> out.writeLong(revision));
    }

    void add(WriteBatch batch) {
      AvroOutput.write(data, out -> out.writeBytes(batch.encode()));
    }

    byte[] data() {
      return data.toByteArray();
    }
  }

  /**
   * Restores an empty store from a snapshot. An empty snapshot leaves the store empty.
   *
   * @throws InvalidMessageException when it is malformed
   */
  static void restore(byte[] snapshot, KeyValueStore store, MonotonicTime now)
      throws InvalidMessageException {
    if (snapshot.length == 0) {
      return;
    }
    AvroInput in = new AvroInput(snapshot);
    long revision = in.readLong();
    while (!in.atEnd()) {
      store.apply(WriteBatch.decode(in.readBytes()), now);
    }
    store.onRestored(revision);
  }
}
