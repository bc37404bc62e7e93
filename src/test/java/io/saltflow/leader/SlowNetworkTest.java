package io.saltflow.leader;

import static io.saltflow.leader.FaultScenarios.atEachStep;
import static io.saltflow.leader.FaultScenarios.cancelSomeJobs;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that urgent jobs start in time on an overloaded cluster with delayed answers and writes.
 */
class SlowNetworkTest {
  private static final int URGENT_JOBS = 4;
  private static final long MAX_URGENT_WAIT_MS = 60_000;

  /** Returns a cluster of two machines with three times the work that fits, for several minutes. */
  private static ClusterSimulation overloaded() {
    ClusterSimulation simulation = FaultScenarios.simulation(500);
    simulation.maxMachines = 2;
    for (int i = 1; i <= FaultScenarios.JOBS; i++) {
      simulation.submit(
          JobSpecBuilder.job(i)
              .ofClass("plain")
              .team("blue")
              .tasks(6)
              .cores(1)
              .estimateS(30)
              .build());
    }
    simulation.run(40);
    return simulation;
  }

  private static void submitUrgent(ClusterSimulation simulation, int moment) {
    for (int i = 1; i <= URGENT_JOBS; i++) {
      simulation.submit(
          JobSpecBuilder.job(100 + i)
              .ofClass("urgent")
              .team("blue")
              .priority(Priority.HIGH)
              .tasks(1 + moment % 3)
              .cores(1)
              .estimateS(10)
              .build());
    }
  }

  private static void assertUrgentStartedInTime(ClusterSimulation simulation, int moment) {
    for (int i = 1; i <= URGENT_JOBS; i++) {
      ClusterSimulation.JobRecord job =
          simulation.records.get(new JobId(JobSpecBuilder.id(100 + i)));
      boolean inTime = job.startedAt >= 0 && job.startedAt - job.submittedAt <= MAX_URGENT_WAIT_MS;
      assertTrue(inTime, "urgent job " + i + " started at " + job.startedAt + " ms, run " + moment);
    }
  }

  /**
   * @param slowResponseShare the share of answers to workers that are delayed by up to 5 s
   * @param delayedWriteShare the share of writes that are applied late
   */
  @ParameterizedTest
  @CsvSource({"0.3, 0", "0.6, 0", "0.3, 0.3"})
  void urgentJobsStartInTimeOnSlowNetwork(double slowResponseShare, double delayedWriteShare) {
    atEachStep(
        40,
        SlowNetworkTest::overloaded,
        (simulation, moment) -> {
          simulation.slowResponseProbability = slowResponseShare;
          simulation.delayedWriteProbability = delayedWriteShare;
          simulation.run(moment * 0.5);
          submitUrgent(simulation, moment);
          simulation.run(MAX_URGENT_WAIT_MS / 1000.0);
          assertUrgentStartedInTime(simulation, moment);
          cancelSomeJobs(simulation, moment);
          if (moment % 2 == 0) {
            simulation.failLeader(0);
          }
          simulation.run(20);
        });
  }
}
