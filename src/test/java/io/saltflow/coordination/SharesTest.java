package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.shares.Rules;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Ten minutes in which far more arrives than the fleet can do. Whatever arrives, the jobs of the
 * class that would starve are started within a bound, and half of them end.
 */
class SharesTest {
  private static final double LENGTH_S = 600;
  private static final Rules RULES = new Rules(0.5, Span.seconds(60), 0.25);
  private static final int MACHINES = 12;

  /**
   * How long a job of the small class may wait, in seconds: until it counts as waiting (60), until
   * room for its least part comes by itself (the longest run, 40, after a boot, 15), and until the
   * older ones of its class, at most two minutes of a quarter of that part, have started.
   */
  private static final double BOUND_S = 60 + 55 + 120;

  /** What crowds the small class out, and what the small class is like. */
  private enum Crowd {
    URGENT_STREAM,
    NARROW_BESIDE_WIDE,
    ONE_ZONE_FITS,
    HUNDRED_TIMES_A_TEAM,
    BROKEN_CLASS,
    ONE_JOB_OF_FIFTY_THOUSAND,
    TOGETHER_AMONG_ARRAYS,
    TAKEOVER_EVERY_MINUTE,
    HALF_THE_MACHINES_GO,
    DEADLINE_LONG_OVER;

    Jobs small(int number) {
      Jobs job =
          Jobs.job(number).ofClass("small").priority(Priority.LOW).tasks(3).cores(2).estimateS(20);
      return switch (this) {
        case NARROW_BESIDE_WIDE -> job.cores(8);
        case ONE_ZONE_FITS -> job.zone("b");
        case HUNDRED_TIMES_A_TEAM -> job.ofClass("crowd").priority(Priority.NORMAL).team("green");
        case TOGETHER_AMONG_ARRAYS -> job.oneZone(true).cores(4);
        case DEADLINE_LONG_OVER -> job.deadlineS(1);
        default -> job;
      };
    }

    Jobs crowd(int number) {
      Jobs job = Jobs.job(number).ofClass("crowd").tasks(12).cores(1).estimateS(40);
      return switch (this) {
        case URGENT_STREAM, TAKEOVER_EVERY_MINUTE -> job.priority(Priority.HIGH);
        case BROKEN_CLASS -> number % 2 == 0 ? job.ofClass(World.BROKEN) : job;
        case ONE_JOB_OF_FIFTY_THOUSAND -> number == 1 ? job.tasks(50_000) : job.tasks(2);
        default -> job;
      };
    }
  }

  private static Policy policy(Rules rules) {
    return Policies.withShares(World.policy(Span.millis(World.LEASE)), rules);
  }

  private static World play(Crowd crowd, Rules rules, boolean forgetArrivals) {
    World w = new World(7 + crowd.ordinal(), policy(rules));
    w.mostMachines = MACHINES;
    w.mostInZone = MACHINES / 2;
    w.forgetArrivals = forgetArrivals;
    int next = 1;
    for (int second = 0; w.now < LENGTH_S * 1000; second++) {
      // Ninety-six cores do a crowd's job in 5 s; two and a half come in that time.
      if (second % 2 == 0) {
        w.submit(crowd.crowd(next++).build());
      }
      if (second % 20 == 5 && second < LENGTH_S / 2) {
        w.submit(crowd.small(10_000 + second).build());
      }
      if (crowd == Crowd.TAKEOVER_EVERY_MINUTE && second % 60 == 59) {
        w.loseLeader(0);
      }
      if (crowd == Crowd.HALF_THE_MACHINES_GO && second == 200) {
        w.mostMachines = MACHINES / 2;
        List<World.Worker> all = new ArrayList<>(w.workers.values());
        all.subList(0, all.size() / 2).forEach(m -> m.dead = true);
      }
      w.run(1);
    }
    assertEquals("", String.join("\n", w.broken));
    return w;
  }

  private static boolean small(JobSpec spec) {
    return Integer.parseInt(spec.id().text().substring(4)) >= 10_000;
  }

  /** The longest that a job of the small class has waited for its first start. */
  private static double longestWaitS(World w) {
    double longest = 0;
    for (World.JobRecord r : w.records.values()) {
      if (small(r.spec)) {
        longest = Math.max(longest, ((r.startedAt < 0 ? w.now : r.startedAt) - r.at) / 1000.0);
      }
    }
    return longest;
  }

  private static long count(World w, boolean over) {
    return w.records.values().stream().filter(r -> small(r.spec) && (r.over || !over)).count();
  }

  @ParameterizedTest
  @EnumSource(Crowd.class)
  void nobodyStarves(Crowd crowd) {
    World w = play(crowd, RULES, false);
    assertTrue(longestWaitS(w) <= BOUND_S, crowd + ": waits " + longestWaitS(w) + " s");
    long done = count(w, true);
    long all = count(w, false);
    assertTrue(2 * done >= all, crowd + ": " + done + " of " + all);
    boolean crowdServed =
        w.records.values().stream().anyMatch(r -> !small(r.spec) && r.startedAt > 0);
    assertTrue(crowdServed, "the others are served as well");
  }

  /** The checks can fail: without least parts each of these crowds starves the small class. */
  @Test
  void withoutLeastPartsTheyStarve() {
    List<Crowd> starved = new ArrayList<>();
    for (Crowd crowd : Crowd.values()) {
      if (longestWaitS(play(crowd, new Rules(0, Span.seconds(60), 0.25), false)) > BOUND_S) {
        starved.add(crowd);
      }
    }
    assertEquals(List.of(Crowd.values()), starved);
  }

  /** And so does ageing that a takeover forgets: a wait counts from the recorded arrival. */
  @Test
  void waitsThatATakeoverForgetsAreSeen() {
    World w = play(Crowd.TAKEOVER_EVERY_MINUTE, RULES, true);
    assertFalse(longestWaitS(w) <= BOUND_S, "waits " + longestWaitS(w) + " s");
  }
}
