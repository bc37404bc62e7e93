package io.saltflow.wal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that acknowledged entries survive crashes, torn writes, lost blocks and full disks. */
class WriteAheadLogTest {
  private static final long MAX_SEGMENT_BYTES = 600;

  /** Records the entries replayed from the snapshot and the segments of a log. */
  private static final class RecordedReplay implements WriteAheadLog.ReplayHandler {
    final List<String> texts = new ArrayList<>();
    private long snapshotParts;

    @Override
    public void onSnapshotPart(byte[] part) {
      texts.add(new String(part, StandardCharsets.UTF_8));
      snapshotParts++;
    }

    @Override
    public void onSnapshotEnd(long nextSequence) {
      assertEquals(nextSequence - 1, snapshotParts, "entries in the snapshot");
    }

    @Override
    public void onEntry(long sequence, byte[] entry) {
      assertEquals(texts.size() + 1L, sequence, "sequence number of a replayed entry");
      texts.add(new String(entry, StandardCharsets.UTF_8));
    }
  }

  private static WriteAheadLog open(StorageDirectory directory, RecordedReplay replay)
      throws IOException {
    return WriteAheadLog.open(directory, MAX_SEGMENT_BYTES, 77, 78, replay);
  }

  private static List<String> read(StorageDirectory directory) throws IOException {
    RecordedReplay replay = new RecordedReplay();
    open(directory, replay);
    return replay.texts;
  }

  /** A deterministic sequence of writes to a log. */
  private static final class Workload {
    final List<String> attempted = new ArrayList<>();
    int acknowledged;

    /** Appends batches of entries, with regular durability marks and snapshots. */
    void run(StorageDirectory directory, int batches) throws IOException {
      SplittableRandom random = new SplittableRandom(9);
      WriteAheadLog log = open(directory, new RecordedReplay());
      for (int batch = 0; batch < batches; batch++) {
        List<byte[]> entries = new ArrayList<>();
        for (int i = 0; i <= random.nextInt(3); i++) {
          String text = "entry " + (attempted.size() + 1) + " " + "x".repeat(random.nextInt(90));
          attempted.add(text);
          entries.add(text.getBytes(StandardCharsets.UTF_8));
        }
        log.append(entries);
        acknowledged = attempted.size();
        if (batch % 5 == 3) {
          log.writeDurabilityMark();
        }
        if (batch % 9 == 8) {
          snapshot(log);
        }
      }
    }

    private void snapshot(WriteAheadLog log) throws IOException {
      WriteAheadLog.SnapshotWriter snapshot = log.beginSnapshot();
      for (String text : attempted) {
        snapshot.append(List.of(text.getBytes(StandardCharsets.UTF_8)));
      }
      snapshot.finish();
    }
  }

  /** Guards against acknowledged entries that are lost and entries that were never appended. */
  @Test
  void acknowledgedEntriesSurviveCrashAtEveryOperation() throws IOException {
    SimulatedDirectory uninterrupted = new SimulatedDirectory();
    new Workload().run(uninterrupted, 40);
    int runs = 0;
    for (int position = 0; position <= uninterrupted.operations; position++) {
      for (int seed = 0; seed < 12; seed++) {
        SimulatedDirectory directory = new SimulatedDirectory();
        directory.crashAfter = position;
        Workload workload = new Workload();
        try {
          workload.run(directory, 40);
        } catch (SimulatedDirectory.Crash exception) {
          // The simulated crash ends the workload.
        }
        SimulatedDirectory after = directory.afterCrash(seed);
        List<String> found = read(after);
        String crash = "crash after " + position + ", seed " + seed;
        assertTrue(found.size() >= workload.acknowledged, crash + ": recovered " + found.size());
        assertEquals(workload.attempted.subList(0, found.size()), found, crash);
        assertEquals(found, read(after), crash + ": opened twice");
        runs++;
      }
    }
    assertTrue(runs > 1500, "runs: " + runs);
  }

  @Test
  void acknowledgedEntriesSurviveCrashesDuringRecovery() throws IOException {
    for (int seed = 0; seed < 200; seed++) {
      SimulatedDirectory directory = new SimulatedDirectory();
      directory.crashAfter = 20 + seed % 80;
      Workload workload = new Workload();
      try {
        workload.run(directory, 40);
      } catch (SimulatedDirectory.Crash exception) {
        // The simulated crash ends the workload.
      }
      SimulatedDirectory after = directory.afterCrash(seed);
      for (int position = 0; position < 8; position++) {
        after.operations = 0;
        after.crashAfter = position;
        try {
          read(after);
        } catch (SimulatedDirectory.Crash exception) {
          after = after.afterCrash(seed + position);
        }
      }
      after.crashAfter = -1;
      List<String> found = read(after);
      assertTrue(found.size() >= workload.acknowledged, "seed " + seed);
      assertEquals(workload.attempted.subList(0, found.size()), found);
    }
  }

