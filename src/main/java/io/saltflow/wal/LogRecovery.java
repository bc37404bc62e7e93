package io.saltflow.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Recovers a write-ahead log: replays its snapshot and segments, truncates a torn write, and
 * determines where the log continues.
 */
final class LogRecovery {
  private final StorageDirectory directory;
  private final WriteAheadLog.ReplayHandler handler;
  private final List<String> notes = new ArrayList<>();
  private long storeIdHigh;
  private long storeIdLow;
  private long salt;
  private String segment;
  private long segmentBytes;
  private long nextSequence = 1;

  /**
   * Creates a recovery.
   *
   * @param storeIdHigh the first half of the store's identity, used if a log is created
   * @param storeIdLow the second half
   */
  LogRecovery(
      StorageDirectory directory,
      long storeIdHigh,
      long storeIdLow,
      WriteAheadLog.ReplayHandler handler) {
    this.directory = directory;
    this.handler = handler;
    this.storeIdHigh = storeIdHigh;
    this.storeIdLow = storeIdLow;
  }

  /**
   * Replays the log and repairs a torn write.
   *
   * @throws CorruptFileException if durable data cannot be read
   */
  void run() throws IOException {
    List<String> snapshots = new ArrayList<>();
    List<String> segments = new ArrayList<>();
    for (String name : directory.fileNames()) {
      if (name.endsWith(LogFileNames.TEMPORARY_SUFFIX)) {
        directory.delete(name);
      } else if (name.startsWith(LogFileNames.SNAPSHOT_PREFIX)) {
        snapshots.add(name);
      } else if (name.startsWith(LogFileNames.SEGMENT_PREFIX)) {
        segments.add(name);
      }
    }
    FileHeader storeHeader = snapshots.isEmpty() ? null : readLatestSnapshot(snapshots);
    if (storeHeader == null && !segments.isEmpty()) {
      storeHeader = firstSegmentHeader(segments);
    }
    if (storeHeader != null) {
      storeIdHigh = storeHeader.storeIdHigh();
      storeIdLow = storeHeader.storeIdLow();
    }
    salt = new FileHeader(FileHeader.SEGMENT, storeIdHigh, storeIdLow, 0).salt();
    readSegments(segments, storeHeader);
  }

  /** Returns the first half of the store's identity. */
  long storeIdHigh() {
    return storeIdHigh;
  }

  /** Returns the second half of the store's identity. */
  long storeIdLow() {
    return storeIdLow;
  }

  /** Returns the salt for the records' checksums. */
  long salt() {
    return salt;
  }

  /** Returns messages for the operator about what was found and repaired. */
  List<String> notes() {
    return List.copyOf(notes);
  }

  /** Returns the segment to append to, or {@code null} if a new one is needed. */
  String segment() {
    return segment;
  }

  /** Returns the size of the segment to append to, in bytes. */
  long segmentBytes() {
    return segmentBytes;
  }

  /** Returns the sequence number of the next entry. */
  long nextSequence() {
    return nextSequence;
  }

  /** Replays the latest snapshot. Older ones may remain after a crash that prevented deletion. */
  private FileHeader readLatestSnapshot(List<String> snapshots) throws IOException {
    String latest = snapshots.get(snapshots.size() - 1);
    FileHeader header = readHeader(latest, FileHeader.SNAPSHOT, null);
    nextSequence = header.firstSequence();
    new RecordFileReader(directory, latest, header.salt()).readAll(handler::onSnapshotPart);
    handler.onSnapshotEnd(nextSequence);
    return header;
  }

  /** Returns the first segment's header, or {@code null} if it is torn in the only segment. */
  private FileHeader firstSegmentHeader(List<String> segments) throws IOException {
    if (segments.size() == 1 && isTornHeader(segments.get(0))) {
      return null;
    }
    return readHeader(segments.get(0), FileHeader.SEGMENT, null);
  }

