package io.saltflow.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Writes a file for {@link RecordFileReader}. It consists of a header, records with items and a
 * terminating empty record.
 */
final class RecordFileWriter {
  private static final long SYNC_INTERVAL_BYTES = 1 << 20;

  private final StorageDirectory directory;
  private final String name;
  private final long salt;
  private long count;
  private long unsyncedBytes;

  /** Creates the file, replacing an incomplete one from an earlier attempt. */
  RecordFileWriter(StorageDirectory directory, String name, FileHeader header) throws IOException {
    this.directory = directory;
    this.name = name;
    salt = header.salt();
    if (directory.fileNames().contains(name)) {
      directory.delete(name);
    }
    directory.append(name, header.encode());
  }

  /** Writes the items, of which there must be at least one, as a record. */
  void append(List<byte[]> items) throws IOException {
    ByteBuffer bytes = new LogRecord(0, count, items).encode(salt);
    unsyncedBytes += bytes.remaining();
    directory.append(name, bytes);
    count += items.size();
    if (unsyncedBytes > SYNC_INTERVAL_BYTES) {
      // A single sync of the whole file at the end would stall concurrent log writes.
      directory.sync(name);
      unsyncedBytes = 0;
    }
  }

  /** Completes the file. Its contents are then durable, but not its directory entry. */
  void finish() throws IOException {
    directory.append(name, new LogRecord(0, count, List.of()).encode(salt));
    directory.sync(name);
  }
}
