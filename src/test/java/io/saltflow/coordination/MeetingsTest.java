package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Troubles that meet, each meeting brought about at every moment that matters. */
class MeetingsTest {
  /** Longer than a cancellation has, and than any lease. */
  private static final long OUTAGE = World.CANCEL + World.LEASE;

  private static final int JOBS = 8;

  private static World running(long seed, double estimateS) {
    World w = new World(seed, World.policy(Span.millis(World.LEASE)));
    // Two zones have machines: a leader that is cut off keeps those of one of them.
    w.mostInZone = 2;
    for (int i = 1; i <= JOBS; i++) {
      w.submit(Jobs.job(i).team("blue").tasks(3).cores(1).estimateS(estimateS).build());
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
    World w = running(leaders, 300);
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

  /** Each moment of the meeting that its script brings about: so many half seconds into it. */
  private static void atEachMoment(int moments, BiConsumer<World, Integer> script) {
    for (int moment = 0; moment < moments; moment++) {
      World w = running(100 + moment, 60);
      script.accept(w, moment);
      for (int i = 0; i < 2000 && !w.allOver(); i++) {
        w.step();
      }
      assertEquals("", String.join("\n", w.broken), "moment " + moment);
      assertTrue(w.allOver(), "a job is forgotten, moment " + moment);
    }
  }

  private static void cancelSome(World w, int moment) {
    for (int i = 0; i < 3; i++) {
      w.cancel(new JobId(Jobs.id(1 + (moment + i) % JOBS)));
    }
  }

  /** Machines with long tasks can't be reached, or hear no answer, and the leader ends. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aLeaderEndsWhileMachinesAreOutOfReach(boolean deaf) {
    atEachMoment(
        60,
        (w, moment) -> {
          w.workers.values().stream()
              .skip(1)
              .forEach(
                  m -> {
                    long until = w.now + 500L * moment;
                    m.cutUntil = deaf ? 0 : until;
                    m.deafUntil = deaf ? until : 0;
                  });
          w.run(moment % 7);
          cancelSome(w, moment);
          w.loseLeader(0);
        });
  }

  /** The one that led goes on for its own zone's machines while another leads. */
  @Test
  void aLeaderIsCutFromStateAndSiblingsButNotFromWorkers() {
    int[] reports = new int[1];
    atEachMoment(
        80,
        (w, moment) -> {
          w.loseLeader(500L * moment);
          w.run(moment % 13);
          cancelSome(w, moment);
          w.run(5);
          reports[0] += w.reportsToCutLeaders;
        });
    assertTrue(reports[0] > 200, "leaders that were cut off were reported to: " + reports[0]);
  }

  /** One after the other on one machine, so that their ends lie far apart. */
  @Test
  void aSmallJobsTasksEndFarApartAcrossLeaders() {
    for (int moment = 0; moment < 80; moment++) {
      World w = new World(moment, World.policy(Span.millis(World.LEASE)));
      w.mostMachines = 1;
      w.readingMs = 1000;
      w.submit(Jobs.job(1).team("blue").tasks(3).cores(8).estimateS(12).build());
      w.run(20 + moment * 0.5);
      w.loseLeader(0);
      w.run(moment % 9);
      w.loseLeader(0);
      w.run(120);
      assertEquals("", String.join("\n", w.broken), "moment " + moment);
      assertTrue(w.allOver(), "moment " + moment);
      assertEquals(3, w.started, "each ran once, and its result counted; moment " + moment);
    }
  }

  /** Offices that change hands within a second, with writes of each that are carried out late. */
  @Test
  void leadersHandOverAndBackAndWritesComeLate() {
    atEachMoment(
        60,
        (w, moment) -> {
          w.late = 0.3;
          w.slow = 0.3;
          w.readingMs = 500L * (moment % 3);
          for (int i = 0; i < 6; i++) {
            w.loseLeader(i % 2 == 0 ? 0 : 2000);
            w.electAt = w.now + 500;
            w.run((moment + i) % 5 * 0.5);
          }
          cancelSome(w, moment);
          w.run(moment);
          w.late = 0;
        });
  }
}
