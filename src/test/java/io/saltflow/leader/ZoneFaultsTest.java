package io.saltflow.leader;

import static io.saltflow.leader.FaultScenarios.atEachStep;
import static io.saltflow.leader.FaultScenarios.cancelSomeJobs;
import static io.saltflow.leader.FaultScenarios.withConstrainedJobs;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Zone partitions and jobs with zone constraints, with faults at every step. */
class ZoneFaultsTest {
  /**
   * A zone with workers and a follower is partitioned for up to three leases, while the leader in
   * another zone may crash.
   */
  @ParameterizedTest
  @CsvSource({"a, false", "b, false", "a, true", "b, true"})
  void zoneIsPartitioned(String zone, boolean leaderCrashes) {
    atEachStep(
        100,
        () -> withConstrainedJobs(400, 40),
        (simulation, step) -> {
          simulation.zonePartitionedUntil.put(zone, simulation.now + 500L * step);
          simulation.run(step % 11);
          cancelSomeJobs(simulation, step);
          if (leaderCrashes) {
            simulation.failLeader(0);
          }
        });
  }

  /** The partitioned zone contains the leader, which the workers of the zone still reach. */
  @Test
  void leadersZoneIsPartitioned() {
    atEachStep(
        100,
        () -> withConstrainedJobs(410, 40),
        (simulation, step) -> {
          simulation.failLeader(500L * step);
          simulation.run(step % 13);
          cancelSomeJobs(simulation, step);
          simulation.run(step % 5);
          // The other zone is partitioned as well.
          simulation.zonePartitionedUntil.put("a", simulation.now + 500L * (step % 40));
        });
  }

  /**
   * Jobs with zone constraints lose machines to failures, process pauses, restarts or partitions,
   * and the leader fails.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void constrainedJobsLoseMachines(int fault) {
    atEachStep(
        50,
        () -> withConstrainedJobs(420, 40),
        (simulation, step) -> {
          for (int i = 0; i < 4; i++) {
            ClusterSimulation.SimulatedWorker worker = simulation.randomWorker();
            switch (fault) {
              case 0 -> worker.failed = true;
              case 1 -> worker.pausedUntil = simulation.now + 500L * step;
              case 2 -> worker.restart();
              default -> worker.partitionedUntil = simulation.now + 500L * step;
            }
            simulation.run((step + i) % 6 * 0.5);
            if (i == 1) {
              simulation.failLeader(step % 2 == 0 ? 0 : 8_000);
            }
          }
          cancelSomeJobs(simulation, step);
        });
  }
}
