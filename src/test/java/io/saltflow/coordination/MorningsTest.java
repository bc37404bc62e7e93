package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.deadlines.Morning;
import io.saltflow.deadlines.Rule;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Nights with more work than is ready by the morning, with leaders that end every minute or so: how
 * many jobs miss it, with the queue as it is and with late work pushed.
 */
class MorningsTest {
  private static final long DUE_MS = 360_000;
  private static final String CHAPTERS = "chapters";

  private static Policy policy(boolean pushes) {
    Rule rule =
        new Rule(
            CHAPTERS,
            Set.of(CHAPTERS),
            Set.of(),
            LocalTime.of(0, 0),
            LocalTime.of(0, 6),
            ZoneId.of("UTC"),
            EnumSet.allOf(DayOfWeek.class),
            1);
    Policy p = World.policy(Span.millis(World.LEASE));
    return pushes ? Policies.withMornings(p, List.of(rule)) : p;
  }

  private static JobSpec job(World w, int number) {
    boolean chapter = number % 5 > 0;
    return Jobs.job(number)
        .ofClass(chapter ? CHAPTERS : "other")
        .tasks(1 + w.random.nextInt(chapter ? 40 : 10))
        .cores(2)
        .estimateS(5 + w.random.nextInt(30))
        .build();
  }

  private static World night(long seed, boolean pushes, double runsTimes, int jobs) {
    World w = new World(seed, policy(pushes));
    w.mostMachines = 8;
    w.runsTimes = runsTimes;
    int next = 1;
    while (w.now < DUE_MS + 10_000) {
      // They come in a burst and then one by one; the long ones are not the last.
      if (next <= jobs && (next <= jobs / 2 || w.chance(0.2))) {
        w.submit(job(w, next++));
      }
      if (w.now > 60_000 && w.now % 70_000 < World.STEP) {
        w.loseLeader(0);
      }
      w.step();
    }
    assertEquals("", String.join("\n", w.broken));
    return w;
  }

  private static long ready(World w, String jobClass) {
    return w.records.values().stream()
        .filter(r -> r.spec.jobClass().equals(jobClass) && r.overAt >= 0 && r.overAt <= DUE_MS)
        .count();
  }

  /** No order can do better: all machines from their first second, the shortest jobs first. */
  private static int bound(World w, double runsTimes) {
    List<Double> work = new ArrayList<>();
    for (World.JobRecord r : w.records.values()) {
      if (r.spec.jobClass().equals(CHAPTERS)) {
        work.add(r.spec.tasks() * r.spec.size().cores() * r.spec.estimate().toSeconds());
      }
    }
    work.sort(Comparator.naturalOrder());
    double left = 8 * 8 * (DUE_MS / 1000.0 - 15) / runsTimes;
    int n = 0;
    for (double each : work) {
      left -= each;
      n += left >= 0 ? 1 : 0;
    }
    return n;
  }

  /** The last: what part of the bound is reached at the least. */
  @ParameterizedTest
  @CsvSource({"1, 0.7", "1.5, 0.6", "0.5, 0.7"})
  void fewerJobsMissTheMorning(double runsTimes, double part) {
    long with = 0;
    long without = 0;
    long bound = 0;
    long others = 0;
    long othersWithout = 0;
    List<String> told = new ArrayList<>();
    for (long seed = 1; seed <= 6; seed++) {
      World pushed = night(seed, true, runsTimes, 110);
      World as = night(seed, false, runsTimes, 110);
      with += ready(pushed, CHAPTERS);
      without += ready(as, CHAPTERS);
      others += ready(pushed, "other");
      othersWithout += ready(as, "other");
      bound += bound(pushed, runsTimes);
      told.add(ready(as, CHAPTERS) + " -> " + ready(pushed, CHAPTERS));
      Morning m = pushed.mornings.get(CHAPTERS + "/1970-01-01");
      assertTrue(m != null && m.ended() != null, "how it ended is recorded: " + m);
      assertTrue(Math.abs(m.ready() - ready(pushed, CHAPTERS)) <= 1, m + " " + told);
      assertTrue(pushed.morningWrites <= pushed.now / 5000, pushed.morningWrites + " writes");
    }
    String how =
        "estimates by " + runsTimes + ": ready " + without + " -> " + with + ", bound " + bound;
    System.out.println(how + ", others " + othersWithout + " -> " + others + ", " + told);
    assertTrue(with >= without, how + ", " + told);
    assertTrue(with >= part * bound, how);
    assertTrue(2 * others >= othersWithout, how + ", others " + othersWithout + " -> " + others);
  }
}
