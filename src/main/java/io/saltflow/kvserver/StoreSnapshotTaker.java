package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.WriteBatch;
import java.util.List;

/**
 * Takes a snapshot of the store for the Raft log, a part at a time, so that requests are served in
 * between.
 */
final class StoreSnapshotTaker {
  private final long thresholdBytes;
  private KeyValueStore.SnapshotIterator contents;
  private StateMachineCodec.SnapshotEncoder encoder;
  private long index;
  private long bytesSinceSnapshot;

  /**
   * Creates a taker.
   *
   * @param thresholdBytes how many bytes of applied log entries make a snapshot due
   */
  StoreSnapshotTaker(long thresholdBytes) {
    this.thresholdBytes = thresholdBytes;
  }

  /** Gives up a snapshot that is being taken, as the store was replaced. */
  void reset() {
    bytesSinceSnapshot = 0;
    contents = null;
  }

  /** Counts an applied log entry. */
  void onApplied(int bytes) {
    bytesSinceSnapshot += bytes;
  }

  /** Returns whether a snapshot should be begun. */
  boolean isDue() {
    return contents == null && bytesSinceSnapshot > thresholdBytes;
  }

  /** Begins a snapshot of a store that has applied the log up to an index. */
  void begin(KeyValueStore store, long lastApplied) {
    contents = store.snapshot();
    encoder = new StateMachineCodec.SnapshotEncoder(contents.revision());
    index = lastApplied;
    bytesSinceSnapshot = 0;
  }

  /** Returns whether a snapshot is being taken. */
  boolean isActive() {
    return contents != null;
  }

  /** Encodes the next keys; returns false when the snapshot is complete. */
  boolean encodeNext(int maxKeys) {
    List<WriteBatch> batches = contents.next(maxKeys);
    if (batches.isEmpty()) {
      contents = null;
      return false;
    }
    batches.forEach(encoder::add);
    return true;
  }

  /** Returns the last log entry that the completed snapshot includes. */
  long index() {
    return index;
  }

  /** Returns the completed snapshot. */
  byte[] data() {
    return encoder.data();
  }
}
