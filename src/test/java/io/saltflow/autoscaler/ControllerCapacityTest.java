package io.saltflow.autoscaler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.leader.LeaderHarness;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.TaskId;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the limit on machines when the leader is at capacity. */
class ControllerCapacityTest {
  private static final Policy POLICY =
      TestPolicies.of(
          TimeSpan.seconds(26),
          TimeSpan.seconds(15),
          1800,
          new Policy.TeamQuota("blue", 0, 0, 0, 0));

  private long now = 1_000;

  private void sample(
      ControllerCapacity capacity, int samples, double busy, double heap, int machines) {
    for (int i = 0; i < samples; i++) {
      now += 1000;
      capacity.onLoadSample(
          new ControllerCapacity.Load(busy, heap, 0), machines, new MonotonicTime(now));
    }
  }

  /** Guards against a limit set by the short load peak of a failover, or kept after recovery. */
  @Test
  void sustainedLoadLimitsMachinesUntilItPasses() {
    ControllerCapacity capacity = new ControllerCapacity();
    sample(capacity, 15, 1, 0.2, 4000);
    assertFalse(capacity.isFull(), "a short peak must not set a limit");
    sample(capacity, 30, 1, 0.2, 4000);
    assertEquals(4000, capacity.maxMachines());
    sample(capacity, 5, 1, 0.2, 4200);
    assertEquals(4000, capacity.maxMachines(), "pending machines must not raise the limit");
    sample(capacity, 30, 0.6, 0.2, 3900);
    assertFalse(capacity.isFull());
    sample(capacity, 60, 0.3, 0.95, 5000);
    assertEquals(5000, capacity.maxMachines());
    assertEquals("heap is 95% full", capacity.mostUsedResource());
  }

  /** Guards against a limit near zero caused by the load of process startup. */
  @Test
  void limitNeverFallsBelowMinimum() {
    ControllerCapacity capacity = new ControllerCapacity();
    sample(capacity, 60, 1, 0.2, 0);
    assertTrue(capacity.maxMachines() >= 100);
  }

  @Test
  void scaleOutStopsAtTheLimit() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.submit(JobSpecBuilder.job(1).cores(5).tasks(400).priority(Priority.HIGH).build());
    for (int i = 0; i < 60; i++) {
      harness.advance(1);
      harness.leader.onLoadSample(1, 0.1, 0, harness.time());
    }
    int created = 0;
    for (int i = 0; i < 10; i++) {
      harness.advance(1);
      for (ScaleOutRequest request : harness.leader.machines().planScaleOut(harness.time())) {
        List<MachineId> ids = new ArrayList<>();
        for (int machine = 0; machine < request.count(); machine++) {
          ids.add(new MachineId("vm-" + created++));
        }
        harness.leader.machines().onCreated(request, ids, harness.time());
      }
    }
    assertEquals(100, created, "demand is 200 machines");
  }

  /**
   * Guards against deleting machines whose heartbeats were rejected for lack of sockets, while
   * their leases have not expired.
   */
  @Test
  void rejectedConnectionsDoNotCountAsSilence() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.sendHeartbeat("vm-2");
    harness.sendHeartbeat("vm-3");
    for (int i = 0; i < 20; i++) {
      harness.advance(1);
      harness.sendHeartbeat("vm-2");
      harness.sendHeartbeat("vm-3");
      harness.leader.onLoadSample(0.5, 0.1, i < 15 ? 1 : 0, harness.time());
      assertEquals(
          List.of(),
          harness.leader.machines().planScaleIn(harness.time()),
          "after " + (i + 1) + " s");
    }
    int elapsedS = 0;
    for (boolean removed = false; !removed; elapsedS++) {
      harness.advance(1);
      harness.sendHeartbeat("vm-2");
      harness.sendHeartbeat("vm-3");
      harness.leader.onLoadSample(0.5, 0.1, 1, harness.time());
      removed =
          harness.leader.machines().planScaleIn(harness.time()).contains(new MachineId("vm-1"));
    }
    assertEquals(
        17, elapsedS, "lease expires 26 s after the heartbeat, and silence timeout is 10 s");
  }

  /**
   * Guards against an overloaded leader that delays reconciliation by launching non-urgent tasks,
   * as each launch causes additional heartbeats.
   */
  @Test
  void overloadedLeaderReconcilesBeforeNonUrgentLaunches() {
    LeaderHarness harness =
        new LeaderHarness(
            POLICY,
            List.of(LeaderHarness.job(JobSpecBuilder.job(1).build(), true)),
            "vm-1",
            "vm-2");
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(2).cores(2).build());
    harness.submit(JobSpecBuilder.job(3).cores(2).priority(Priority.HIGH).build());
    for (int i = 0; i < 3; i++) {
      harness.advance(1);
      harness.leader.onLoadSample(1, 0.1, 0, harness.time());
    }
    assertEquals(List.of(LeaderHarness.task(3, 0)), launchedTasks(harness.sendHeartbeat("vm-1")));
    harness.sendHeartbeat("vm-2");
    List<TaskId> remaining = launchedTasks(harness.sendHeartbeat("vm-2"));
    harness.advance(1);
    remaining.addAll(launchedTasks(harness.sendHeartbeat("vm-1")));
    assertEquals(
        List.of(LeaderHarness.task(1, 0), LeaderHarness.task(2, 0)),
        remaining.stream().sorted(BY_NAME).toList());
  }

  private static final Comparator<TaskId> BY_NAME = Comparator.comparing(TaskId::toString);

  private static List<TaskId> launchedTasks(List<WorkerCommand> commands) {
    List<TaskId> tasks = new ArrayList<>();
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Launch) {
        tasks.add(command.task());
      }
    }
    return tasks;
  }
}
