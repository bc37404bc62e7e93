package io.saltflow.queues;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Queues log entries, groups them into batches of which at most one is in flight, and runs
 * callbacks after they are recorded. The entries of one unit are recorded together or not at all.
 */
final class Recorder {
  /** The live entries of the log, by key. Cleaning rewrites them into later batches. */
  interface LiveEntries {
    Entry entry(Object key);

    void moved(Object key, long batch);

    /** Returns the estimated size of all live entries, in bytes. */
    long liveBytes();
  }

  /**
   * @param onDropped called if the unit is rejected, or null if it cannot be rejected
   */
  private record Unit(List<Entry> entries, Runnable onRecorded, Runnable onDropped) {
    int size() {
      return EntryCodec.size(entries);
    }
  }

  private final SegmentCleaner cleaner;
  private final LiveEntries liveEntries;

  /**
   * Units of messages that are already recorded. They are queued apart from new publishes, so that
   * deliveries and completions do not wait behind a burst of publishes. The order between the two
   * queues does not matter, because the first entry of a message is durable before the message has
   * another.
   */
  private final ArrayDeque<Unit> updates = new ArrayDeque<>();

  private final ArrayDeque<Unit> publishes = new ArrayDeque<>();
  private List<Unit> inFlight;
  private RecordBatch batch;

  Recorder(SegmentCleaner cleaner, LiveEntries liveEntries) {
    this.cleaner = cleaner;
    this.liveEntries = liveEntries;
  }

  void add(List<Entry> entries, Runnable recorded, Runnable dropped) {
    Unit unit = new Unit(entries, recorded, dropped);
    queueOf(unit).add(unit);
  }

  private ArrayDeque<Unit> queueOf(Unit unit) {
    return unit.onDropped == null ? updates : publishes;
  }

  boolean hasPending() {
    return batch == null && !(updates.isEmpty() && publishes.isEmpty());
  }

  /** Returns the number of the batch in flight. */
  long batchNumber() {
    return batch.number();
  }

  /** Rejects all publishes that are not in the batch in flight. */
  void dropPendingPublishes() {
    while (!publishes.isEmpty()) {
      publishes.poll().onDropped.run();
    }
  }

  /**
   * Returns the next batch, or {@code null} if there is nothing to record now. The batch holds at
   * least one unit and further units up to about {@code maxBytes}. If the log needs cleaning, the
   * remaining bytes are used for live entries of the oldest batch.
   */
  RecordBatch next(int maxBytes) {
    if (!hasPending()) {
      return null;
    }
    cleaner.discardDeadBatches();
    inFlight = new ArrayList<>();
    List<Entry> entries = new ArrayList<>();
    // Reserves half of the batch for publishes, so that updates cannot starve them.
    int size = take(updates, 0, publishes.isEmpty() ? maxBytes : maxBytes / 2, entries);
    size = take(publishes, size, maxBytes, entries);
    size = take(updates, size, maxBytes, entries);
    if (cleaner.needsCleaning(liveEntries.liveBytes())) {
      // Rewritten entries precede new ones, which may end the same messages: replay applies a
      // batch in order, and the latest entry of a message must stand last.
      entries.addAll(0, clean(maxBytes - size));
    }
    batch = new RecordBatch(cleaner.next(), cleaner.tail(), entries);
    return batch;
  }

  private int take(ArrayDeque<Unit> from, int before, int maxBytes, List<Entry> entries) {
    int size = before;
    while (!from.isEmpty() && (inFlight.isEmpty() || size + from.peek().size() <= maxBytes)) {
      Unit unit = from.poll();
      size += unit.size();
      inFlight.add(unit);
      entries.addAll(unit.entries);
    }
    return size;
  }

  /** Returns live entries of the oldest batch up to this size, to be rewritten. */
  private List<Entry> clean(int maxBytes) {
    List<Entry> entries = new ArrayList<>();
    int remaining = maxBytes;
    for (Object key : cleaner.liveInOldestBatch()) {
      Entry entry = liveEntries.entry(key);
      remaining -= EntryCodec.size(entry);
      if (remaining < 0) {
        break;
      }
      entries.add(entry);
      inFlight.add(new Unit(List.of(), () -> liveEntries.moved(key, batchNumber()), null));
    }
    return entries;
  }

  /** Marks the batch in flight as durable and runs the callbacks of its units. */
  void recorded(int chunks) {
    cleaner.recorded(batch.number(), chunks, EntryCodec.size(batch.entries()));
    List<Unit> units = inFlight;
    inFlight = null;
    units.forEach(u -> u.onRecorded.run());
    batch = null;
  }

  /**
   * Handles a batch that exceeds the size of a transaction. A single unit that is too large is
   * rejected if possible. Returns {@code false} if it cannot be rejected, so that no smaller batch
   * can be recorded.
   */
  boolean tooLarge() {
    List<Unit> nonEmpty = inFlight.stream().filter(u -> !u.entries.isEmpty()).toList();
    notRecorded();
    if (nonEmpty.size() > 1) {
      return true;
    }
    Unit oversized = nonEmpty.get(0);
    if (oversized.onDropped == null) {
      return false;
    }
    publishes.remove(oversized);
    oversized.onDropped.run();
    return true;
  }

  /** Returns the units of a batch that will never become durable to the front of their queues. */
  void notRecorded() {
    List<Unit> units = inFlight;
    inFlight = null;
    batch = null;
    for (int i = units.size() - 1; i >= 0; i--) {
      if (!units.get(i).entries.isEmpty()) {
        queueOf(units.get(i)).addFirst(units.get(i));
      }
    }
  }
}
