package io.saltflow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when a job may be reported as live across cancellations, outages and leader changes. */
class CascadeBarrierTest {
  private static final TimeSpan CANCEL_TIMEOUT = TimeSpan.seconds(41);
  private static final JobId ORPHAN = new JobId("req-000002");
  private static final JobId UNRELATED = new JobId("req-000003");

  private final CascadeBarrier barrier = new CascadeBarrier(CANCEL_TIMEOUT);

  private static MonotonicTime at(long seconds) {
    return new MonotonicTime(1000 * seconds);
  }

  /** Ticks once per second; each due check finds no orphans. */
  private void tickWithChecks(
      long from, long until, boolean storeAvailable, boolean leaderCancels) {
    for (long second = from; second < until; second++) {
      barrier.tick(storeAvailable, leaderCancels, at(second));
      if (storeAvailable && barrier.checkDue(at(second))) {
        barrier.onCheckStarted(at(second));
        barrier.onCheckFinished(Set.of());
      }
    }
  }

  @Test
  void noJobIsReportedLiveBeforeTheFirstCheck() {
    barrier.tick(true, true, at(0));
    assertFalse(barrier.mayReportLive(UNRELATED, at(0)));
    assertTrue(barrier.checkDue(at(0)));
    barrier.onCheckStarted(at(0));
    assertFalse(barrier.checkDue(at(5)), "only one check at a time");
    barrier.onCheckFinished(Set.of());
    assertTrue(barrier.mayReportLive(UNRELATED, at(1)));
  }

  @Test
  void noCheckIsDueUnderActiveLeader() {
    tickWithChecks(0, 1, true, true);
    for (int second = 1; second < 300; second++) {
      barrier.tick(true, true, at(second));
      assertFalse(barrier.checkDue(at(second)), second + " s");
      assertTrue(barrier.mayReportLive(UNRELATED, at(second)));
    }
  }

  /** Guards against reporting dependents of a job that was cancelled right before an outage. */
  @Test
  void jobsAreReportedLiveAfterLongOutageOnlyOnceChecked() {
    tickWithChecks(0, 100, true, true);
    tickWithChecks(100, 160, false, false);
    barrier.tick(true, true, at(160));
    assertFalse(barrier.mayReportLive(ORPHAN, at(160)));
    assertTrue(barrier.checkDue(at(160)));
    barrier.onCheckStarted(at(160));
    barrier.onCheckFinished(Set.of(ORPHAN));
    assertFalse(barrier.mayReportLive(ORPHAN, at(161)), "not recorded as cancelled yet");
    assertTrue(barrier.mayReportLive(UNRELATED, at(161)));
    assertTrue(barrier.checkDue(at(163)), "checks repeat while orphans remain");
    barrier.onCheckStarted(at(163));
    barrier.onCheckFinished(Set.of());
    assertTrue(barrier.mayReportLive(ORPHAN, at(163)), "its recorded state may be reported");
  }

  /** Guards against trusting a failed check or a leader that has not yet cascaded cancellations. */
  @Test
  void returningLeaderAloneDoesNotAllowLiveReports() {
    tickWithChecks(0, 100, true, true);
    tickWithChecks(100, 160, false, false);
    for (int second = 160; second < 200; second++) {
      barrier.tick(true, true, at(second));
      if (barrier.checkDue(at(second))) {
        barrier.onCheckStarted(at(second));
        barrier.onCheckFinished(null);
      }
      assertFalse(barrier.mayReportLive(UNRELATED, at(second)), second + " s");
    }
  }

  /** Guards against withholding answers for the 90 s after which a job counts as lost. */
  @Test
  void liveReportsAreWithheldForAtMostOneMinute() {
    for (int second = 0; second <= 61; second++) {
      barrier.tick(true, false, at(second));
      assertEquals(second > 60, barrier.mayReportLive(UNRELATED, at(second)), second + " s");
    }
  }

  /** Guards against counting process pauses or the time before a successful check as withheld. */
  @Test
  void onlyTimeOfRefusedQueriesCountsAsWithheld() {
    barrier.tick(true, true, at(0));
    assertFalse(barrier.mayReportLive(UNRELATED, at(0)));
    barrier.tick(true, true, at(100));
    assertFalse(barrier.mayReportLive(UNRELATED, at(100)), "the process was paused");
    barrier.onCheckStarted(at(100));
    barrier.onCheckFinished(Set.of());
    assertTrue(barrier.mayReportLive(UNRELATED, at(101)));
    assertFalse(barrier.mayReportLive(UNRELATED, at(161)), "no tick after the check");
  }

  /**
   * Explores all sequences of seven phases of 9 s with the store unavailable, without a leader, or
   * with a leader that cascades cancellations within 4 s, and all times of the cancellation. Checks
   * by this node take 2 s.
   */
  @Test
  void orphansAreNotReportedLiveAfterDeadline() {
    assertNull(firstViolation(CANCEL_TIMEOUT));
  }

  /** Verifies that the exploration detects a barrier that allows too much time. */
  @Test
  void explorationDetectsTooLongCancelTimeout() {
    assertTrue(firstViolation(TimeSpan.seconds(60)).contains("reported as live"));
  }

  private static String firstViolation(TimeSpan cancelTimeout) {
    int phases = 7;
    for (int sequence = 0; sequence < Math.pow(3, phases); sequence++) {
      List<Integer> kinds = new ArrayList<>();
      for (int i = 0, code = sequence; i < phases; i++, code /= 3) {
        kinds.add(code % 3);
      }
      for (int confirmedAt = 12; confirmedAt < 9 * phases; confirmedAt++) {
        String violation = simulate(kinds, confirmedAt, cancelTimeout);
        if (violation != null) {
          return violation
              + " in phases "
              + kinds
              + ", cancellation confirmed at "
              + confirmedAt
              + " s";
        }
      }
    }
    return null;
  }

  /** Runs phases of kind 0 (store unavailable), 1 (without a leader) and 2 (with a leader). */
  private static String simulate(List<Integer> kinds, int confirmedAt, TimeSpan cancelTimeout) {
    CascadeBarrier simulated = new CascadeBarrier(cancelTimeout);
    boolean recorded = false;
    int leaderSeconds = 0;
    int checkStartedAt = -1;
    Set<JobId> foundOrphans = Set.of();
    int end = 9 * kinds.size() + 10;
    for (int second = 0; second < end; second++) {
      int kind = second < 9 * kinds.size() ? kinds.get(second / 9) : 1;
      boolean storeAvailable = kind != 0;
      leaderSeconds = kind == 2 ? leaderSeconds + 1 : 0;
      // A leader takes 4 s to record the cancellation of dependents.
      recorded |= second >= confirmedAt + 4 && leaderSeconds >= 4;
      simulated.tick(storeAvailable, kind == 2, at(second));
      boolean orphaned = second >= confirmedAt && !recorded;
      if (checkStartedAt >= 0 && (!storeAvailable || second == checkStartedAt + 2)) {
        simulated.onCheckFinished(storeAvailable ? foundOrphans : null);
        checkStartedAt = -1;
      }
      if (storeAvailable && simulated.checkDue(at(second))) {
        simulated.onCheckStarted(at(second));
        checkStartedAt = second;
        foundOrphans = orphaned ? Set.of(ORPHAN) : Set.of();
      }
      boolean late = second - confirmedAt > CANCEL_TIMEOUT.toSeconds();
      if (storeAvailable && orphaned && late && simulated.mayReportLive(ORPHAN, at(second))) {
        return "orphan reported as live at " + second + " s";
      }
    }
    return null;
  }
}
