package io.saltflow.leader;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import org.junit.jupiter.api.Test;

/** Tests a superseded leader that continues to act until it learns of its successor. */
class SupersededLeaderTest {
  private static final int CANCELLED_JOB = 99;

  private static ClusterSimulation simulationWithRunningJobs(long seed) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    simulation.submit(JobSpecBuilder.job(1).tasks(2).cores(8).estimateS(60).build());
    simulation.submit(JobSpecBuilder.job(CANCELLED_JOB).tasks(2).cores(8).estimateS(600).build());
    simulation.run(40);
    return simulation;
  }

  private static ClusterSimulation.SimulatedWorker workerRunning(
      ClusterSimulation simulation, int job) {
    return simulation.workers.values().stream()
        .filter(
            worker -> worker.tasks.keySet().stream().anyMatch(task -> task.job().equals(id(job))))
        .findFirst()
        .orElseThrow();
  }

  private static JobId id(int number) {
    return new JobId(JobSpecBuilder.id(number));
  }

  /**
   * Guards against a superseded leader taking a worker's lease for expired after its successor has
   * renewed it: the worker is unreachable for nearly a lease and then answered by the successor.
   */
  @Test
  void leaseRenewedBySuccessorIsNotTakenForExpired() {
    for (int unreachableSteps = 24; unreachableSteps <= 30; unreachableSteps++) {
      for (int phase = 0; phase < 12; phase++) {
        ClusterSimulation simulation = simulationWithRunningJobs(phase);
        simulation.run(phase * 0.5);
        // With the cloud unavailable the unreachable machine cannot be deleted.
        simulation.cloudOutageUntil = simulation.now + 60_000;
        workerRunning(simulation, 1).partitionedUntil =
            simulation.now + unreachableSteps * ClusterSimulation.STEP_MS;
        simulation.run((unreachableSteps - 1) * 0.5 - 4);
        simulation.cancel(id(CANCELLED_JOB));
        simulation.run(4);
        simulation.supersede(8000);
        simulation.run(20);
        SimulationAssertions.assertAllJobsEnd(
            simulation, "unreachable for " + unreachableSteps + " steps, phase " + phase);
      }
    }
  }
}
