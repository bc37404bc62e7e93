package io.saltflow.leader;

import static io.saltflow.leader.FaultScenarios.atEachMoment;
import static io.saltflow.leader.FaultScenarios.cancelSome;
import static io.saltflow.leader.FaultScenarios.constrained;

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
    atEachMoment(
        100,
        () -> constrained(400, 40),
        (simulation, step) -> {
          simulation.zoneCutUntil.put(zone, simulation.now + 500L * step);
          simulation.run(step % 11);
          cancelSome(simulation, step);
          if (leaderCrashes) {
            simulation.failLeader(0);
          }
        });
  }

  /** The partitioned zone contains the leader, which the workers of the zone still reach. */
  @Test
  void leadersZoneIsPartitioned() {
    atEachMoment(
        100,
        () -> constrained(410, 40),
        (simulation, step) -> {
          simulation.failLeader(500L * step);
          simulation.run(step % 13);
          cancelSome(simulation, step);
          simulation.run(step % 5);
          // The other zone is partitioned as well.
          simulation.zoneCutUntil.put("a", simulation.now + 500L * (step % 40));
        });
  }

  /**
   * Jobs with zone constraints lose machines to failures, process pauses, restarts or partitions,
   * and the leader fails.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void constrainedJobsLoseMachines(int fault) {
    atEachMoment(
        50,
        () -> constrained(420, 40),
        (simulation, step) -> {
          for (int i = 0; i < 4; i++) {
            ClusterSimulation.SimulatedWorker worker = simulation.anyWorker();
            switch (fault) {
              case 0 -> worker.dead = true;
              case 1 -> worker.hungUntil = simulation.now + 500L * step;
              case 2 -> worker.restart();
              default -> worker.partitionedUntil = simulation.now + 500L * step;
            }
            simulation.run((step + i) % 6 * 0.5);
            if (i == 1) {
              simulation.failLeader(step % 2 == 0 ? 0 : 8_000);
            }
          }
          cancelSome(simulation, step);
        });
  }
}
