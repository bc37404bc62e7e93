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
 * Tests that a small job class does not starve on an overloaded cluster: its jobs start within a
 * bound, and at least half of them end.
 */
class FairShareTest {
  private static final double DURATION_SECONDS = 600;
  private static final FairShareRules RULES = new FairShareRules(0.5, TimeSpan.seconds(60), 0.25);
  private static final int MACHINES = 12;

  /**
   * Longest permitted wait of a job of the small class, in seconds: the wait threshold (60), the
   * time until capacity for the minimum share is free (longest run 40 plus boot 15), and the time
   * until older jobs of the class have started with the oldest-job share (120).
   */
  private static final double MAX_WAIT_SECONDS = 60 + 55 + 120;

  /** Load that competes with the small class, and the shape of the small class's jobs. */
  private enum CompetingLoad {
    HIGH_PRIORITY_STREAM,
    LARGE_TASKS_AMONG_SMALL,
    SINGLE_ZONE_ELIGIBLE,
    OTHER_TEAM_OF_SAME_CLASS,
    FAILING_CLASS,
    JOB_OF_FIFTY_THOUSAND_TASKS,
    ONE_ZONE_AMONG_ARRAYS,
    FAILOVER_EVERY_MINUTE,
    HALF_THE_MACHINES_LOST,
    EXPIRED_DEADLINE;

    JobSpecBuilder smallJob(int number) {
      JobSpecBuilder job =
          JobSpecBuilder.job(number)
              .ofClass("small")
              .priority(Priority.LOW)
              .tasks(3)
              .cores(2)
              .estimateS(20);
      return switch (this) {
        case LARGE_TASKS_AMONG_SMALL -> job.cores(8);
        case SINGLE_ZONE_ELIGIBLE -> job.zone("b");
        case OTHER_TEAM_OF_SAME_CLASS ->
            job.ofClass("crowd").priority(Priority.NORMAL).team("green");
        case ONE_ZONE_AMONG_ARRAYS -> job.oneZone(true).cores(4);
        case EXPIRED_DEADLINE -> job.deadlineS(1);
        default -> job;
      };
    }

    JobSpecBuilder competingJob(int number) {
      JobSpecBuilder job =
          JobSpecBuilder.job(number).ofClass("crowd").tasks(12).cores(1).estimateS(40);
      return switch (this) {
        case HIGH_PRIORITY_STREAM, FAILOVER_EVERY_MINUTE -> job.priority(Priority.HIGH);
        case FAILING_CLASS ->
            number % 2 == 0 ? job.ofClass(ClusterSimulation.ALWAYS_FAILING_CLASS) : job;
        case JOB_OF_FIFTY_THOUSAND_TASKS -> number == 1 ? job.tasks(50_000) : job.tasks(2);
        default -> job;
      };
    }
  }

  private static Policy policy(FairShareRules rules) {
    return TestPolicies.withFairShareRules(
        ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)), rules);
  }

  private static ClusterSimulation simulate(
      CompetingLoad load, FairShareRules rules, boolean dropArrivals) {
    ClusterSimulation simulation = new ClusterSimulation(7 + load.ordinal(), policy(rules));
    simulation.maxMachines = MACHINES;
    simulation.maxMachinesInZone = MACHINES / 2;
    simulation.ignoreSubmissionTimes = dropArrivals;
    int next = 1;
    for (int second = 0; simulation.now < DURATION_SECONDS * 1000; second++) {
      // 96 cores finish a competing job in 5 s, in which time 2.5 more arrive.
      if (second % 2 == 0) {
        simulation.submit(load.competingJob(next++).build());
      }
      if (second % 20 == 5 && second < DURATION_SECONDS / 2) {
        simulation.submit(load.smallJob(10_000 + second).build());
      }
      if (load == CompetingLoad.FAILOVER_EVERY_MINUTE && second % 60 == 59) {
        simulation.failLeader(0);
      }
      if (load == CompetingLoad.HALF_THE_MACHINES_LOST && second == 200) {
        simulation.maxMachines = MACHINES / 2;
        List<ClusterSimulation.SimulatedWorker> all = new ArrayList<>(simulation.workers.values());
        all.subList(0, all.size() / 2).forEach(worker -> worker.failed = true);
      }
      simulation.run(1);
    }
    assertEquals("", String.join("\n", simulation.violations));
    return simulation;
  }

  private static boolean isSmall(JobSpec spec) {
    return Integer.parseInt(spec.id().text().substring(4)) >= 10_000;
  }

  /** Returns the longest time that a job of the small class waited for its first start. */
  private static double longestWaitS(ClusterSimulation simulation) {
    double longest = 0;
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      if (isSmall(record.spec)) {
        longest =
            Math.max(
                longest,
                ((record.startedAt < 0 ? simulation.now : record.startedAt) - record.submittedAt)
                    / 1000.0);
      }
    }
    return longest;
  }

  private static long countSmall(ClusterSimulation simulation, boolean endedOnly) {
    return simulation.records.values().stream()
        .filter(record -> isSmall(record.spec) && (record.ended || !endedOnly))
        .count();
  }

  @ParameterizedTest
  @EnumSource(CompetingLoad.class)
  void smallClassDoesNotStarve(CompetingLoad load) {
    ClusterSimulation simulation = simulate(load, RULES, false);
    assertTrue(
        longestWaitS(simulation) <= MAX_WAIT_SECONDS,
        load + ": longest wait " + longestWaitS(simulation) + " s");
    long done = countSmall(simulation, true);
    long all = countSmall(simulation, false);
    assertTrue(2 * done >= all, load + ": jobs ended " + done + " of " + all);
    boolean competingLoadServed =
        simulation.records.values().stream()
            .anyMatch(record -> !isSmall(record.spec) && record.startedAt > 0);
    assertTrue(competingLoadServed, "no competing job was started");
  }

  /** Proves that the checks can fail: without a minimum share each load starves the small class. */
  @Test
  void smallClassStarvesWithoutMinimumShare() {
    List<CompetingLoad> starved = new ArrayList<>();
    for (CompetingLoad load : CompetingLoad.values()) {
      if (longestWaitS(simulate(load, new FairShareRules(0, TimeSpan.seconds(60), 0.25), false))
          > MAX_WAIT_SECONDS) {
        starved.add(load);
      }
    }
    assertEquals(List.of(CompetingLoad.values()), starved);
  }

  /** Proves that the checks detect waits that are reset by a failover. */
  @Test
  void smallClassStarvesIfFailoverResetsWaits() {
    ClusterSimulation simulation = simulate(CompetingLoad.FAILOVER_EVERY_MINUTE, RULES, true);
    assertFalse(
        longestWaitS(simulation) <= MAX_WAIT_SECONDS,
        "longest wait only " + longestWaitS(simulation) + " s");
  }
}
