package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.wal.StorageDirectory;
import io.saltflow.wal.WriteAheadLog;
import java.io.IOException;

/** Replays a write-ahead log into a store. */
final class StoreRecovery implements WriteAheadLog.ReplayHandler {
  private final KeyValueStore store;
  private final MonotonicTime now;
  private long revision;

  private StoreRecovery(KeyValueStore store, MonotonicTime now) {
    this.store = store;
    this.now = now;
  }

  /**
   * Opens a log and replays it.
   *
   * @param maxSegmentBytes segment size in bytes after which the log starts another segment
   * @param storeId the two halves of the store's identity, used if a log is created
   * @param store the empty store to fill
   * @throws IOException if the log cannot be read
   */
  static WriteAheadLog open(
      StorageDirectory directory,
      long maxSegmentBytes,
      long[] storeId,
      KeyValueStore store,
      MonotonicTime now)
      throws IOException {
    StoreRecovery recovery = new StoreRecovery(store, now);
    return WriteAheadLog.open(directory, maxSegmentBytes, storeId[0], storeId[1], recovery);
  }

  /** Decodes a write batch of a log or of a backup. */
  static WriteBatch decode(byte[] bytes) throws IOException {
    try {
      return WriteBatch.decode(bytes);
    } catch (InvalidMessageException exception) {
      throw new IOException(
          "record was written by an incompatible version: " + exception.getMessage(), exception);
    }
  }

  @Override
  public void onSnapshotPart(byte[] part) throws IOException {
    WriteBatch batch = decode(part);
    // Keys are sorted by name, so their revisions are in no particular order.
    revision = Math.max(revision, batch.revision());
    store.apply(batch, now);
  }

  @Override
  public void onSnapshotEnd(long nextSequence) {
    store.onRestored(revision);
  }

  @Override
  public void onEntry(long sequence, byte[] entry) throws IOException {
    store.apply(decode(entry), now);
  }
}
