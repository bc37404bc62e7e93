package io.saltflow.failuredetector;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which combinations of evidence indicate that the leader's process has ended. */
class LeaderFailureDetectorTest {
  private static final Term TERM = new Term(7);
  private static final MonotonicTime NOW = new MonotonicTime(100_000);

  private final LeaderFailureDetector detector = new LeaderFailureDetector();

  @BeforeEach
  void setLeader() {
    detector.onLeader("a", TERM);
  }

  private void receiveHeartbeat(int number, Term highestTerm) {
    detector.onWorkerHeartbeat(new MachineId("vm-" + number), highestTerm);
  }

  private void recordAllEvidence() {
    detector.onConnectionClosed("a", NOW);
    detector.onConnectionRefused("a", NOW);
    detector.onConnectionRefused("a", NOW);
    receiveHeartbeat(1, TERM);
    receiveHeartbeat(2, TERM);
  }

  @Test
  void failureRequiresAllKindsOfEvidence() {
    List<Runnable> all =
        List.of(
            () -> detector.onConnectionClosed("a", NOW),
            () -> detector.onConnectionRefused("a", NOW),
            () -> detector.onConnectionRefused("a", NOW),
            () -> receiveHeartbeat(1, TERM),
            () -> receiveHeartbeat(2, TERM));
    for (int omitted = -1; omitted < all.size(); omitted++) {
      detector.onLeader(null, Term.NONE);
      detector.onLeader("a", TERM);
      List<Runnable> remaining = new ArrayList<>(all);
      if (omitted >= 0) {
        remaining.remove(omitted);
      }
      remaining.forEach(Runnable::run);
      // A refusal also implies that the connection is lost, so the close event is not required.
      assertEquals(
          omitted <= 0 ? "a" : null, detector.failedLeader(NOW), "without evidence " + omitted);
    }
  }

  @Test
  void refusedConnectionsAloneAreNoFailure() {
    detector.onConnectionClosed("a", NOW);
    for (int i = 0; i < 50; i++) {
      detector.onConnectionRefused("a", NOW);
      // New workers start meanwhile and contact any controller.
      receiveHeartbeat(i, Term.NONE);
    }
    receiveHeartbeat(99, TERM);
    receiveHeartbeat(99, TERM);
    assertNull(detector.failedLeader(NOW), "heartbeats of one worker");
  }

  @Test
  void messageOrNewLeaderClearsEvidence() {
    recordAllEvidence();
    detector.onAlive("a");
    assertNull(detector.failedLeader(NOW));
    assertFalse(detector.leaderSuspected());
    recordAllEvidence();
    detector.onLeader("b", new Term(8));
    assertNull(detector.failedLeader(NOW), "evidence about an earlier leader");
    detector.onConnectionClosed("a", NOW);
    assertFalse(detector.leaderSuspected(), "connection of an earlier leader");
  }

  /** Guards against a heartbeat from another connection that hides the closed one. */
  @Test
  void heartbeatReadAfterConnectionCloseDoesNotHideFailure() {
    detector.onConnectionClosed("a", NOW);
    detector.onAlive("a");
    detector.onConnectionRefused("a", NOW);
    detector.onConnectionRefused("a", NOW);
    receiveHeartbeat(1, TERM);
    receiveHeartbeat(2, TERM);
    assertEquals("a", detector.failedLeader(NOW));
  }

  @Test
  void oldEvidenceExpires() {
    recordAllEvidence();
    assertNull(detector.failedLeader(new MonotonicTime(NOW.ms() + 6_001)));
  }
}
