package io.saltflow.kvserver;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.Mutation;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.wal.BackupFile;
import io.saltflow.wal.CorruptFileException;
import io.saltflow.wal.ReadOnlyDirectory;
import io.saltflow.wal.StorageDirectory;
import io.saltflow.wal.WriteAheadLog;
import io.saltflow.wal.WriteAheadLogRepair;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Offline maintenance of a data directory: check, dump, snapshot, restore and repair. Only check,
 * dump and snapshot may run while a server uses the directory.
 */
public final class StoreMaintenance {
  private static final long MAX_SEGMENT_BYTES = 16 << 20;
  private static final int KEYS_PER_PART = 500;
  private static final MonotonicTime EPOCH = new MonotonicTime(0);

  private final Path dataDirectory;

  /** Creates maintenance operations for a data directory, which is not opened yet. */
  public StoreMaintenance(Path dataDirectory) {
    this.dataDirectory = dataDirectory;
  }

  private interface BatchConsumer {
    void accept(List<WriteBatch> part) throws IOException;
  }

  private static void forEachPart(KeyValueStore.SnapshotIterator snapshot, BatchConsumer consumer)
      throws IOException {
    for (List<WriteBatch> part = snapshot.next(KEYS_PER_PART);
        !part.isEmpty();
        part = snapshot.next(KEYS_PER_PART)) {
      consumer.accept(part);
    }
  }

  private record OpenedStore(KeyValueStore store, WriteAheadLog log) {}

  private OpenedStore openReadOnly(FileSystemDirectory directory) throws IOException {
    KeyValueStore store = new KeyValueStore();
    WriteAheadLog log =
        StoreRecovery.open(
            new ReadOnlyDirectory(directory), MAX_SEGMENT_BYTES, new long[2], store, EPOCH);
    return new OpenedStore(store, log);
  }

  /** Reads the whole store without changing it, and prints a summary. */
  public void check(PrintStream out) throws IOException {
    try (FileSystemDirectory directory = FileSystemDirectory.openReadOnly(dataDirectory)) {
      OpenedStore opened = openReadOnly(directory);
      opened.log.recoveryNotes().forEach(out::println);
      out.println(
          opened.store.size()
              + " keys, revision "
              + opened.store.revision()
              + ", next entry "
              + opened.log.nextSequence()
              + ": in order");
    }
  }

  /** Prints each key with its value as a line of JSON. */
  public void dump(PrintStream out) throws IOException {
    ObjectMapper json = new ObjectMapper();
    try (FileSystemDirectory directory = FileSystemDirectory.openReadOnly(dataDirectory)) {
      KeyValueStore.SnapshotIterator snapshot = openReadOnly(directory).store.snapshot();
      forEachPart(
          snapshot,
          part -> {
            for (WriteBatch batch : part) {
              for (Mutation mutation : batch.mutations()) {
                if (mutation instanceof Mutation.Put put) {
                  Map<String, Object> line = new LinkedHashMap<>();
                  line.put("key", put.key());
                  line.put("version", batch.revision());
                  line.put("lease", put.leaseId());
                  line.put("value", put.data().fields());
                  out.println(json.writeValueAsString(line));
                }
              }
            }
          });
    }
  }

  /** Truncates the log before the corruption. The removed data is kept in separate files. */
  public void repair(PrintStream out) throws IOException {
    try (FileSystemDirectory directory = FileSystemDirectory.open(dataDirectory)) {
      for (int i = 0; i < 100; i++) {
        try {
          openReadOnly(directory);
          out.println("the folder can be opened");
          return;
        } catch (CorruptFileException corruption) {
          out.println(corruption.getMessage());
          WriteAheadLogRepair.repair(directory, corruption).forEach(out::println);
        }
      }
      throw new IOException(dataDirectory + ": log is still corrupt after 100 repairs");
    }
  }

  /** Writes the contents to a new backup file. */
  public void snapshot(Path file, PrintStream out) throws IOException {
    Path target = file.toAbsolutePath();
    if (Files.exists(target)) {
      throw new IOException(file + ": file already exists");
    }
    try (FileSystemDirectory directory = FileSystemDirectory.openReadOnly(dataDirectory);
        FileSystemDirectory backupDirectory =
            FileSystemDirectory.openReadOnly(target.getParent())) {
      OpenedStore opened = openReadOnly(directory);
      String name = target.getFileName().toString();
      BackupFile backup = new BackupFile(backupDirectory, name + ".new", opened.log.storeId());
      KeyValueStore.SnapshotIterator contents = opened.store.snapshot();
      forEachPart(contents, part -> backup.append(part.stream().map(WriteBatch::encode).toList()));
      backup.finish();
      backupDirectory.rename(name + ".new", name);
      backupDirectory.syncDirectory();
      out.println(
          opened.store.size() + " keys of revision " + contents.revision() + " are in " + file);
    }
  }

  /**
   * Creates a store with the contents of a backup file in an empty directory.
   *
   * @param storeId two random halves of the new store's identity
   */
  public void restore(Path file, long[] storeId, PrintStream out) throws IOException {
    Path source = file.toAbsolutePath();
    KeyValueStore store = new KeyValueStore();
    try (FileSystemDirectory backupDirectory =
            FileSystemDirectory.openReadOnly(source.getParent());
        FileSystemDirectory directory = FileSystemDirectory.open(dataDirectory)) {
      if (directory.fileNames().stream().anyMatch(name -> !name.equals("lock"))) {
        throw new IOException(dataDirectory + ": directory is not empty");
      }
      long[] revision = new long[1];
      BackupFile.read(
          backupDirectory,
          source.getFileName().toString(),
          bytes -> {
            WriteBatch batch = StoreRecovery.decode(bytes);
            revision[0] = Math.max(revision[0], batch.revision());
            store.apply(batch, EPOCH);
          });
      store.onRestored(revision[0]);
      // Revisions continue from the backup, so that watches of the earlier store are told to
      // reread.
      write(directory, storeId, store);
      out.println(store.size() + " keys of revision " + revision[0] + " are in " + dataDirectory);
    }
  }

  private static void write(StorageDirectory directory, long[] storeId, KeyValueStore store)
      throws IOException {
    WriteAheadLog log =
        StoreRecovery.open(directory, MAX_SEGMENT_BYTES, storeId, new KeyValueStore(), EPOCH);
    KeyValueStore.SnapshotIterator contents = store.snapshot();
    WriteAheadLog.SnapshotWriter snapshot = log.beginSnapshot();
    forEachPart(contents, part -> snapshot.append(part.stream().map(WriteBatch::encode).toList()));
    snapshot.finish();
  }
}
