package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Troubles that meet, each meeting brought about at every moment that matters. */
class MeetingsTest {
  /** Longer than a cancellation has, and than any lease. */
  private static final long OUTAGE = World.CANCEL + World.LEASE;

  private static final int JOBS = 8;

  private static World running(long seed) {
    World w = new World(seed, World.policy(Span.millis(World.LEASE)));
    for (int i = 1; i <= JOBS; i++) {
      w.submit(Jobs.job(i).team("blue").tasks(3).cores(1).estimateS(300).build());
    }
    w.run(40);
    return w;
  }

  /**
   * The state service refuses leader after leader, each before it has read the jobs; one job a step
   * is cancelled through another controller; then the service is down for all. What such a
   * successor does not know it may not keep alive: the bounds of several leaders added up.
   *
   * @param leaders how many are refused one after the other
   * @param outageS when the outage begins, after the last election
   */
  @ParameterizedTest
  @CsvSource({"0, 0", "0, 4", "1, 0", "1, 0.5", "1, 2", "2, 0", "2, 1", "3, 0.5"})
  void cancelledTasksAreGoneThoughNobodyHearsOfIt(int leaders, double outageS) {
    World w = running(leaders);
    w.readingMs = 3000;
    int cancelled = 0;
    for (int refused = 0; refused < Math.max(1, leaders); refused++) {
      long term = w.termNumber;
      w.refuseLeader(60_000);
      while (leaders > 0 && w.termNumber == term) {
        w.cancel(new JobId(Jobs.id(1 + cancelled++ % JOBS)));
        w.step();
      }
    }
    w.run(outageS);
    w.cancel(new JobId(Jobs.id(JOBS)));
    w.stateDown(OUTAGE);
    w.run(OUTAGE / 1000.0);
    assertEquals("", String.join("\n", w.broken));
    w.run(90);
    assertTrue(w.lead.core.accountedFor());
    assertEquals("", String.join("\n", w.broken));
  }
}
