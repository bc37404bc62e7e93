package io.saltflow.store;

import io.saltflow.model.MonotonicTime;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The records that share one key, and their pending changes. A record that has moved to a later
 * page leaves a copy here until it is stored there.
 */
final class RecordPage<T> {
  /** The braces of an encoded page. */
  static final int EMPTY_PAGE_BYTES = 2;

  /** Maximum factor by which permanent rejections lengthen the write interval of a page. */
  private static final int MAX_BACKOFF_FACTOR = 64;

  private final GuardedKey key;
  private final RecordFormat<T> format;
  private final Map<String, T> records = new LinkedHashMap<>();

  /** Records that have moved to later pages but may not be stored there yet. */
  private final Map<String, T> movedCopies = new LinkedHashMap<>();

  /** Names of copies that hold more than the record's present form, and are never rewritten. */
  private final Set<String> retainedCopies = new HashSet<>();

  /** Names of records for whose next write an operation waits. */
  private final Set<String> urgent = new HashSet<>();

  private int maxEncodedBytes = EMPTY_PAGE_BYTES;
  private boolean dirty;
  private MonotonicTime lastWriteAt = MonotonicTime.LONG_AGO;
  private int backoffFactor = 1;

  RecordPage(GuardedKey key, RecordFormat<T> format) {
    this.key = key;
    this.format = format;
  }

  GuardedKey key() {
    return key;
  }

  /** Returns the records that are assigned to this page, in insertion order. */
  Map<String, T> records() {
    return records;
  }

  /** Returns copies of records that have moved to later pages. */
  Collection<T> movedCopies() {
    return movedCopies.values();
  }

  void add(T record) {
    records.put(format.name(record), record);
    maxEncodedBytes += format.maxEncodedBytes(record);
  }

  void remove(String name) {
    maxEncodedBytes -= format.maxEncodedBytes(records.remove(name));
    urgent.remove(name);
  }

  /** Removes a record that is now assigned to another page, but keeps a copy of it. */
  void leaveMovedCopy(String name) {
    movedCopies.put(name, records.remove(name));
  }

  /** Drops the copy of a moved record and returns whether there was one. */
  boolean dropMovedCopy(String name) {
    T copy = movedCopies.remove(name);
    retainedCopies.remove(name);
    if (copy != null) {
      maxEncodedBytes -= format.maxEncodedBytes(copy);
    }
    return copy != null;
  }

  /**
   * Keeps the stored copy, which holds more than the record's present form, from being rewritten.
   */
  void retainCopy(String name) {
    retainedCopies.add(name);
  }

  /** Returns whether there is a copy that may be dropped once the record is stored elsewhere. */
  boolean hasDroppableCopy(String name) {
    return movedCopies.containsKey(name) && !retainedCopies.contains(name);
  }

  boolean hasRoomFor(int bytes, int maxPageBytes) {
    return maxEncodedBytes + bytes <= maxPageBytes && retainedCopies.isEmpty();
  }

  /** Returns whether records must move to later pages before this page can be written. */
  boolean mustSplit(int maxPageBytes) {
    boolean singleRecord = records.size() + movedCopies.size() <= 1;
    return !retainedCopies.isEmpty() || (maxEncodedBytes > maxPageBytes && !singleRecord);
  }

  /** Measures the page again, since the maximum record sizes depend on the limits. */
  void measure() {
    maxEncodedBytes = EMPTY_PAGE_BYTES;
    records.values().forEach(record -> maxEncodedBytes += format.maxEncodedBytes(record));
    movedCopies.values().forEach(record -> maxEncodedBytes += format.maxEncodedBytes(record));
  }

  int maxEncodedBytes() {
    return maxEncodedBytes;
  }

  boolean isDirty() {
    return dirty;
  }

  void markDirty() {
    dirty = true;
  }

  void markUrgent(String name) {
    urgent.add(name);
  }

  /** Clears the record's urgent mark and returns whether it was set. */
  boolean clearUrgent(String name) {
    return urgent.remove(name);
  }

  boolean hasUrgent() {
    return !urgent.isEmpty();
  }

  List<String> urgentNames() {
    return List.copyOf(urgent);
  }

  /** Returns whether the write interval, including backoff, has elapsed since the last attempt. */
  boolean isWriteDue(MonotonicTime now, long writeIntervalMs) {
    return now.since(lastWriteAt).ms() >= writeIntervalMs * backoffFactor;
  }

  /** Records an attempt to write the page or to read its revision. */
  void onAttempt(MonotonicTime now) {
    lastWriteAt = now;
  }

  /**
   * Clears the dirty and urgent marks, as a write of all changes begins.
   *
   * @return the names of the urgent records
   */
  Set<String> beginWrite() {
    Set<String> urgentNames = Set.copyOf(urgent);
    urgent.clear();
    dirty = false;
    return urgentNames;
  }

  void resetBackoff() {
    backoffFactor = 1;
  }

  void increaseBackoff() {
    backoffFactor = Math.min(MAX_BACKOFF_FACTOR, backoffFactor * 2);
  }
}
