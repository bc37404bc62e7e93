package io.saltflow.compat;

import io.saltflow.wal.BackupFile;
import io.saltflow.wal.SimulatedDirectory;
import io.saltflow.wal.WriteAheadLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Forms of the write-ahead log's files: a segment, a snapshot and a backup. */
final class JournalForms {
  private static final long[] IDENTITY = {3, 4};
  private static final long MAX_SEGMENT_BYTES = 1 << 20;
  private static final long SNAPSHOT_NEXT = 4;
  private static final String SEGMENT = "log-0000000000000001";
  private static final String SNAPSHOT = "snap-0000000000000004";
  private static final String BACKUP = "backup";
  private static final List<byte[]> ENTRIES = List.of(text("first"), text(""), text("third"));

  private JournalForms() {}

  static List<StoredForm> all() throws IOException {
    return List.of(
        StoredForm.current(
            "journal segment", segment(ENTRIES), b -> segment(replayed(SEGMENT, b).entries)),
        StoredForm.current(
            "journal snapshot", snapshot(ENTRIES), b -> snapshot(replayed(SNAPSHOT, b).parts)),
        StoredForm.current("journal backup", backup(ENTRIES), b -> backup(restored(b))));
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Collects the contents of a log that is opened. */
  private static final class Replay implements WriteAheadLog.ReplayHandler {
    final List<byte[]> parts = new ArrayList<>();
    final List<byte[]> entries = new ArrayList<>();

    @Override
    public void onSnapshotPart(byte[] part) {
      parts.add(part);
    }

    @Override
    public void onSnapshotEnd(long next) throws IOException {
      if (next != SNAPSHOT_NEXT) {
        throw new IOException("unexpected snapshot of the entries before " + next);
      }
    }

    @Override
    public void onEntry(long number, byte[] entry) throws IOException {
      entries.add(entry);
      if (number != entries.size()) {
        throw new IOException("entry " + number + " at position " + entries.size());
      }
    }
  }

  private static WriteAheadLog open(SimulatedDirectory disk, Replay replay) throws IOException {
    return WriteAheadLog.open(disk, MAX_SEGMENT_BYTES, IDENTITY[0], IDENTITY[1], replay);
  }

  private static SimulatedDirectory diskWith(String name, byte[] bytes) throws IOException {
    SimulatedDirectory disk = new SimulatedDirectory();
    disk.append(name, ByteBuffer.wrap(bytes));
    disk.sync(name);
    disk.syncDirectory();
    return disk;
  }

  private static byte[] file(SimulatedDirectory disk, String name) throws IOException {
    return disk.read(name, 0, Integer.MAX_VALUE);
  }

  private static Replay replayed(String name, byte[] bytes) throws IOException {
    Replay replay = new Replay();
    open(diskWith(name, bytes), replay);
    return replay;
  }

  private static byte[] segment(List<byte[]> entries) throws IOException {
    SimulatedDirectory disk = new SimulatedDirectory();
    WriteAheadLog journal = open(disk, new Replay());
    journal.append(entries);
    journal.writeDurabilityMark();
    return file(disk, SEGMENT);
  }

  private static byte[] snapshot(List<byte[]> parts) throws IOException {
    SimulatedDirectory disk = new SimulatedDirectory();
    WriteAheadLog journal = open(disk, new Replay());
    journal.append(ENTRIES);
    WriteAheadLog.SnapshotWriter snapshot = journal.beginSnapshot();
    snapshot.append(parts);
    snapshot.finish();
    return file(disk, SNAPSHOT);
  }

  private static byte[] backup(List<byte[]> items) throws IOException {
    SimulatedDirectory disk = new SimulatedDirectory();
    BackupFile backup = new BackupFile(disk, BACKUP, IDENTITY);
    backup.append(items);
    backup.finish();
    return file(disk, BACKUP);
  }

  private static List<byte[]> restored(byte[] bytes) throws IOException {
    List<byte[]> items = new ArrayList<>();
    BackupFile.read(diskWith(BACKUP, bytes), BACKUP, items::add);
    return items;
  }
}