  private FileHeader readHeader(String name, String kind, FileHeader expectedStore)
      throws IOException {
    FileHeader header = FileHeader.decode(directory.read(name, 0, FileHeader.BYTES));
    if (header == null || !header.kind().equals(kind) || !name.equals(nameOf(header))) {
      throw new CorruptFileException(name, 0, "it does not begin as it should");
    }
    if (expectedStore != null
        && (header.storeIdHigh() != expectedStore.storeIdHigh()
            || header.storeIdLow() != expectedStore.storeIdLow())) {
      throw new CorruptFileException(name, 0, "it is another store's");
    }
    return header;
  }

  private static String nameOf(FileHeader header) {
    return header.kind().equals(FileHeader.SEGMENT)
        ? LogFileNames.segment(header.firstSequence())
        : LogFileNames.snapshot(header.firstSequence());
  }

  private void readSegments(List<String> segments, FileHeader storeHeader) throws IOException {
    for (int i = 0; i < segments.size(); i++) {
      String name = segments.get(i);
      boolean isLast = i + 1 == segments.size();
      if (isLast && isTornHeader(name)) {
        notes.add(name + ": was being begun when the process ended; it is deleted");
        directory.delete(name);
        directory.syncDirectory();
        return;
      }
      FileHeader header = readHeader(name, FileHeader.SEGMENT, storeHeader);
      if (header.firstSequence() > nextSequence) {
        throw new CorruptFileException(
            name,
            0,
            "entries " + nextSequence + " to " + (header.firstSequence() - 1) + " are missing");
      }
      readSegment(name, header.firstSequence(), isLast);
    }
  }

  /** Returns whether the file holds only a torn header because its creation was interrupted. */
  private boolean isTornHeader(String name) throws IOException {
    return directory.size(name) <= FileHeader.BYTES
        && FileHeader.decode(directory.read(name, 0, FileHeader.BYTES)) == null;
  }

  private void readSegment(String name, long firstSequence, boolean isLast) throws IOException {
    byte[] bytes = directory.read(name, 0, Integer.MAX_VALUE);
    int offset = FileHeader.BYTES;
    long sequence = firstSequence;
    while (offset < bytes.length) {
      LogRecord record = LogRecord.decodeAt(bytes, offset, salt);
      if (record == null || record.firstSequence() != sequence) {
        if (!isLast) {
          throw new CorruptFileException(name, offset, "entry " + sequence + " is not whole");
        }
        truncateTornTail(name, bytes, offset, sequence);
        break;
      }
      for (byte[] entry : record.entries()) {
        // The snapshot may already include the first entries of a segment.
        if (sequence >= nextSequence) {
          handler.onEntry(sequence, entry);
          nextSequence = sequence + 1;
        }
        sequence++;
      }
      offset += record.size();
    }
    if (isLast) {
      segment = name;
      segmentBytes = offset;
      if (sequence < nextSequence) {
        // The snapshot extends beyond the segment. The next entry needs a segment that starts with
        // its sequence number.
        segment = null;
      }
    }
  }

  /**
   * Truncates a torn write at the end of the last segment.
   *
   * @throws CorruptFileException if a later record shows that the invalid data was durable
   */
  private void truncateTornTail(String name, byte[] bytes, int offset, long sequence)
      throws IOException {
    for (int laterOffset = offset + 1; laterOffset < bytes.length; laterOffset++) {
      LogRecord later = LogRecord.decodeAt(bytes, laterOffset, salt);
      if (later != null && later.durableUpTo() >= sequence && later.firstSequence() >= sequence) {
        throw new CorruptFileException(
            name, offset, "entry " + sequence + " is not whole, and was durable");
      }
    }
    notes.add(
        name
            + ": "
            + (bytes.length - offset)
            + " bytes that were never answered are cut off at "
            + offset);
    directory.truncate(name, offset);
    directory.sync(name);
  }
}
