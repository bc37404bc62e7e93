package io.saltflow.kvserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.raft.DurableState;
import io.saltflow.raft.LogEntry;
import io.saltflow.raft.Ready;
import io.saltflow.raft.Snapshot;
import io.saltflow.wal.SimulatedDirectory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that saved Raft state is recovered after a crash during any disk operation. */
class RaftStorageTest {
  private static final List<String> GROUP = List.of("a", "b", "c");
  private static final int SAVES = 25;
  private static final int CRASHES_PER_OPERATION = 3;

  /** Returns a textual form of all fields of a state. */
  private static String describe(DurableState state) {
    StringBuilder out = new StringBuilder();
    Snapshot snapshot = state.snapshot();
    out.append(state.term())
        .append(' ')
        .append(state.votedFor())
        .append(" | ")
        .append(snapshot.index());
    out.append(' ').append(snapshot.term()).append(' ').append(snapshot.members()).append(' ');
    out.append(new String(snapshot.data(), StandardCharsets.US_ASCII).hashCode()).append(" |");
    for (LogEntry logEntry : state.entries()) {
      out.append(' ').append(logEntry.index()).append('/').append(logEntry.term()).append('/');
      out.append(
          logEntry.members() != null
              ? logEntry.members()
              : logEntry.data() == null ? "-" : text(logEntry.data()));
    }
    return out.toString();
  }

  private static String text(byte[] data) {
    return new String(data, StandardCharsets.US_ASCII);
  }

  /** A random sequence of saves that append, overwrite and compact entries. */
  private static final class SaveWorkload {
    final SplittableRandom random = new SplittableRandom(5);
    final List<String> states = new ArrayList<>();
    private long term = 1;
    private Snapshot snapshot = new Snapshot(0, 0, GROUP, new byte[0]);
    private final List<LogEntry> log = new ArrayList<>();

    SaveWorkload() {
      states.add(describe(new DurableState(0, null, snapshot, List.of())));
    }

    Ready.Save next() {
      long lastIndex = snapshot.index() + log.size();
      long from = lastIndex + 1;
      if (random.nextInt(4) == 0) {
        term++;
        // The leader of a later term overwrites uncommitted entries.
        from -= random.nextInt(log.size() + 1);
        log.subList((int) (from - snapshot.index() - 1), log.size()).clear();
      }
      List<LogEntry> entries = new ArrayList<>();
      for (int i = random.nextInt(4); i > 0; i--) {
        long index = from + entries.size();
        entries.add(
            switch (random.nextInt(5)) {
              case 0 -> new LogEntry(index, term, null, null);
              case 1 -> new LogEntry(index, term, List.of("a", "b", "c", "d"), null);
              default -> new LogEntry(index, term, null, ("e" + index).repeat(9).getBytes(ASCII));
            });
      }
      log.addAll(entries);
      if (random.nextInt(6) == 0 && !log.isEmpty()) {
        int count = 1 + random.nextInt(log.size());
        LogEntry lastIncluded = log.get(count - 1);
        byte[] bytes = "s".repeat(random.nextInt(200_000)).getBytes(ASCII);
        snapshot = new Snapshot(lastIncluded.index(), lastIncluded.term(), GROUP, bytes);
        log.subList(0, count).clear();
        from = Math.max(from, snapshot.index() + 1);
        entries = List.copyOf(log.subList((int) (from - snapshot.index() - 1), log.size()));
      }
      String vote = random.nextBoolean() ? "b" : null;
      states.add(describe(new DurableState(term, vote, snapshot, List.copyOf(log))));
      return new Ready.Save(term, vote, snapshot, from, entries);
    }
  }

  private static final java.nio.charset.Charset ASCII = StandardCharsets.US_ASCII;

  private static String recoveredState(SimulatedDirectory directory) throws IOException {
    return describe(RaftStorage.open(directory, GROUP, new long[] {3, 4}).state());
  }

  /** Runs all saves and returns how many completed before the crash, if any. */
  private static int run(SimulatedDirectory directory, SaveWorkload workload) throws IOException {
    int acknowledged = 0;
    try {
      RaftStorage storage = RaftStorage.open(directory, GROUP, new long[] {3, 4});
      for (int i = 0; i < SAVES; i++) {
        storage.save(workload.next());
        acknowledged++;
      }
    } catch (SimulatedDirectory.Crash exception) {
      return acknowledged;
    }
    return acknowledged;
  }

  @Test
  void savedStateSurvivesCrashAtEveryOperation() throws IOException {
    SimulatedDirectory uninterrupted = new SimulatedDirectory();
    SaveWorkload uninterruptedWorkload = new SaveWorkload();
    assertEquals(SAVES, run(uninterrupted, uninterruptedWorkload));
    assertEquals(uninterruptedWorkload.states.get(SAVES), recoveredState(uninterrupted));
    int unacknowledgedSaves = 0;
    for (int operation = 0; operation < uninterrupted.operations; operation++) {
      for (int seed = 0; seed < CRASHES_PER_OPERATION; seed++) {
        SimulatedDirectory directory = new SimulatedDirectory();
        directory.crashAfter = operation;
        SaveWorkload workload = new SaveWorkload();
        int acknowledged = run(directory, workload);
        String recovered = recoveredState(directory.afterCrash(operation * 31L + seed));
        boolean includesNextSave =
            acknowledged + 1 < workload.states.size()
                && recovered.equals(workload.states.get(acknowledged + 1));
        unacknowledgedSaves += includesNextSave ? 1 : 0;
        assertTrue(
            includesNextSave || recovered.equals(workload.states.get(acknowledged)),
            "crash at operation " + operation);
      }
    }
    assertTrue(unacknowledgedSaves > 0, "no crash left a complete but unacknowledged save");
  }

  /** Guards against remains of a save that failed on a full disk. */
  @Test
  void rejectedSaveCanBeRetried() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory();
    RaftStorage storage = RaftStorage.open(directory, GROUP, new long[] {3, 4});
    SaveWorkload workload = new SaveWorkload();
    for (int i = 0; i < SAVES; i++) {
      Ready.Save save = workload.next();
      if (i % 3 == 1) {
        directory.capacity = 0;
        assertThrows(IOException.class, () -> storage.save(save));
        directory.capacity = Long.MAX_VALUE;
        storage.probe();
      }
      storage.save(save);
      assertEquals(workload.states.get(i + 1), describe(storage.state()));
    }
    assertEquals(workload.states.get(SAVES), recoveredState(directory));
  }
}
