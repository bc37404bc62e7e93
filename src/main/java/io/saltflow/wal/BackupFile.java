package io.saltflow.wal;

import java.io.IOException;
import java.util.List;

/** A backup of a store in a single file of records, which ends with an empty record. */
public final class BackupFile {
  private static final String KIND = "SALTBAK1";

  private final StorageDirectory directory;
  private final RecordFileWriter file;

  /**
   * Creates a backup file.
   *
   * @param storeId the two halves of the identity of the store
   */
  public BackupFile(StorageDirectory directory, String name, long[] storeId) throws IOException {
    this.directory = directory;
    file = new RecordFileWriter(directory, name, new FileHeader(KIND, storeId[0], storeId[1], 0));
  }

  /** Writes the items, of which there must be at least one, as a record. */
  public void append(List<byte[]> items) throws IOException {
    file.append(items);
  }

  /** Completes the file. The file is durable once this method returns. */
  public void finish() throws IOException {
    file.finish();
    directory.syncDirectory();
  }

  /** Receives the items of a backup. */
  public interface ItemConsumer {
    /** Receives one item of the backup. */
    void accept(byte[] item) throws IOException;
  }

  /**
   * Reads all items of a backup.
   *
   * @throws CorruptFileException if the file is not a complete backup
   */
  public static void read(StorageDirectory directory, String name, ItemConsumer consumer)
      throws IOException {
    FileHeader header = FileHeader.decode(directory.read(name, 0, FileHeader.BYTES));
    if (header == null || !header.kind().equals(KIND)) {
      throw new CorruptFileException(name, 0, "not a backup of a key-value store");
    }
    new RecordFileReader(directory, name, header.salt()).readAll(consumer);
  }
}
