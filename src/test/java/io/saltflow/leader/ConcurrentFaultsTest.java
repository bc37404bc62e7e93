package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Concurrent faults, injected at every step of the scenario. */
class ConcurrentFaultsTest {
  /** Exceeds the cancellation bound and every lease, in milliseconds. */
  private static final long OUTAGE_MS =
      ClusterSimulation.CANCELLATION_BOUND_MS + ClusterSimulation.LEASE_MS;

  private static final int JOBS = 8;

  private static ClusterSimulation withRunningJobs(long seed, double estimateS) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    // Both zones have machines, so a partitioned leader keeps the workers of one of them.
    simulation.maxMachinesInZone = 2;
    for (int i = 1; i <= JOBS; i++) {
      simulation.submit(
          JobSpecBuilder.job(i).team("blue").tasks(3).cores(1).estimateS(estimateS).build());
    }
    simulation.run(40);
    return simulation;
  }

  /**
   * The cancellation bounds of successive leaders must not add up: several leaders lose the
   * key-value store before they have read the jobs, and must not keep alive tasks that they do not
   * know. One job is cancelled per step through another controller, before a store outage.
   *
   * @param leaders number of leaders that lose the key-value store one after the other
   * @param outageS time from the last election to the outage, in seconds
   */
  @ParameterizedTest
  @CsvSource({"0, 0", "0, 4", "1, 0", "1, 0.5", "1, 2", "2, 0", "2, 1", "3, 0.5"})
  void cancelledTasksEndDuringRepeatedOutages(int leaders, double outageS) {
    ClusterSimulation simulation = withRunningJobs(leaders, 300);
    simulation.leaderReadMs = 3000;
    int cancelled = 0;
    for (int lost = 0; lost < Math.max(1, leaders); lost++) {
      long term = simulation.lastTermNumber;
      simulation.disconnectLeaderFromStore(60_000);
      while (leaders > 0 && simulation.lastTermNumber == term) {
        simulation.cancel(new JobId(JobSpecBuilder.id(1 + cancelled++ % JOBS)));
        simulation.step();
      }
    }
    simulation.run(outageS);
    simulation.cancel(new JobId(JobSpecBuilder.id(JOBS)));
    simulation.startStoreOutage(OUTAGE_MS);
    simulation.run(OUTAGE_MS / 1000.0);
    assertEquals("", String.join("\n", simulation.violations));
    simulation.run(90);
    assertTrue(simulation.leader.core.isReconciled());
    assertEquals("", String.join("\n", simulation.violations));
  }

  /** Runs the script once for each step at which a fault may occur, on a new simulation. */
  private static void atEachStep(int steps, BiConsumer<ClusterSimulation, Integer> script) {
    for (int step = 0; step < steps; step++) {
      ClusterSimulation simulation = withRunningJobs(100 + step, 60);
      script.accept(simulation, step);
      for (int i = 0; i < 2000 && !simulation.allJobsEnded(); i++) {
        simulation.step();
      }
      assertEquals("", String.join("\n", simulation.violations), "step " + step);
      assertTrue(simulation.allJobsEnded(), "not all jobs ended, step " + step);
    }
  }

  private static void cancelSomeJobs(ClusterSimulation simulation, int step) {
    for (int i = 0; i < 3; i++) {
      simulation.cancel(new JobId(JobSpecBuilder.id(1 + (step + i) % JOBS)));
    }
  }

  /** The leader crashes while machines are partitioned or receive no responses. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void leaderFailsWhileMachinesAreUnreachable(boolean inboundLost) {
    atEachStep(
        60,
        (simulation, step) -> {
          simulation.workers.values().stream()
              .skip(1)
              .forEach(
                  worker -> {
                    long until = simulation.now + 500L * step;
                    worker.partitionedUntil = inboundLost ? 0 : until;
                    worker.inboundLostUntil = inboundLost ? until : 0;
                  });
          simulation.run(step % 7);
          cancelSomeJobs(simulation, step);
          simulation.failLeader(0);
        });
  }

  /** The former leader still serves the workers of its zone while another controller leads. */
  @Test
  void leaderIsPartitionedFromStoreButNotFromWorkers() {
    int[] heartbeats = new int[1];
    atEachStep(
        80,
        (simulation, step) -> {
          simulation.failLeader(500L * step);
          simulation.run(step % 13);
          cancelSomeJobs(simulation, step);
          simulation.run(5);
          heartbeats[0] += simulation.heartbeatsToPartitionedLeaders;
        });
    assertTrue(heartbeats[0] > 200, "too few heartbeats to partitioned leaders: " + heartbeats[0]);
  }

  /** Tasks run one after the other on a single machine, so they complete far apart. */
  @Test
  void tasksOfOneJobCompleteUnderSeveralLeaders() {
    for (int step = 0; step < 80; step++) {
      ClusterSimulation simulation =
          new ClusterSimulation(
              step, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
      simulation.maxMachines = 1;
      simulation.leaderReadMs = 1000;
      simulation.submit(JobSpecBuilder.job(1).team("blue").tasks(3).cores(8).estimateS(12).build());
      simulation.run(20 + step * 0.5);
      simulation.failLeader(0);
      simulation.run(step % 9);
      simulation.failLeader(0);
      simulation.run(120);
      assertEquals("", String.join("\n", simulation.violations), "step " + step);
      assertTrue(simulation.allJobsEnded(), "step " + step);
      assertEquals(
          3,
          simulation.taskStartCount,
          "each task runs once and its completion counts, step " + step);
    }
  }

  /** Leaders change within seconds while delayed writes of earlier leaders are applied. */
  @Test
  void leadersAlternateWithDelayedWrites() {
    atEachStep(
        60,
        (simulation, step) -> {
          simulation.delayedWriteProbability = 0.3;
          simulation.slowResponseProbability = 0.3;
          simulation.leaderReadMs = 500L * (step % 3);
          for (int i = 0; i < 6; i++) {
            simulation.failLeader(i % 2 == 0 ? 0 : 2000);
            simulation.nextElectionAt = simulation.now + 500;
            simulation.run((step + i) % 5 * 0.5);
          }
          cancelSomeJobs(simulation, step);
          simulation.run(step);
          simulation.delayedWriteProbability = 0;
        });
  }
}
