package io.saltflow.coordination;

import static io.saltflow.coordination.Scripts.atEachMoment;
import static io.saltflow.coordination.Scripts.bound;
import static io.saltflow.coordination.Scripts.cancelSome;
import static io.saltflow.coordination.Scripts.running;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Meetings of a takeover with another trouble, each brought about at every half second of it. */
class TakeoverMeetingsTest {
  /**
   * Every controller gets a copy of an old report at its first moment. Each copy is checked by
   * itself where it is delivered; machines went through sessions and lives before.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anOldReportOfEveryMachineReachesTheNextLeaderFirst(boolean earlierSessions) {
    int[] seen = new int[2];
    atEachMoment(
        60,
        () -> running(300, 60),
        (w, moment) -> {
          w.nextLeader.share = 1;
          w.run(5);
          if (earlierSessions) {
            // Long enough that leases run out, and some machines are back at once with nothing.
            w.workers.values().stream().limit(2).forEach(m -> m.cutUntil = w.now + 20_000);
            w.workers.values().stream().skip(2).limit(1).forEach(World.Worker::startAgain);
            w.run(10 + moment * 0.5);
          }
          cancelSome(w, moment);
          for (int i = 0; i < 3; i++) {
            w.loseLeader(0);
            w.run(1 + moment * 0.5);
          }
          seen[0] += w.nextLeader.delivered;
          seen[1] += w.nextLeader.ofEarlierSessions;
        });
    assertTrue(seen[0] > 300, "copies were delivered: " + seen[0]);
    assertTrue(!earlierSessions || seen[1] > 30, "of earlier sessions: " + seen[1]);
  }

  /**
   * A report is held back until a new leader has acted, then arrives there: what it lists may run
   * elsewhere by then, and what it lacks may run there.
   */
  @Test
  void aReportIsHeldBackUntilANewLeaderHasActed() {
    atEachMoment(
        80,
        () -> bound(310, 60),
        (w, moment) -> {
          w.workers.values().stream().limit(3).forEach(m -> m.cutUntil = w.now + 500L * moment);
          w.run(moment % 5);
          w.loseLeader(0);
          cancelSome(w, moment);
        });
  }

  /**
   * Machines are up within two seconds and get work at once. Writes of the ledger lag, or their
   * answers are lost, the leader ends, and the new machines are cut off until a successor has
   * acted.
   */
  @ParameterizedTest
  @CsvSource({"0.7, 0", "0, 0.7", "0.4, 0.4", "0, 0"})
  void newMachinesWorkWhileWritesLagAndTheLeaderEnds(double late, double answersLost) {
    int[] launched = new int[1];
    atEachMoment(
        50,
        () -> {
          World w = Scripts.world(320);
          w.mostInZone = 6;
          w.bootMs = 500;
          w.bootSteps = 4;
          w.late = late;
          w.answersLost = answersLost;
          for (int i = 1; i <= Scripts.JOBS; i++) {
            w.submit(Jobs.job(i).team("blue").tasks(6).cores(2).estimateS(20).build());
          }
          return w;
        },
        (w, moment) -> {
          w.run(2 + moment * 0.5);
          launched[0] += (int) w.workers.values().stream().filter(m -> !m.tasks.isEmpty()).count();
          w.loseLeader(0);
          // Some can't be reached until the successor has launched, others are heard at once.
          w.workers.values().stream().limit(3).forEach(m -> m.cutUntil = w.now + 14_000);
          w.run(3);
          cancelSome(w, moment);
          w.run(20);
        });
    assertTrue(launched[0] > 50, "new machines were given work: " + launched[0]);
  }

