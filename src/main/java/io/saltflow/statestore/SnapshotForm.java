package io.saltflow.statestore;

import io.saltflow.kv.KeyStore;
import io.saltflow.kv.Step;
import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.AvroOutput;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Time;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Steps as an entry of a group's log, and a store's contents as its snapshot, in Avro's form. */
final class SnapshotForm {
  private static final int MOST_STEPS = 1 << 20;

  private SnapshotForm() {}

  /** An entry: an array of steps. */
  static byte[] encode(List<Step> steps) {
    return AvroOutput.bytes(
        out -> {
          out.writeArrayStart();
          out.setItemCount(steps.size());
          for (Step s : steps) {
            out.startItem();
            out.writeBytes(s.encode());
          }
          out.writeArrayEnd();
        });
  }

  /** The steps of an entry. */
  static List<Step> steps(byte[] entry) throws BadMessage {
    AvroInput in = new AvroInput(entry);
    List<Step> out = new ArrayList<>();
    for (long n = in.firstItems(MOST_STEPS); n != 0; n = in.nextItems(MOST_STEPS - out.size())) {
      for (long i = 0; i < n; i++) {
        out.add(Step.decode(in.bytes()));
      }
    }
    if (!in.atEnd()) {
      throw new BadMessage("an entry with bytes behind its steps");
    }
    return out;
  }

  /** Contents, put together part by part: the revision, then a step after the other. */
  static final class Writer {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    Writer(long epoch) {
      AvroOutput.write(bytes, out -> out.writeLong(epoch));
    }

    void add(Step s) {
      AvroOutput.write(bytes, out -> out.writeBytes(s.encode()));
    }

    byte[] bytes() {
      return bytes.toByteArray();
    }
  }

  /** Brings a new store to where the contents were; no bytes: it stays new. */
  static void read(byte[] snapshot, KeyStore store, Time now) throws BadMessage {
    if (snapshot.length == 0) {
      return;
    }
    AvroInput in = new AvroInput(snapshot);
    long epoch = in.number();
    while (!in.atEnd()) {
      store.apply(Step.decode(in.bytes()), now);
    }
    store.restored(epoch);
  }
}
