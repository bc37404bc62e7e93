package io.saltflow.wal;

import java.io.IOException;

/** Reads a file written by {@link RecordFileWriter} with a bounded buffer. */
final class RecordFileReader {
  private static final int BUFFER_BYTES = 4 << 20;

  private final StorageDirectory directory;
  private final String name;
  private final long salt;
  private byte[] buffer = new byte[0];
  private long bufferStart = FileHeader.BYTES;
  private int position;

  RecordFileReader(StorageDirectory directory, String name, long salt) {
    this.salt = salt;
    this.directory = directory;
    this.name = name;
  }

  long offset() {
    return bufferStart + position;
  }

  /** Returns the next record, or {@code null} if no valid record follows. */
  LogRecord next() throws IOException {
    LogRecord record = LogRecord.decodeAt(buffer, position, salt);
    for (int bytesToRead = BUFFER_BYTES; record == null; bytesToRead *= 4) {
      bufferStart += position;
      position = 0;
      buffer = directory.read(name, bufferStart, bytesToRead);
      boolean reachedEnd = buffer.length < bytesToRead;
      record = LogRecord.decodeAt(buffer, 0, salt);
      if (record == null && (reachedEnd || bytesToRead > (1 << 28))) {
        return null;
      }
    }
    position += record.size();
    return record;
  }

  /**
   * Reads all items up to the terminating empty record.
   *
   * @throws CorruptFileException if the file is not complete
   */
  void readAll(BackupFile.ItemConsumer consumer) throws IOException {
    long count = 0;
    while (true) {
      LogRecord record = next();
      if (record == null || record.firstSequence() != count) {
        throw new CorruptFileException(name, offset(), "a part is not whole");
      }
      if (record.entries().isEmpty()) {
        return;
      }
      for (byte[] entry : record.entries()) {
        consumer.accept(entry);
      }
      count = record.nextSequence();
    }
  }
}
