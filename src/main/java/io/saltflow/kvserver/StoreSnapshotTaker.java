package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.WriteBatch;
import java.util.List;

/**
 * Takes a snapshot of the store for the Raft log one part at a time, so that requests can be served
 * between parts.
 */
final class StoreSnapshotTaker {
  private final long thresholdBytes;
  private KeyValueStore.SnapshotIterator contents;
  private StateMachineCodec.SnapshotEncoder encoder;
  private long index;
  private long bytesSinceSnapshot;

  /**
   * Creates a taker without a snapshot in progress.
   *
   * @param thresholdBytes number of bytes of applied log entries after which a snapshot is due
   */
  StoreSnapshotTaker(long thresholdBytes) {
    this.thresholdBytes = thresholdBytes;
  }

  /** Abandons a snapshot in progress after the store was replaced. */
  void reset() {
    bytesSinceSnapshot = 0;
    contents = null;
  }

  /** Counts an applied log entry. */
  void onApplied(int bytes) {
    bytesSinceSnapshot += bytes;
  }

  /** Returns whether a snapshot should be started. */
  boolean isDue() {
    return contents == null && bytesSinceSnapshot > thresholdBytes;
  }

  /** Starts a snapshot of a store that has applied the log up to an index. */
  void begin(KeyValueStore store, long lastApplied) {
    contents = store.snapshot();
    encoder = new StateMachineCodec.SnapshotEncoder(contents.revision());
    index = lastApplied;
    bytesSinceSnapshot = 0;
  }

  /** Returns whether a snapshot is in progress. */
  boolean isActive() {
    return contents != null;
  }

  /** Encodes the next keys. Returns {@code false} once the snapshot is complete. */
  boolean encodeNext(int maxKeys) {
    List<WriteBatch> batches = contents.next(maxKeys);
    if (batches.isEmpty()) {
      contents = null;
      return false;
    }
    batches.forEach(encoder::add);
    return true;
  }

  /** Returns the index of the last log entry that the completed snapshot includes. */
  long index() {
    return index;
  }

  /** Returns the encoded snapshot once it is complete. */
  byte[] data() {
    return encoder.data();
  }
}
