package io.saltflow.queues;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks which batches of the log still hold live entries, after the segment cleaner of Rosenblum
 * and Ousterhout ("The Design and Implementation of a Log-Structured File System", 1992). Live
 * entries of the oldest batches are rewritten, so that those batches can be deleted.
 */
final class SegmentCleaner {
  /** Number of chunks up to which the log is never cleaned. */
  private static final int MIN_CHUNKS_TO_CLEAN = 16;

  /** Largest allowed ratio of the log's size to the size of its live entries. */
  private static final int MAX_LOG_TO_LIVE_RATIO = 3;

  /** The size of a batch in chunks and in bytes before compression. */
  private record BatchSize(int chunks, long bytes) {}

  private final TreeMap<Long, Set<Object>> live = new TreeMap<>();
  private final TreeMap<Long, BatchSize> batchSizes = new TreeMap<>();
  private long next = 1;
  private long usedChunks;
  private long usedBytes;

  long next() {
    return next;
  }

  /** Returns the first batch that may hold live entries. Earlier batches hold none. */
  long tail() {
    return live.isEmpty() ? next : live.firstKey();
  }

  /** Adds a batch that was recorded or found during replay. */
  void recorded(long number, int chunks, long bytes) {
    next = number + 1;
    batchSizes.put(number, new BatchSize(chunks, bytes));
    usedChunks += chunks;
    usedBytes += bytes;
  }

  /**
   * Moves the live entry of a key to another batch. A {@code from} of 0 means that it had no entry.
   */
  void moveLive(Object key, long from, long to) {
    removeLive(key, from);
    live.computeIfAbsent(to, n -> new LinkedHashSet<>()).add(key);
  }

  void removeLive(Object key, long from) {
    Set<Object> keys = live.get(from);
    if (keys != null && keys.remove(key) && keys.isEmpty()) {
      live.remove(from);
    }
  }

  /**
   * Discards the sizes of batches before the tail. Must not be called while a batch is being
   * processed, because its live entries may not have been added yet.
   */
  void discardDeadBatches() {
    Map.Entry<Long, BatchSize> oldest = batchSizes.firstEntry();
    while (oldest != null && oldest.getKey() < tail()) {
      BatchSize discarded = batchSizes.pollFirstEntry().getValue();
      usedChunks -= discarded.chunks;
      usedBytes -= discarded.bytes;
      oldest = batchSizes.firstEntry();
    }
  }

  /** Returns whether the log is too long for this number of live bytes before compression. */
  boolean needsCleaning(long liveBytes) {
    return usedChunks > MIN_CHUNKS_TO_CLEAN && usedBytes > MAX_LOG_TO_LIVE_RATIO * liveBytes;
  }

  /** Returns the keys of the live entries in the oldest batch. */
  List<Object> liveInOldestBatch() {
    return live.isEmpty() ? List.of() : new ArrayList<>(live.firstEntry().getValue());
  }

  long usedChunks() {
    return usedChunks;
  }
}
