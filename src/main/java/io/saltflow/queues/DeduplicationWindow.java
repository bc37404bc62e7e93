package io.saltflow.queues;

import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The digests of completed messages' ids, bounded in number and age. */
final class DeduplicationWindow {
  private static final class Completion {
    final long wallMs;
    long batch;

    Completion(long wallMs) {
      this.wallMs = wallMs;
    }
  }

  private final Map<MessageDigest128, Completion> completions = new LinkedHashMap<>();
  private final int maxIds;
  private final TimeSpan retention;
  private final SegmentCleaner cleaner;

  DeduplicationWindow(int maxIds, TimeSpan retention, SegmentCleaner cleaner) {
    this.maxIds = maxIds;
    this.retention = retention;
    this.cleaner = cleaner;
  }

  boolean contains(MessageDigest128 digest) {
    return completions.containsKey(digest);
  }

  /**
   * Returns when the message was completed, in milliseconds, or {@code null} if it is not within
   * the window.
   */
  Long completedAt(MessageDigest128 digest) {
    Completion ending = completions.get(digest);
    return ending == null ? null : ending.wallMs;
  }

  /**
   * Sets the batch that holds the entry of a completed id. A later batch replaces an earlier one.
   */
  void put(MessageDigest128 digest, long wallMs, long batch) {
    Completion ending = completions.computeIfAbsent(digest, d -> new Completion(wallMs));
    cleaner.moveLive(digest, ending.batch, batch);
    ending.batch = batch;
  }

  /**
   * Orders the ids by the time of their completion. Must be called after the log was replayed,
   * which has the ids in the order in which they were written last.
   */
  void sort() {
    List<Map.Entry<MessageDigest128, Completion>> sorted = new ArrayList<>(completions.entrySet());
    sorted.sort(Comparator.comparingLong(entry -> entry.getValue().wallMs));
    completions.clear();
    sorted.forEach(entry -> completions.put(entry.getKey(), entry.getValue()));
  }

  /** Removes the ids that are too old or too many, those completed first before the others. */
  void removeExpired(long wallMs) {
    Iterator<Map.Entry<MessageDigest128, Completion>> it = completions.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<MessageDigest128, Completion> entry = it.next();
      if (completions.size() <= maxIds && wallMs - entry.getValue().wallMs <= retention.ms()) {
        return;
      }
      it.remove();
      cleaner.removeLive(entry.getKey(), entry.getValue().batch);
    }
  }

  int size() {
    return completions.size();
  }
}
