package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Span;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cancellations whose machines can't be told, at each half second of the meeting. */
class CancellationMeetingsTest {
  private static final int JOBS = 6;

  /** Long enough that no task ends by itself before its cancellation has to have ended it. */
  private static final double LONG_S = 120;

  private static World running(long seed) {
    World w = new World(seed, World.policy(Span.millis(World.LEASE)));
    for (int i = 1; i <= JOBS; i++) {
      w.submit(Jobs.job(i).tasks(2).cores(3).estimateS(LONG_S).build());
    }
    w.run(30);
    return w;
  }

  private static JobId id(int number) {
    return new JobId(Jobs.id(number));
  }

  private static void cancelHalf(World w) {
    for (int i = 1; i <= JOBS; i += 2) {
      w.cancel(id(i));
    }
  }

  private static Set<MachineId> withCancelledTasks(World w) {
    return w.workers.values().stream()
        .filter(m -> m.tasks.keySet().stream().anyMatch(t -> w.records.get(t.job()).over))
        .map(m -> m.id)
        .collect(Collectors.toSet());
  }

  /** Everybody's, so that no machine can be told of the cancellation. */
  private static void strikeAll(World w, MachineTrouble trouble, long forMs) {
    w.workers.values().forEach(m -> trouble.strike(m, w.now + forMs));
  }

  /**
   * Machines get out of reach from two seconds before until three seconds after the cancellation,
   * for a short while, nearly a lease, and longer than that, and go on. Answers take up to 5 s in
   * half of the cases, so that some wait at a machine that hangs.
   */
  @ParameterizedTest
  @EnumSource(MachineTrouble.class)
  void aCancelledTaskIsStoppedOnceItsMachineGoesOn(MachineTrouble trouble) {
    for (int strike = -4; strike <= 6; strike++) {
      for (int steps : new int[] {1, 5, 9, 20, 30, 33, 50}) {
        World w = running(strike + 50);
        w.slow = steps % 2;
        for (int step = -4; step <= 6; step++) {
          if (step == 0) {
            cancelHalf(w);
          }
          if (step == strike) {
            strikeAll(w, trouble, steps * World.STEP);
          }
          w.step();
        }
        w.run((World.CANCEL + World.LEASE) / 1000.0);
        w.slow = 0;
        WorldAssert.assertServed(w, trouble + ", strike " + strike + " for " + steps);
      }
    }
  }

  /**
   * The work of a controller changes hands, by its end, by a cut, or without its knowing, and jobs
   * are cancelled at each half second of that while machines are out of reach.
   */
  @ParameterizedTest
  @EnumSource(MachineTrouble.class)
  void jobsAreCancelledWhileWorkChangesHands(MachineTrouble trouble) {
    for (int cancel = -4; cancel <= 20; cancel++) {
      for (int way = 0; way < 3; way++) {
        World w = running(cancel + 100);
        w.readingMs = 1000;
        for (int step = -4; step <= 20; step++) {
          if (step == cancel) {
            cancelHalf(w);
            strikeAll(w, trouble, 6000);
          }
          if (step == 0) {
            changeHands(w, way);
          }
          w.step();
        }
        w.run((World.CANCEL + World.LEASE) / 1000.0);
        WorldAssert.assertServed(w, trouble + ", cancel " + cancel + ", way " + way);
      }
    }
  }

  private static void changeHands(World w, int way) {
    switch (way) {
      case 0 -> w.loseLeader(0);
      case 1 -> w.loseLeader(12_000);
      default -> w.supersede(8000);
    }
  }

  /**
   * Nobody can open a connection from the machines of cancelled jobs for a minute: their leases end
   * the tasks in time, the machines are returned, and other work has its room again.
   *
   * @param change whether the leader changes meanwhile, which then knows only the ledger
   * @param cloudDown whether the machines can't be returned meanwhile
   */
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void muteMachinesLoseTheirTasksInTimeAndAreReplaced(boolean change, boolean cloudDown) {
    for (int moment = -6; moment <= 12; moment++) {
      World w = running(moment + 200);
      Set<MachineId> mute = Set.copyOf(w.workers.keySet());
      for (int step = -6; step <= 12; step++) {
        if (step == 0) {
          strikeAll(w, MachineTrouble.IS_MUTE, 60_000);
          w.cloudDownUntil = cloudDown ? w.now + 30_000 : 0;
        }
        if (step == moment) {
          cancelHalf(w);
        }
        if (step == 4 && change) {
          w.loseLeader(0);
        }
        w.step();
      }
      // From the last answer before they fell mute; the second half of a second is the worker's.
      w.run(World.LEASE / 1000.0 - 6 + 0.5);
      String when = "moment " + moment;
      assertEquals(Set.of(), withCancelledTasks(w), when);
      w.run(40);
      assertTrue(w.workers.keySet().stream().noneMatch(mute::contains), "returned, " + when);
      w.run(30);
      for (int i = 2; i <= JOBS; i += 2) {
        assertFalse(w.lead.core.job(id(i)).present.isEmpty(), "goes on elsewhere, " + when);
      }
      WorldAssert.assertServed(w, when);
    }
  }

  /**
   * Four jobs of one task a second, a quarter of them cancelled: at once, before and after their
   * launch, while they run, and in the half second in which they end.
   *
   * @param changes whether leaders change in between
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void smallJobsComeAndAreCancelledByTheHundred(boolean changes) {
    World w = new World(changes ? 301 : 300, World.policy(Span.millis(World.LEASE)));
    int jobs = 0;
    int mostKnown = 0;
    w.late = 0.1;
    for (int step = 0; step < 360; step++) {
      for (int i = 0; i < 2; i++) {
        w.submit(Jobs.job(++jobs).cores(1).estimateS(1 + jobs % 7).build());
        cancelByNumber(w, jobs);
      }
      if (changes && step % 80 == 50) {
        w.loseLeader(0);
      }
      cancelWhatEnds(w);
      w.step();
      if (w.lead != null && w.lead.core != null) {
        mostKnown = Math.max(mostKnown, w.lead.core.jobs().size());
      }
    }
    w.late = 0;
    WorldAssert.assertServed(w, "changes " + changes);
    w.run(20);
    assertEquals(0, w.lead.core.jobs().size(), "none is remembered for ever");
    assertTrue(
        mostKnown < jobs / 2, "of " + jobs + " at most " + mostKnown + " were known at once");
    long cancelled = w.records.values().stream().filter(r -> r.cancelledAt >= 0).count();
    assertTrue(cancelled > jobs / 6, cancelled + " were cancelled");
    for (World.JobRecord r : w.records.values()) {
      assertTrue(r.cancelledAt >= 0 ^ r.overAt >= 0, r.spec.id() + " is done or cancelled");
    }
  }

  /** One of eight jobs, up to six seconds after it was submitted. */
  private static void cancelByNumber(World w, int newest) {
    int age = newest / 8 % 12 * 2;
    int number = newest - age;
    if (number > 0 && newest % 8 == 0) {
      w.cancel(id(number));
    }
  }

  /**
   * A part of the jobs whose task ends within half a second, or has ended without the end being
   * recorded: it waits for a leader, or its write has got no answer.
   */
  private static void cancelWhatEnds(World w) {
    for (World.Worker m : w.workers.values()) {
      for (var e : List.copyOf(m.tasks.entrySet())) {
        boolean chosen = Math.floorMod(e.getKey().job().hashCode(), 5) == 0;
        boolean runs = e.getValue().isRunning();
        if (chosen && (!runs || e.getValue().endsAt <= w.now + World.STEP)) {
          w.cancel(e.getKey().job());
        }
      }
    }
  }
}
