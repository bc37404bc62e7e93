package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.model.TimeSpan;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against jobs that wait although a suitable machine has free capacity. */
class StarvationTest {
  private static final Policy POLICY =
      ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS));

  /**
   * An expensive machine is retiring because cheaper ones can do the other work in time. Until then
   * it takes jobs that must not run on a spot instance.
   */
  @Test
  void retiringMachineTakesJobsNotAllowedOnSpot() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-000001s");
    harness.sendHeartbeat("vm-000002");
    harness.advanceWithHeartbeats("vm-000001s", 2);
    harness.advanceWithHeartbeats("vm-000002", 2);
    harness.submit(JobSpecBuilder.job(1).spot(false).build());
    harness.submit(JobSpecBuilder.job(2).cores(9).build());
    harness.advance(2);
    harness.sendHeartbeat("vm-000001s");
    harness.sendHeartbeat("vm-000002");
    assertEquals(
        List.of(LeaderHarness.task(1, 0)),
        List.copyOf(harness.tasksByMachine.get("vm-000002").keySet()));
    assertEquals(
        List.of(LeaderHarness.task(2, 0)),
        List.copyOf(harness.tasksByMachine.get("vm-000001s").keySet()));
  }

  /**
   * A large job waits for its team's limit and has a reservation within that limit. A small job
   * that fits beside the reservation starts at once.
   */
  @Test
  void smallJobStartsIfItDoesNotDelayReservation() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    for (int i = 1; i <= 9; i++) {
      harness.sendHeartbeat("vm-00000" + i + "s");
    }
    harness.advance(1);
    heartbeatAll(harness, 2);
    // Job 1 uses 42 of the team's 48 cores; job 2 needs 8 cores and job 3 needs 1.
    harness.submit(JobSpecBuilder.job(1).team("red").tasks(6).cores(7).estimateS(900).build());
    heartbeatAll(harness, 4);
    harness.submit(JobSpecBuilder.job(2).team("red").cores(8).estimateS(900).build());
    heartbeatAll(harness, 120);
    assertEquals(0, countRunning(harness, 2), "the large job started beyond its team's limit");
    harness.submit(JobSpecBuilder.job(3).team("red").cores(1).estimateS(900).build());
    heartbeatAll(harness, 10);
    assertEquals(1, countRunning(harness, 3));
  }

  /** A small job that would delay the reservation of a large one has to wait. */
  @Test
  void smallJobWaitsIfItWouldDelayReservation() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    for (int i = 1; i <= 9; i++) {
      harness.sendHeartbeat("vm-00000" + i + "s");
    }
    harness.advance(1);
    heartbeatAll(harness, 2);
    harness.submit(JobSpecBuilder.job(1).team("red").tasks(6).cores(7).estimateS(900).build());
    heartbeatAll(harness, 4);
    harness.submit(JobSpecBuilder.job(2).team("red").cores(8).estimateS(900).build());
    heartbeatAll(harness, 120);
    harness.submit(JobSpecBuilder.job(3).team("red").cores(6).estimateS(900).build());
    harness.submit(JobSpecBuilder.job(4).team("red").cores(6).estimateS(60).build());
    heartbeatAll(harness, 10);
    assertEquals(0, countRunning(harness, 3), "a job that delays the reservation was started");
    assertEquals(
        1, countRunning(harness, 4), "a job that ends before the reservation was not started");
  }

  private static void heartbeatAll(LeaderHarness harness, int seconds) {
    for (int i = 0; i < seconds; i += 2) {
      harness.advance(2);
      List.copyOf(harness.tasksByMachine.keySet()).forEach(harness::sendHeartbeat);
    }
  }

  private static long countRunning(LeaderHarness harness, int job) {
    return harness.tasksByMachine.values().stream()
        .filter(tasks -> tasks.containsKey(LeaderHarness.task(job, 0)))
        .count();
  }
}
