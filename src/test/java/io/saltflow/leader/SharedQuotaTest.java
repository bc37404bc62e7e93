package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QueueDemand;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that jobs and queue messages of a team share its limit in one common order. */
class SharedQuotaTest {
  private static final Resources TWO_CORES = new Resources(2, 0, 0);

  private final LeaderHarness harness =
      new LeaderHarness(
          TestPolicies.of(
              TimeSpan.seconds(26),
              TimeSpan.seconds(15),
              1800,
              new Policy.TeamQuota("red", 0, 8, 0, 0),
              new Policy.TeamQuota("blue", 0, 0, 0, 0)),
          List.of());

  private static QueueDemand demand(Priority priority, int held, int wanted, long arrivedWallMs) {
    return new QueueDemand(
        "red", priority, new Resources(held, 0, 0), new Resources(wanted, 0, 0), arrivedWallMs);
  }

  private boolean mayDeliver(Priority priority, long arrivedWallMs) {
    return harness.leader.mayDeliver("red", TWO_CORES, priority, arrivedWallMs);
  }

  private int launchAndCountTasks() {
    harness.sendHeartbeat("vm-1");
    harness.advance(1);
    harness.sendHeartbeat("vm-1");
    return harness.tasksByMachine.get("vm-1").size();
  }

  @Test
  void messagesInProgressCountAgainstQuota() {
    harness.leader.setQueueDemands(List.of(demand(Priority.NORMAL, 6, 0, Long.MAX_VALUE)));
    harness.submit(JobSpecBuilder.job(1).team("red").cores(1).tasks(5).build());
    assertEquals(2, launchAndCountTasks(), "messages hold 6 of 8 cores");
    harness.leader.setQueueDemands(List.of());
    assertEquals(5, launchAndCountTasks());
  }

  @Test
  void earlierMessagesKeepTheirQuota() {
    long beforeJobMs = harness.now - 1000;
    harness.leader.setQueueDemands(List.of(demand(Priority.NORMAL, 0, 6, beforeJobMs)));
    harness.submit(JobSpecBuilder.job(1).team("red").cores(1).tasks(8).build());
    assertEquals(2, launchAndCountTasks(), "earlier messages must keep 6 cores");
    harness.leader.setQueueDemands(List.of(demand(Priority.LOW, 0, 6, beforeJobMs)));
    assertEquals(8, launchAndCountTasks(), "messages of lower priority must not hold back the job");
  }

  @Test
  void earlierJobsKeepTheirQuota() {
    harness.submit(JobSpecBuilder.job(1).team("red").cores(1).tasks(7).build());
    assertFalse(
        mayDeliver(Priority.NORMAL, harness.now + 1),
        "an earlier job waits for seven of eight cores");
    assertTrue(mayDeliver(Priority.NORMAL, harness.now - 1));
    assertTrue(mayDeliver(Priority.HIGH, harness.now + 1));
    assertEquals(7, launchAndCountTasks());
    assertFalse(mayDeliver(Priority.HIGH, 0), "running tasks must keep their share of the limit");
    assertTrue(
        harness.leader.mayDeliver("blue", TWO_CORES, Priority.LOW, 0),
        "a team without a limit must not wait");
  }
}
