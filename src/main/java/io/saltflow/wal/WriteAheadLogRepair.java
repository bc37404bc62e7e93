package io.saltflow.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Repairs a write-ahead log that cannot be opened because of corruption. */
public final class WriteAheadLogRepair {
  /** Name prefix of the files that keep the data removed by a repair. */
  private static final String KEPT_PREFIX = "damaged-";

  private WriteAheadLogRepair() {}

  /**
   * Truncates the log before the corruption. The removed data is kept in files whose names start
   * with {@code damaged-}.
   *
   * @return messages for the operator about the actions taken
   * @throws IOException if the corrupt file is a snapshot, which cannot be repaired
   */
  public static List<String> repair(StorageDirectory directory, CorruptFileException corruption)
      throws IOException {
    List<String> actions = new ArrayList<>();
    if (corruption.file().startsWith(LogFileNames.SNAPSHOT_PREFIX)) {
      throw new IOException(
          corruption.file() + ": a snapshot cannot be repaired; restore a backup instead");
    }
    for (String name : directory.fileNames()) {
      if (name.startsWith(LogFileNames.SEGMENT_PREFIX) && name.compareTo(corruption.file()) > 0) {
        directory.rename(name, KEPT_PREFIX + name);
        actions.add(name + " comes after the damage: it is kept as " + KEPT_PREFIX + name);
      }
    }
    if (corruption.offset() < FileHeader.BYTES) {
      directory.rename(corruption.file(), KEPT_PREFIX + corruption.file());
      actions.add(corruption.file() + " is kept as " + KEPT_PREFIX + corruption.file());
    } else {
      byte[] contents = directory.read(corruption.file(), 0, Integer.MAX_VALUE);
      directory.append(KEPT_PREFIX + corruption.file(), ByteBuffer.wrap(contents));
      directory.sync(KEPT_PREFIX + corruption.file());
      directory.truncate(corruption.file(), corruption.offset());
      directory.sync(corruption.file());
      actions.add(
          corruption.file()
              + " is cut off at byte "
              + corruption.offset()
              + "; as it was it is kept as "
              + KEPT_PREFIX
              + corruption.file());
    }
    directory.syncDirectory();
    return actions;
  }
}
