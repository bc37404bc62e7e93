package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Ten minutes in which far more arrives than the fleet can do. Whatever arrives, the jobs of the
 * class that would starve are started within a bound, and half of them end.
 */
class FairShareTest {
  private static final double DURATION_SECONDS = 600;
  private static final FairShareRules RULES = new FairShareRules(0.5, TimeSpan.seconds(60), 0.25);
  private static final int MACHINES = 12;

  /**
   * How long a job of the small class may wait, in seconds: until it counts as waiting (60), until
   * room for its least part comes by itself (the longest run, 40, after a boot, 15), and until the
   * older ones of its class, at most two minutes of a quarter of that part, have started.
   */
  private static final double MAX_WAIT_SECONDS = 60 + 55 + 120;

  /** What crowds the small class out, and what the small class is like. */
  private enum CompetingLoad {
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

    JobSpecBuilder small(int number) {
      JobSpecBuilder job =
          JobSpecBuilder.job(number)
              .ofClass("small")
              .priority(Priority.LOW)
              .tasks(3)
              .cores(2)
              .estimateS(20);
      return switch (this) {
        case NARROW_BESIDE_WIDE -> job.cores(8);
        case ONE_ZONE_FITS -> job.zone("b");
        case HUNDRED_TIMES_A_TEAM -> job.ofClass("crowd").priority(Priority.NORMAL).team("green");
        case TOGETHER_AMONG_ARRAYS -> job.oneZone(true).cores(4);
        case DEADLINE_LONG_OVER -> job.deadlineS(1);
        default -> job;
      };
    }

    JobSpecBuilder competing(int number) {
      JobSpecBuilder job =
          JobSpecBuilder.job(number).ofClass("crowd").tasks(12).cores(1).estimateS(40);
      return switch (this) {
        case URGENT_STREAM, TAKEOVER_EVERY_MINUTE -> job.priority(Priority.HIGH);
        case BROKEN_CLASS ->
            number % 2 == 0 ? job.ofClass(ClusterSimulation.ALWAYS_FAILING_CLASS) : job;
        case ONE_JOB_OF_FIFTY_THOUSAND -> number == 1 ? job.tasks(50_000) : job.tasks(2);
        default -> job;
      };
    }
  }

  private static Policy policy(FairShareRules rules) {
    return TestPolicies.withFairShareRules(
        ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)), rules);
  }

  private static ClusterSimulation play(
      CompetingLoad load, FairShareRules rules, boolean forgetArrivals) {
    ClusterSimulation simulation = new ClusterSimulation(7 + load.ordinal(), policy(rules));
    simulation.maxMachines = MACHINES;
    simulation.maxMachinesInZone = MACHINES / 2;
    simulation.dropArrivals = forgetArrivals;
    int next = 1;
    for (int second = 0; simulation.now < DURATION_SECONDS * 1000; second++) {
      // Ninety-six cores do a crowd's job in 5 s; two and a half come in that time.
      if (second % 2 == 0) {
        simulation.submit(load.competing(next++).build());
      }
      if (second % 20 == 5 && second < DURATION_SECONDS / 2) {
        simulation.submit(load.small(10_000 + second).build());
      }
      if (load == CompetingLoad.TAKEOVER_EVERY_MINUTE && second % 60 == 59) {
        simulation.failLeader(0);
      }
      if (load == CompetingLoad.HALF_THE_MACHINES_GO && second == 200) {
        simulation.maxMachines = MACHINES / 2;
        List<ClusterSimulation.SimulatedWorker> all = new ArrayList<>(simulation.workers.values());
        all.subList(0, all.size() / 2).forEach(worker -> worker.dead = true);
      }
      simulation.run(1);
    }
    assertEquals("", String.join("\n", simulation.violations));
    return simulation;
  }

  private static boolean small(JobSpec spec) {
    return Integer.parseInt(spec.id().text().substring(4)) >= 10_000;
  }

  /** The longest that a job of the small class has waited for its first start. */
  private static double longestWaitS(ClusterSimulation simulation) {
    double longest = 0;
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      if (small(record.spec)) {
        longest =
            Math.max(
                longest,
                ((record.startedAt < 0 ? simulation.now : record.startedAt) - record.submittedAt)
                    / 1000.0);
      }
    }
    return longest;
  }

  private static long count(ClusterSimulation simulation, boolean over) {
    return simulation.records.values().stream()
        .filter(record -> small(record.spec) && (record.ended || !over))
        .count();
  }

  @ParameterizedTest
  @EnumSource(CompetingLoad.class)
  void noClassStarves(CompetingLoad load) {
    ClusterSimulation simulation = play(load, RULES, false);
    assertTrue(
        longestWaitS(simulation) <= MAX_WAIT_SECONDS,
        load + ": waits " + longestWaitS(simulation) + " s");
    long done = count(simulation, true);
    long all = count(simulation, false);
    assertTrue(2 * done >= all, load + ": " + done + " of " + all);
    boolean crowdServed =
        simulation.records.values().stream()
            .anyMatch(record -> !small(record.spec) && record.startedAt > 0);
    assertTrue(crowdServed, "the others are served as well");
  }

  /** The checks can fail: without least parts each of these crowds starves the small class. */
  @Test
  void withoutFairShareTheClassStarves() {
    List<CompetingLoad> starved = new ArrayList<>();
    for (CompetingLoad load : CompetingLoad.values()) {
      if (longestWaitS(play(load, new FairShareRules(0, TimeSpan.seconds(60), 0.25), false))
          > MAX_WAIT_SECONDS) {
        starved.add(load);
      }
    }
    assertEquals(List.of(CompetingLoad.values()), starved);
  }

  /** And so does ageing that a failover forgets: a wait counts from the recorded arrival. */
  @Test
  void waitsAreCountedFromRecordedArrival() {
    ClusterSimulation simulation = play(CompetingLoad.TAKEOVER_EVERY_MINUTE, RULES, true);
    assertFalse(
        longestWaitS(simulation) <= MAX_WAIT_SECONDS, "waits " + longestWaitS(simulation) + " s");
  }
}
