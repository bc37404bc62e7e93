package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulations with random faults, in which the invariants are checked after each step. */
class RandomFaultsTest {
  private static final double DURATION_SECONDS = 400;
  private static final double TRAILING_FAULTS_SECONDS = 60;

  private static ClusterSimulation simulate(long seed, Policy policy, boolean ignoreLedger) {
    ClusterSimulation simulation = new ClusterSimulation(seed, policy);
    simulation.ignoreLedger = ignoreLedger;
    return run(simulation, DURATION_SECONDS, 14);
  }

  private static ClusterSimulation run(
      ClusterSimulation simulation, double durationS, int maxTasks) {
    simulation.lostResponseProbability = 0.02;
    int next = 1;
    while (simulation.now < durationS * 1000) {
      if (simulation.chance(0.06)) {
        simulation.submit(randomJob(simulation, next++, maxTasks));
      }
      injectFaults(simulation, next);
      simulation.step();
    }
    // No more faults are injected, so all jobs must end. Delays and duplicates continue for a
    // while;
    // once they stop as well, the liveness checks apply.
    simulation.lostResponseProbability = 0;
    simulation.run(TRAILING_FAULTS_SECONDS);
    simulation.endFaults();
    for (int i = 0; i < 5000 && !simulation.allJobsEnded(); i++) {
      simulation.step();
    }
    return simulation;
  }

  private static JobSpec randomJob(ClusterSimulation simulation, int number, int maxTasks) {
    return JobSpecBuilder.job(number)
        .team(simulation.chance(0.5) ? "red" : "blue")
        .priority(Priority.values()[simulation.random.nextInt(4)])
        .tasks(1 + simulation.random.nextInt(maxTasks))
        .cores(1 + simulation.random.nextInt(4))
        .estimateS(5 + simulation.random.nextInt(40))
        .checkpointS(simulation.chance(0.3) ? 5 : 0)
        .oneZone(simulation.chance(0.2))
        .spread(simulation.chance(0.2))
        .zone(simulation.chance(0.1) ? "a" : null)
        .spot(simulation.chance(0.8))
        .build();
  }

  private static void injectFaults(ClusterSimulation simulation, int jobs) {
    if (simulation.chance(0.008)) {
      simulation.failLeader(
          simulation.chance(0.5) ? 5000 + simulation.random.nextInt(40) * 1000L : 0);
    }
    if (simulation.supersede && simulation.chance(0.008)) {
      simulation.supersede(simulation.random.nextInt(50) * 500L);
    }
    if (simulation.chance(0.004)) {
      simulation.cloudOutageUntil = simulation.now + 20_000;
    }
    if (simulation.storeFaults && simulation.chance(0.012)) {
      injectStoreFaults(simulation, jobs);
    }
    ClusterSimulation.SimulatedWorker worker = simulation.randomWorker();
    if (worker != null && simulation.chance(0.03)) {
      switch (simulation.random.nextInt(4)) {
        case 0 -> worker.failed = true;
        case 1 -> worker.partitionedUntil = simulation.now + simulation.random.nextInt(60) * 500L;
        case 2 -> worker.pausedUntil = simulation.now + simulation.random.nextInt(25) * 500L;
        default -> worker.failsAllTasks = true;
      }
    }
    if (worker != null && simulation.asymmetricPartitions && simulation.chance(0.03)) {
      if (simulation.chance(0.3)) {
        worker.restart();
      } else {
        worker.inboundLostUntil = simulation.now + simulation.random.nextInt(160) * 500L;
      }
    }
    if (jobs > 1 && simulation.chance(0.005)) {
      simulation.cancel(new JobId(JobSpecBuilder.id(1 + simulation.random.nextInt(jobs - 1))));
    }
  }

  /**
   * Makes the key-value store unreachable for the leader or for all, while jobs are cancelled and
   * the leader may crash.
   */
  private static void injectStoreFaults(ClusterSimulation simulation, int jobs) {
    long outageMs = 1000 + simulation.random.nextInt(60) * 500L;
    simulation.disconnectLeaderFromStore(outageMs);
    for (int i = 0; i < 3 && jobs > 1; i++) {
      simulation.cancel(new JobId(JobSpecBuilder.id(1 + simulation.random.nextInt(jobs - 1))));
    }
    simulation.run(simulation.random.nextInt(30) * 0.5);
    if (simulation.chance(0.5)) {
      simulation.startStoreOutage(1000 + simulation.random.nextInt(130) * 500L);
    }
    if (simulation.chance(0.3)) {
      simulation.run(simulation.random.nextInt(10) * 0.5);
      simulation.failLeader(0);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void invariantsHoldAndAllJobsEnd(long seed) {
    ClusterSimulation simulation =
        simulate(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)), false);
    assertEquals("", String.join("\n", simulation.violations));
    assertTrue(simulation.taskStartCount > 50, "too few task starts: " + simulation.taskStartCount);
    assertTrue(simulation.allJobsEnded(), "not all jobs ended");
  }