  /**
   * The same, where writes of the ledger alone lag: the leader ends at each half second after new
   * machines were rented, and those that the ledger lacks can't be reached until the successor has
   * launched. Work that was given to them before they were written down would run twice.
   */
  @ParameterizedTest
  @ValueSource(longs = {2_000, 6_000, 12_000})
  void machinesThatTheLedgerLacksHoldNothing(long lagMs) {
    int[] lacking = new int[1];
    atEachMoment(
        40,
        () -> {
          World w = running(325, 60);
          w.mostInZone = 10;
          w.bootMs = 500;
          w.bootSteps = 4;
          return w;
        },
        (w, moment) -> {
          for (int i = 1; i <= 4; i++) {
            w.submit(Jobs.job(100 + i).team("blue").tasks(6).cores(4).estimateS(30).build());
          }
          w.ledgerLagsUntil = w.now + lagMs;
          w.run(1 + moment * 0.5);
          w.loseLeader(0);
          for (World.Worker m : w.workers.values()) {
            if (!w.inLedger(m.id)) {
              lacking[0]++;
              m.cutUntil = w.now + 14_000;
            }
          }
          w.run(20);
        });
    assertTrue(lacking[0] > 10, "machines that the ledger lacked: " + lacking[0]);
  }

  /** Ten leaders in two minutes; of some the state service is out as well. */
  @ParameterizedTest
  @ValueSource(longs = {0, 8_000, 20_000, 45_000})
  void tenLeadersInTwoMinutes(long outageMs) {
    atEachMoment(
        24,
        () -> bound(330, 30),
        (w, moment) -> {
          w.readingMs = 500L * (moment % 4);
          long first = w.termNumber;
          for (int i = 0; i < 10; i++) {
            if (outageMs > 0 && i == 4) {
              w.run(moment * 0.5);
              w.stateDown(outageMs);
            }
            switch ((i + moment) % 3) {
              case 0 -> w.loseLeader(0);
              case 1 -> w.loseLeader(6_000);
              default -> w.supersede(9_000);
            }
            if (i == 5) {
              cancelSome(w, moment);
            }
            w.run(12);
          }
          long leaders = w.termNumber - first;
          assertTrue(leaders >= (outageMs > 30_000 ? 6 : 9), "leaders: " + leaders);
        });
  }

  /** Nobody leads for up to four leases, and what was launched last is heard of by nobody. */
  @Test
  void allControllersAreAway() {
    atEachMoment(
        130,
        () -> bound(340, 45),
        (w, moment) -> {
          w.loseLeader(0);
          w.electAt = w.now + 500L * moment;
          w.run(moment * 0.5 + 1);
          cancelSome(w, moment);
        });
  }

  /**
   * Over and back, all end, and one returns within a second; every leader gets copies of what was
   * reported to those before it.
   */
  @Test
  void controllersHandOverAndBackAndOneReturnsWithinASecond() {
    atEachMoment(
        60,
        () -> bound(350, 40),
        (w, moment) -> {
          w.nextLeader.share = 0.5;
          w.late = 0.2;
          w.answersLost = 0.2;
          for (int i = 0; i < 5; i++) {
            if (i % 2 == 0) {
              w.supersede(500L * (moment % 9));
            } else {
              w.loseLeader(0);
              w.electAt = w.now + 500;
            }
            w.run((moment + i) % 4 * 0.5);
          }
          w.loseLeader(0);
          w.electAt = w.now + 500L * (1 + moment);
          w.run(1 + moment * 0.5);
          w.loseLeader(0);
          w.electAt = w.now + 500;
          cancelSome(w, moment);
        });
  }

  /**
   * A leader is cut off with its zone's workers. It goes on to launch for as long as nobody else
   * can have been elected, and is told of results that it can't record: both are found by the
   * successor.
   */
  @Test
  void aCutOffLeaderLaunchesAndIsToldOfEnds() {
    int[] seen = new int[2];
    atEachMoment(
        80,
        () -> {
          World w = Scripts.world(360);
          w.mostMachines = 4;
          w.mostInZone = 2;
          for (int i = 1; i <= Scripts.JOBS; i++) {
            w.submit(Jobs.job(i).team("blue").tasks(6).cores(4).estimateS(4 + i % 3).build());
          }
          return w;
        },
        (w, moment) -> {
          w.run(20 + moment * 0.5);
          w.loseLeader(30_000);
          w.run(moment % 8);
          cancelSome(w, moment);
          w.run(30);
          seen[0] += w.launchesOfCutLeaders;
          seen[1] += w.endsToldToCutLeaders;
        });
    assertTrue(seen[0] > 50, "launches of leaders that were cut off: " + seen[0]);
    assertTrue(seen[1] > 50, "ends told to leaders that were cut off: " + seen[1]);
  }
}
