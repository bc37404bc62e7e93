package io.saltflow.coordination;

import static io.saltflow.coordination.Scripts.atEachMoment;
import static io.saltflow.coordination.Scripts.bound;
import static io.saltflow.coordination.Scripts.cancelSome;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Zones that are cut off, and work that is bound to one, at every half second of it. */
class ZoneMeetingsTest {
  /**
   * A zone with workers, and with a controller that does not lead, is cut off for up to three
   * leases; the leader elsewhere ends in some of them.
   */
  @ParameterizedTest
  @CsvSource({"a, false", "b, false", "a, true", "b, true"})
  void aZoneIsCutOff(String zone, boolean leaderEnds) {
    atEachMoment(
        100,
        () -> bound(400, 40),
        (w, moment) -> {
          w.zoneCutUntil.put(zone, w.now + 500L * moment);
          w.run(moment % 11);
          cancelSome(w, moment);
          if (leaderEnds) {
            w.loseLeader(0);
          }
        });
  }

  /** The zone that is cut off has the leader in it, which its workers go on to reach. */
  @Test
  void theLeadersZoneIsCutOff() {
    atEachMoment(
        100,
        () -> bound(410, 40),
        (w, moment) -> {
          w.loseLeader(500L * moment);
          w.run(moment % 13);
          cancelSome(w, moment);
          w.run(moment % 5);
          // The other zone has its own trouble meanwhile.
          w.zoneCutUntil.put("a", w.now + 500L * (moment % 40));
        });
  }

  /**
   * Jobs that are bound to one zone, to be together or apart, lose machines: dead ones, ones that
   * hang and go on, ones that are back at once with nothing; and the leader ends.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void boundJobsLoseMachines(int how) {
    atEachMoment(
        50,
        () -> bound(420, 40),
        (w, moment) -> {
          for (int i = 0; i < 4; i++) {
            World.Worker m = w.anyWorker();
            switch (how) {
              case 0 -> m.dead = true;
              case 1 -> m.hungUntil = w.now + 500L * moment;
              case 2 -> m.startAgain();
              default -> m.cutUntil = w.now + 500L * moment;
            }
            w.run((moment + i) % 6 * 0.5);
            if (i == 1) {
              w.loseLeader(moment % 2 == 0 ? 0 : 8_000);
            }
          }
          cancelSome(w, moment);
        });
  }
}
