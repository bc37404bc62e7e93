package io.saltflow.wal;

/** Names of a write-ahead log's files. They sort in the order of the sequence numbers in them. */
final class LogFileNames {
  static final String SEGMENT_PREFIX = "log-";
  static final String SNAPSHOT_PREFIX = "snap-";

  /** Suffix of the name of an incomplete snapshot. */
  static final String TEMPORARY_SUFFIX = ".new";

  private LogFileNames() {}

  /** Returns the name of the segment that starts with the entry with this sequence number. */
  static String segment(long firstSequence) {
    return SEGMENT_PREFIX + String.format("%016x", firstSequence);
  }

  /** Returns the name of the snapshot that replaces all entries before this sequence number. */
  static String snapshot(long firstSequence) {
    return SNAPSHOT_PREFIX + String.format("%016x", firstSequence);
  }
}
