package io.saltflow.kvserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.raft.DurableState;
import io.saltflow.raft.LogEntry;
import io.saltflow.raft.RaftConfig;
import io.saltflow.raft.RaftMessage;
import io.saltflow.raft.RaftNode;
import io.saltflow.raft.Ready;
import io.saltflow.raft.Snapshot;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the replicated store in a group with a single member. */
class ReplicatedStoreTest {
  private final List<String> events = new ArrayList<>();
  private ReplicatedStore store;
  private Ready.Save pendingSave;

  private ReplicatedStore store(List<LogEntry> entries) throws InvalidMessageException {
    DurableState durableState =
        new DurableState(1, null, new Snapshot(0, 0, List.of("a"), new byte[0]), entries);
    RaftConfig config = new RaftConfig(TimeSpan.seconds(1), TimeSpan.millis(100), 0.0005, 1);
    RaftNode raft = new RaftNode("a", config, durableState, bound -> 0, new MonotonicTime(0));
    ReplicatedStore.Effects effects =
        new ReplicatedStore.Effects() {
          @Override
          public void save(Ready.Save save) {
            pendingSave = save;
          }

          @Override
          public void send(RaftMessage raftMessage) {
            events.add(raftMessage.toString());
          }

          @Override
          public void onStoreReplaced() {}

          @Override
          public void onServingChanged(boolean isServing) {
            events.add(isServing ? "serving" : "not serving");
          }

          @Override
          public void onContentsChanged() {}
        };
    KeyValueLimits limits = new KeyValueLimits(1000, 1000, 8, 8);
    return new ReplicatedStore(raft, durableState, limits, 1 << 20, effects, new MonotonicTime(0));
  }

  /** Elects the node and completes its saves. */
  private void becomeLeader() {
    store.tick(new MonotonicTime(5000));
    while (pendingSave != null) {
      pendingSave = null;
      store.onSaved(new MonotonicTime(5000));
    }
  }

  /**
   * Guards against contents that silently diverge after a committed entry that cannot be decoded.
   */
  @Test
  void nodeStopsAtUndecodableEntry() throws InvalidMessageException {
    store = store(List.of(new LogEntry(1, 1, null, new byte[] {9, 9, 9})));
    UnreadableStateException exception =
        assertThrows(UnreadableStateException.class, this::becomeLeader);
    assertTrue(
        exception.getMessage().startsWith("entry 1 cannot be decoded"), exception.getMessage());
    assertFalse(store.isServing());
    store.tick(new MonotonicTime(9000));
    store.receive(
        new RaftMessage.RequestVote("b", "a", 9, 9, 9, false, true), new MonotonicTime(9000));
    store.runAsLeader(
        () -> events.add("accepted"), () -> events.add("rejected"), new MonotonicTime(9000));
    assertEquals(List.of("rejected"), events);
  }

  @Test
  void singleMemberServesRequests() throws InvalidMessageException {
    store = store(List.of());
    becomeLeader();
    store.runAsLeader(
        () -> events.add("accepted"), () -> events.add("rejected"), new MonotonicTime(5001));
    assertEquals(List.of("serving", "accepted"), events);
  }
}
