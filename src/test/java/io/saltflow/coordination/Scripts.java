package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;

/** Meetings that a script brings about, at each half second of them, with the rules checked. */
final class Scripts {
  static final int JOBS = 8;

  /** So many steps a world may take to get everything done after its script. */
  private static final int MOST_STEPS = 2000;

  private Scripts() {}

  static World world(long seed) {
    return new World(seed, World.policy(Span.millis(World.LEASE)));
  }

  /** Plain work that has been running for a while. */
  static World running(long seed, double estimateS) {
    World w = world(seed);
    w.mostInZone = 3;
    for (int i = 1; i <= JOBS; i++) {
      w.submit(Jobs.job(i).team("blue").tasks(3).cores(1).estimateS(estimateS).build());
    }
    w.run(40);
    return w;
  }

  /** Jobs that are bound to places, each in another way, and one of a team with a limit. */
  static World bound(long seed, double estimateS) {
    World w = world(seed);
    w.mostInZone = 3;
    for (int i = 1; i <= JOBS; i++) {
      w.submit(
          Jobs.job(i)
              .ofClass(i % 2 == 0 ? "even" : "odd")
              .team(i % 3 == 0 ? "red" : "blue")
              .tasks(2 + i % 4)
              .cores(3)
              .estimateS(estimateS)
              .oneZone(i % 4 == 0)
              .spread(i % 4 == 1)
              .zone(i % 4 == 2 ? "b" : null)
              .spot(i % 4 != 3)
              .build());
    }
    w.run(40);
    return w;
  }

  /** Plays the script once for each moment: so many half seconds into the meeting. */
  static void atEachMoment(int moments, Supplier<World> start, ObjIntConsumer<World> script) {
    for (int moment = 0; moment < moments; moment++) {
      World w = start.get();
      script.accept(w, moment);
      finish(w, "moment " + moment);
    }
  }

  /** The troubles end, and everything gets done as the operators ask for. */
  static void finish(World w, String which) {
    w.calmDown();
    for (int i = 0; i < MOST_STEPS && !w.allOver(); i++) {
      w.step();
    }
    assertEquals("", String.join("\n", w.broken), which);
    assertTrue(w.allOver(), "a job is forgotten, " + which);
  }

  static void cancelSome(World w, int moment) {
    for (int i = 0; i < 3; i++) {
      w.cancel(new JobId(Jobs.id(1 + (moment + i) % JOBS)));
    }
  }
}