  /** Covers a large cluster with little CPU, in which most machines are filled between rounds. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22})
  void invariantsHoldInLargeCluster(long seed) {
    Policy policy =
        TestPolicies.withCpuShare(
            ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)), 0.02);
    ClusterSimulation simulation = new ClusterSimulation(seed, policy);
    simulation.maxMachines = 150;
    run(simulation, 150, 150);
    assertEquals("", String.join("\n", simulation.violations));
    assertTrue(
        simulation.taskStartCount > 300, "too few task starts: " + simulation.taskStartCount);
    assertTrue(simulation.allJobsEnded(), "not all jobs ended");
  }

  /**
   * Safety must not depend on candidates waiting for the lease expiry: healthy leaders are
   * superseded repeatedly and notice it seconds later.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38})
  void invariantsHoldWhenLeadersAreSuperseded(long seed) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    simulation.supersede = true;
    run(simulation, DURATION_SECONDS, 14);
    assertEquals("", String.join("\n", simulation.violations));
    assertTrue(simulation.lastTermNumber > 5, "too few terms: " + simulation.lastTermNumber);
    assertTrue(simulation.allJobsEnded(), "not all jobs ended");
  }

  /** Loses responses, delivers late duplicates, restarts workers and partitions leaders. */
  private static ClusterSimulation withAsymmetricPartitions(long seed, boolean supersede) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    simulation.asymmetricPartitions = true;
    simulation.duplicateProbability = 0.05;
    simulation.supersede = supersede;
    return run(simulation, DURATION_SECONDS, 14);
  }

  /** Adds store outages, delayed writes and slow responses to the asymmetric partitions. */
  private static ClusterSimulation withCombinedFaults(long seed) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    simulation.asymmetricPartitions = true;
    simulation.duplicateProbability = 0.05;
    simulation.delayedWriteProbability = 0.05;
    simulation.slowResponseProbability = 0.1;
    simulation.leaderReadMs = 1000;
    simulation.storeFaults = true;
    simulation.supersede = seed % 2 == 0;
    return run(simulation, DURATION_SECONDS, 14);
  }

  private static void assertAllJobsEnd(ClusterSimulation simulation, String scenario) {
    assertEquals("", String.join("\n", simulation.violations), scenario);
    assertTrue(simulation.allJobsEnded(), "not all jobs ended, " + scenario);
  }

  @ParameterizedTest
  @ValueSource(longs = {41, 42, 43, 44, 45, 46, 47, 48})
  void invariantsHoldUnderLostResponsesAndLateDuplicates(long seed) {
    assertAllJobsEnd(withAsymmetricPartitions(seed, seed % 2 == 0), "seed " + seed);
  }

  /** Seed 1132 covers a delayed ledger write that would overwrite a newer one. */
  @ParameterizedTest
  @ValueSource(longs = {51, 52, 53, 54, 55, 56, 57, 58, 1132})
  void invariantsHoldUnderCombinedFaults(long seed) {
    assertAllJobsEnd(withCombinedFaults(seed), "seed " + seed);
  }

  /** Not run in CI: {@code mvn test -Dtest=RandomFaultsTest -Dmeetings.seeds=2000}. */
  @Test
  @EnabledIfSystemProperty(named = "meetings.seeds", matches = "\\d+")
  void invariantsHoldUnderCombinedFaultsForManySeeds() {
    for (long seed = 1000; seed < 1000 + Long.getLong("meetings.seeds"); seed++) {
      assertAllJobsEnd(withCombinedFaults(seed), "seed " + seed);
    }
  }

  /** Not run in CI: {@code mvn test -Dtest=RandomFaultsTest -Dfaults.seeds=2000}. */
  @Test
  @EnabledIfSystemProperty(named = "faults.seeds", matches = "\\d+")
  void invariantsHoldUnderLostResponsesForManySeeds() {
    for (long seed = 1000; seed < 1000 + Long.getLong("faults.seeds"); seed++) {
      assertAllJobsEnd(withAsymmetricPartitions(seed, seed % 2 == 0), "seed " + seed);
    }
  }

  @Test
  void taskRunsTwiceWithoutLedger() {
    assertViolates(
        "ran_twice", ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)), true);
  }

  @Test
  void taskRunsTwiceWithoutLeaseWait() {
    assertViolates("ran_twice", ClusterSimulation.policy(TimeSpan.millis(1000)), false);
  }

  /** Asserts that the checks detect the violation when a safety mechanism is disabled. */
  private static void assertViolates(String rule, Policy policy, boolean ignoreLedger) {
    boolean violated = false;
    for (long seed = 1; seed <= 8 && !violated; seed++) {
      ClusterSimulation simulation = simulate(seed, policy, ignoreLedger);
      violated = simulation.violations.stream().anyMatch(violation -> violation.startsWith(rule));
    }
    assertTrue(violated, "no violation of " + rule + " was detected");
  }
}