  /**
   * Guards against silent corruption: a flipped bit is rejected as corruption, or truncated as a
   * torn write if no later record shows that the data was durable.
   */
  @Test
  void everyFlippedBitIsDetected() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory();
    Workload workload = new Workload();
    workload.run(directory, 24);
    open(directory, new RecordedReplay()).writeDurabilityMark();
    int rejected = 0;
    int truncated = 0;
    for (String name : directory.fileNames()) {
      for (int position = 0; position < directory.size(name); position++) {
        SimulatedDirectory flipped = directory.copy();
        flipped.flipBit(name, position, position % 8);
        try {
          List<String> found = read(flipped);
          assertEquals(workload.attempted.subList(0, found.size()), found, name + " " + position);
          assertTrue(
              found.size() >= workload.acknowledged - 3,
              name + " " + position + ": " + found.size());
          truncated++;
        } catch (CorruptFileException exception) {
          assertEquals(name, exception.file());
          rejected++;
        }
      }
    }
    assertTrue(
        rejected > 5 * truncated,
        rejected + " rejected, " + truncated + " truncated as torn writes");
  }

  @Test
  void corruptionIsLocatedAndCanBeRepaired() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory();
    Workload workload = new Workload();
    workload.run(directory, 8);
    String first = directory.fileNames().get(0);
    directory.flipBit(first, 60, 3);
    CorruptFileException corruption =
        assertThrows(CorruptFileException.class, () -> read(directory));
    assertTrue(
        corruption.getMessage().startsWith(first + ": damaged at byte 36: entry 1 is not"),
        "" + corruption);
    List<String> actions = WriteAheadLogRepair.repair(directory, corruption);
    assertTrue(
        actions.get(actions.size() - 1).contains(first + " is cut off at byte 36"), "" + actions);
    assertEquals(List.of(), read(directory), "entries before the corruption");
    assertTrue(
        directory.fileNames().contains("damaged-" + first), "corrupt file kept by the repair");
  }

  @Test
  void fileOfOtherStoreIsRejected() throws IOException {
    SimulatedDirectory one = new SimulatedDirectory();
    new Workload().run(one, 8);
    SimulatedDirectory other = new SimulatedDirectory();
    WriteAheadLog.open(other, MAX_SEGMENT_BYTES, 1, 2, new RecordedReplay());
    String lastFile = one.fileNames().get(one.fileNames().size() - 1);
    String otherSegment = other.fileNames().get(0);
    byte[] foreign = other.read(otherSegment, 0, 99);
    one.truncate(one.fileNames().get(0), 0);
    one.append(one.fileNames().get(0), java.nio.ByteBuffer.wrap(foreign));
    assertFalse(lastFile.equals(one.fileNames().get(0)));
    CorruptFileException corruption = assertThrows(CorruptFileException.class, () -> read(one));
    assertTrue(corruption.getMessage().contains("another store's"), corruption.getMessage());
  }

  /** Guards against partial entries left behind by a write that failed on a full disk. */
  @Test
  void writesAreRejectedWhileDiskIsFull() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory();
    WriteAheadLog log = open(directory, new RecordedReplay());
    log.append(List.of("one".getBytes(StandardCharsets.UTF_8)));
    byte[] two = "two".repeat(9).getBytes(StandardCharsets.UTF_8);
    for (int freeBytes = 0; freeBytes < 40; freeBytes++) {
      directory.capacity = directory.size(directory.fileNames().get(0)) + freeBytes;
      assertThrows(IOException.class, () -> log.append(List.of(two)));
      assertEquals(List.of("one"), read(directory.copy()), freeBytes + " bytes free");
    }
    directory.capacity = Long.MAX_VALUE;
    log.probe();
    log.append(List.of("three".getBytes(StandardCharsets.UTF_8)));
    assertEquals(List.of("one", "three"), read(directory.copy()));
  }

  /** Guards against an entry that reappears after its sync failed. */
  @Test
  void entryIsTruncatedAfterFailedSync() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory();
    WriteAheadLog log = open(directory, new RecordedReplay());
    log.append(List.of("one".getBytes(StandardCharsets.UTF_8)));
    directory.failSyncs = true;
    assertThrows(
        IOException.class, () -> log.append(List.of("two".getBytes(StandardCharsets.UTF_8))));
    assertThrows(IOException.class, log::probe);
    directory.failSyncs = false;
    log.append(List.of("three".getBytes(StandardCharsets.UTF_8)));
    for (int seed = 0; seed < 20; seed++) {
      assertEquals(List.of("one", "three"), read(directory.afterCrash(seed)));
    }
  }

  /** Guards against crash tests that pass even if syncs are skipped. */
  @Test
  void skippedSyncsAreDetected() throws IOException {
    for (boolean directorySyncs : new boolean[] {false, true}) {
      int detected = 0;
      for (int position = 5; position < 120; position++) {
        SimulatedDirectory directory = new SimulatedDirectory();
        directory.skipSyncs = !directorySyncs;
        directory.skipDirectorySyncs = directorySyncs;
        directory.crashAfter = position;
        Workload workload = new Workload();
        try {
          workload.run(directory, 40);
        } catch (SimulatedDirectory.Crash exception) {
          // The simulated crash ends the workload.
        }
        try {
          detected += read(directory.afterCrash(position)).size() < workload.acknowledged ? 1 : 0;
        } catch (CorruptFileException exception) {
          detected++;
        }
      }
      assertTrue(
          detected > 20,
          "directory syncs " + directorySyncs + ": detected " + detected + " of 115");
    }
  }
}
