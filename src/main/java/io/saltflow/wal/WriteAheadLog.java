package io.saltflow.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A write-ahead log. Entries are numbered from 1 and stored in segment files; a snapshot replaces
 * earlier entries. Entries survive any crash once {@link #append} has returned. An interrupted
 * append is recovered either completely or not at all, and never without the entries before it. Not
 * thread-safe. A {@link SnapshotWriter} may be used between appends.
 *
 * <p>Torn writes and corruption both appear as an invalid record. Each record therefore holds the
 * last sequence number that was durable when it was written. An invalid record is treated as a torn
 * write and truncated unless a later record shows that it was durable. No record follows the last
 * one, so {@link #writeDurabilityMark} must be called when the log is idle.
 */
public final class WriteAheadLog {
  /** Receives the contents when a log is opened, starting with the items of the snapshot. */
  public interface ReplayHandler {
    /** Receives an item of the snapshot. */
    void onSnapshotPart(byte[] part) throws IOException;

    /** Called at the end of a snapshot, which replaces all entries before the sequence number. */
    void onSnapshotEnd(long nextSequence) throws IOException;

    /** Receives an entry. */
    void onEntry(long sequence, byte[] entry) throws IOException;
  }

  private final StorageDirectory directory;
  private final long maxSegmentBytes;
  private final long storeIdHigh;
  private final long storeIdLow;
  private final long salt;
  private final List<String> recoveryNotes;
  private String segment;
  private long segmentBytes;
  private long nextSequence;
  private long bytesWritten;
  private boolean markWritten = true;
  private boolean tailUncertain;

  private WriteAheadLog(StorageDirectory directory, long maxSegmentBytes, LogRecovery recovery) {
    this.directory = directory;
    this.maxSegmentBytes = maxSegmentBytes;
    storeIdHigh = recovery.storeIdHigh();
    storeIdLow = recovery.storeIdLow();
    salt = recovery.salt();
    recoveryNotes = recovery.notes();
    segment = recovery.segment();
    segmentBytes = recovery.segmentBytes();
    nextSequence = recovery.nextSequence();
  }

  /**
   * Opens a log and replays it, or creates one in an empty directory.
   *
   * @param maxSegmentBytes segment size in bytes after which the log starts another segment
   * @param storeIdHigh the first half of the store's identity, used if a log is created
   * @param storeIdLow the second half
   * @throws CorruptFileException if durable data cannot be read
   */
  public static WriteAheadLog open(
      StorageDirectory directory,
      long maxSegmentBytes,
      long storeIdHigh,
      long storeIdLow,
      ReplayHandler handler)
      throws IOException {
    LogRecovery recovery = new LogRecovery(directory, storeIdHigh, storeIdLow, handler);
    recovery.run();
    WriteAheadLog log = new WriteAheadLog(directory, maxSegmentBytes, recovery);
    if (log.segment == null) {
      log.beginSegment();
    }
    return log;
  }

  /** Returns messages for the operator about what recovery found and repaired. */
  public List<String> recoveryNotes() {
    return recoveryNotes;
  }

  /** Returns the number of bytes of records written since the log was opened. */
  public long bytesWritten() {
    return bytesWritten;
  }

  /** Returns the sequence number of the next entry. */
  public long nextSequence() {
    return nextSequence;
  }

  /** Returns the two halves of the store's identity. */
  public long[] storeId() {
    return new long[] {storeIdHigh, storeIdLow};
  }

  private void beginSegment() throws IOException {
    String name = LogFileNames.segment(nextSequence);
    if (directory.fileNames().contains(name)) {
      // An earlier attempt to create the segment failed.
      directory.truncate(name, 0);
    }
    directory.append(
        name, new FileHeader(FileHeader.SEGMENT, storeIdHigh, storeIdLow, nextSequence).encode());
    directory.sync(name);
    directory.syncDirectory();
    segment = name;
    segmentBytes = FileHeader.BYTES;
    markWritten = true;
  }

  /**
   * Appends entries as a single record, which is durable once this method returns.
   *
   * @throws IOException if the write failed, in which case the log contains none of the entries
   */
  public void append(List<byte[]> entries) throws IOException {
    if (segmentBytes >= maxSegmentBytes && !tailUncertain) {
      // Recovery infers from the new segment that the full one is durable.
      beginSegment();
    }
    write(new LogRecord(nextSequence - 1, nextSequence, entries));
    nextSequence += entries.size();
    markWritten = false;
  }

  /** Records that the last entries are durable, unless this is already recorded. */
  public void writeDurabilityMark() throws IOException {
    if (!markWritten) {
      write(new LogRecord(nextSequence - 1, nextSequence, List.of()));
      markWritten = true;
    }
  }

  private void write(LogRecord record) throws IOException {
    truncateUncertainTail();
    ByteBuffer bytes = record.encode(salt);
    int length = bytes.remaining();
    try {
      directory.append(segment, bytes);
      directory.sync(segment);
      segmentBytes += length;
      bytesWritten += length;
    } catch (IOException exception) {
      // No record may follow an incomplete one, and the effect of a failed sync is unknown.
      tailUncertain = true;
      try {
        truncateUncertainTail();
      } catch (IOException suppressed) {
        exception.addSuppressed(suppressed);
      }
      throw exception;
    }
  }

  private void truncateUncertainTail() throws IOException {
    if (tailUncertain) {
      directory.truncate(segment, segmentBytes);
      directory.sync(segment);
      tailUncertain = false;
    }
  }

  /**
   * Checks whether the disk accepts writes again after a failed write.
   *
   * @throws IOException if it does not
   */
  public void probe() throws IOException {
    write(new LogRecord(nextSequence - 1, nextSequence, List.of()));
    markWritten = true;
  }

  /** Starts a snapshot that replaces all entries so far. Entries may be appended meanwhile. */
  public SnapshotWriter beginSnapshot() {
    return new SnapshotWriter(nextSequence);
  }

  /** Writes a snapshot one part at a time. */
  public final class SnapshotWriter {
    private final long snapshotSequence;
    private final String name;
    private RecordFileWriter file;

    private SnapshotWriter(long snapshotSequence) {
      this.snapshotSequence = snapshotSequence;
      this.name = LogFileNames.snapshot(snapshotSequence);
    }

    private RecordFileWriter file() throws IOException {
      if (file == null) {
        file =
            new RecordFileWriter(
                directory,
                name + LogFileNames.TEMPORARY_SUFFIX,
                new FileHeader(FileHeader.SNAPSHOT, storeIdHigh, storeIdLow, snapshotSequence));
      }
      return file;
    }

    /** Writes a part that consists of one or more items. */
    public void append(List<byte[]> items) throws IOException {
      file().append(items);
    }

    /** Makes the complete snapshot durable and deletes the files that it replaces. */
    public void finish() throws IOException {
      file().finish();
      directory.rename(name + LogFileNames.TEMPORARY_SUFFIX, name);
      directory.syncDirectory();
      deleteObsoleteFiles();
    }

    private void deleteObsoleteFiles() throws IOException {
      List<String> segments = new ArrayList<>();
      for (String other : directory.fileNames()) {
        if (other.startsWith(LogFileNames.SNAPSHOT_PREFIX) && other.compareTo(name) < 0) {
          directory.delete(other);
        }
        if (other.startsWith(LogFileNames.SEGMENT_PREFIX)) {
          segments.add(other);
        }
      }
      // A segment is obsolete if the snapshot includes all entries before the next segment.
      for (int i = 0; i + 1 < segments.size(); i++) {
        if (segments.get(i + 1).compareTo(LogFileNames.segment(snapshotSequence)) <= 0) {
          directory.delete(segments.get(i));
        }
      }
    }
  }
}
