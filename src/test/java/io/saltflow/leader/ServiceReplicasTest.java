package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.DesiredReplicas;
import io.saltflow.cluster.DisruptionBudget;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.ServiceReplicas;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.Priority;
import io.saltflow.model.TaskId;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.CloudCodec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the number and placement of a service's replicas against its recorded replica count. */
class ServiceReplicasTest {
  private static final TimeSpan ZERO = TimeSpan.millis(0);

  private final LeaderHarness harness =
      new LeaderHarness(
          TestPolicies.of(
              TimeSpan.seconds(26),
              TimeSpan.seconds(15),
              1800,
              new Policy.TeamQuota("blue", 0, 0, 0, 0)),
          List.of());
  private final JobId id = new JobId(JobSpecBuilder.id(1));

  private static JobSpec service() {
    JobSpec spec = JobSpecBuilder.job(1).daemon().tasks(20).cores(1).build();
    return new JobSpec(
        spec.id(),
        "service/thumbs",
        spec.team(),
        true,
        spec.priority(),
        spec.tasks(),
        spec.size(),
        spec.machineTypes(),
        spec.zone(),
        spec.oneZone(),
        spec.spread(),
        spec.spotAllowed(),
        spec.image(),
        spec.imageGb(),
        spec.estimate(),
        spec.checkpointInterval(),
        spec.checkpointWrite(),
        spec.deadline(),
        spec.dependencies());
  }

  private int advanceAndCountRunning() {
    for (int i = 0; i < 3; i++) {
      harness.advance(1);
      harness.sendHeartbeat("vm-1");
    }
    return (int)
        harness.tasksByMachine.get("vm-1").values().stream()
            .filter(status -> status.state() != WorkerHeartbeat.TaskState.EXITED)
            .count();
  }

  @Test
  void desiredReplicasRunAndNewestAreStoppedFirst() {
    harness.submit(service());
    assertEquals(
        0, advanceAndCountRunning(), "replicas were started before the replica count is known");
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(3), new DisruptionBudget());
    assertEquals(3, advanceAndCountRunning());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(5), new DisruptionBudget());
    assertEquals(5, advanceAndCountRunning());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(2), new DisruptionBudget());
    assertEquals(2, advanceAndCountRunning());
    assertTrue(
        harness.tasksByMachine.get("vm-1").containsKey(LeaderHarness.task(1, 0)),
        "the oldest replica was stopped");
    assertEquals(2, harness.leader.jobs().find(id).replicas().counts(ZERO, harness.time()).ready());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(0), new DisruptionBudget());
    assertEquals(0, advanceAndCountRunning());
  }

  /** Guards against a new leader stopping replicas before it has read the replica count. */
  @Test
  void replicasKeepRunningWhileReplicaCountIsUnknown() {
    Job job = LeaderHarness.job(service(), true);
    LeaderHarness newLeader =
        new LeaderHarness(
            TestPolicies.of(
                TimeSpan.seconds(26),
                TimeSpan.seconds(15),
                1800,
                new Policy.TeamQuota("blue", 0, 0, 0, 0)),
            List.of(job),
            "vm-1");
    TaskId task = LeaderHarness.task(1, 7);
    newLeader.tasksByMachine.put(
        "vm-1",
        new LinkedHashMap<>(
            Map.of(
                task,
                new WorkerHeartbeat.TaskStatus(
                    task,
                    new Attempt(5),
                    WorkerHeartbeat.TaskState.RUNNING,
                    WorkerHeartbeat.ExitCause.OTHER,
                    false))));
    for (int i = 0; i < 4; i++) {
      newLeader.advance(1);
      newLeader.sendHeartbeat("vm-1");
    }
    assertEquals(1, newLeader.tasksByMachine.get("vm-1").size());
    assertEquals(
        WorkerHeartbeat.TaskState.RUNNING, newLeader.tasksByMachine.get("vm-1").get(task).state());
    assertEquals(
        1, newLeader.leader.jobs().find(id).replicas().counts(ZERO, newLeader.time()).ready());
  }

  /** Failures of a broken build concern its rollout and must not cause machines to be deleted. */
  @Test
  void replicaFailuresAreReportedAndNotAttributedToMachines() {
    harness.submit(service());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(1), new DisruptionBudget());
    for (int i = 0; i < 4; i++) {
      assertEquals(1, advanceAndCountRunning());
      TaskId task = harness.tasksByMachine.get("vm-1").keySet().iterator().next();
      harness.exitTask("vm-1", task, WorkerHeartbeat.ExitCause.ERROR);
      harness.sendHeartbeat("vm-1");
      harness.advance(3);
    }
    List<ServiceReplicas.UnexpectedExit> exits =
        harness.leader.jobs().find(id).replicas().takeUnexpectedExits();
    assertEquals(4, exits.size());
    assertTrue(exits.get(0).failure());
    assertEquals(
        List.of(),
        harness.leader.jobs().find(id).replicas().takeUnexpectedExits(),
        "an exit was returned twice");
    assertEquals(List.of(), harness.leader.machines().planScaleIn(harness.time()));
  }

  private static final String[] MACHINES = {"vm-1", "vm-2", "vm-1b", "vm-2b"};

  /** Sends a heartbeat of each machine every second. */
  private void heartbeatFor(int seconds, String... machines) {
    for (int i = 0; i < seconds; i++) {
      harness.advance(1);
      for (String machine : machines) {
        harness.sendHeartbeat(machine);
      }
    }
  }

  private long runningOn(String machine) {
    return harness.tasksByMachine.get(machine).values().stream()
        .filter(status -> status.state() == WorkerHeartbeat.TaskState.RUNNING)
        .count();
  }

  private List<Long> spread() {
    return Stream.of(MACHINES).map(this::runningOn).toList();
  }

  @Test
  void replicasAreSpreadOverZonesAndMachines() {
    heartbeatFor(2, MACHINES);
    harness.submit(service());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(6), new DisruptionBudget());
    heartbeatFor(3, MACHINES);
    assertEquals(6, spread().stream().mapToLong(count -> count).sum());
    assertEquals(
        3,
        runningOn("vm-1") + runningOn("vm-2"),
        "zones have different replica counts: " + spread());
    assertTrue(spread().stream().allMatch(count -> count >= 1 && count <= 2), spread().toString());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(4), new DisruptionBudget());
    heartbeatFor(3, MACHINES);
    assertEquals(List.of(1L, 1L, 1L, 1L), spread());
  }

  /** A rollout proceeds zone by zone, which decides where replicas are started and stopped. */
  @Test
  void zonePreferencesAreFollowed() {
    heartbeatFor(2, MACHINES);
    harness.submit(service());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(
            id, DesiredReplicas.startingIn(List.of("b"), 4), new DisruptionBudget());
    heartbeatFor(3, MACHINES);
    assertEquals(List.of(0L, 0L, 2L, 2L), spread());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(
            id, DesiredReplicas.startingIn(List.of("a", "b"), 8), new DisruptionBudget());
    heartbeatFor(3, MACHINES);
    assertEquals(List.of(2L, 2L, 2L, 2L), spread());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.vacating(List.of("a"), 4), new DisruptionBudget());
    heartbeatFor(3, MACHINES);
    assertEquals(List.of(0L, 0L, 2L, 2L), spread());
  }

  /** Guards against stopping a replica on a machine to be reclaimed before its replacement runs. */
  @Test
  void replicaOnDrainingMachineIsReplacedWhileItServes() {
    heartbeatFor(2, "vm-1", "vm-1b");
    harness.submit(service());
    harness
        .leader
        .jobs()
        .setDesiredReplicas(id, DesiredReplicas.anywhere(2), new DisruptionBudget());
    heartbeatFor(3, "vm-1", "vm-1b");
    harness.sendHeartbeat("vm-2b");
    harness.reclaimNotices.put("vm-1b", TimeSpan.seconds(30));
    heartbeatFor(3, "vm-1", "vm-1b", "vm-2b");
    assertEquals(1, runningOn("vm-1b"), "the replica was stopped before its machine was reclaimed");
    assertEquals(1, runningOn("vm-2b"), "the replacement is not running");
    ServiceReplicas.ReplicaCounts replicas =
        harness.leader.jobs().find(id).replicas().counts(ZERO, harness.time());
    assertEquals(3, replicas.ready());
    assertEquals(
        2, replicas.available(), "the replica on the draining machine counts as available");
    harness.leader.machines().onDeleted(List.of(new MachineId("vm-1b")), harness.time());
    heartbeatFor(3, "vm-1", "vm-2b");
    assertEquals(List.of(1L, 1L), List.of(runningOn("vm-1"), runningOn("vm-2b")));
    assertTrue(
        harness.leader.jobs().find(id).replicas().takeUnexpectedExits().stream()
            .noneMatch(ServiceReplicas.UnexpectedExit::failure));
  }

  /** Guards against preemption exceeding the disruption budget that it shares with rollouts. */
  @Test
  void preemptionRespectsDisruptionBudget() {
    heartbeatFor(2, "vm-1");
    harness.submit(service());
    DisruptionBudget budget = new DisruptionBudget();
    harness.leader.jobs().setDesiredReplicas(id, DesiredReplicas.anywhere(10), budget);
    heartbeatFor(3, "vm-1");
    assertEquals(10, runningOn("vm-1"));
    harness.submit(JobSpecBuilder.job(2).cores(3).priority(Priority.CRITICAL).build());
    heartbeatFor(4, "vm-1");
    assertEquals(10, runningOn("vm-1"), "preempted without a disruption budget");
    budget.setRemaining(2);
    heartbeatFor(4, "vm-1");
    assertEquals(10, runningOn("vm-1"), "preempted although a budget of two does not suffice");
    budget.setRemaining(3);
    heartbeatFor(4, "vm-1");
    assertTrue(
        harness.tasksByMachine.get("vm-1").containsKey(LeaderHarness.task(2, 0)),
        "not launched although a budget of three suffices");
    assertFalse(budget.allows(1), "the budget was not used up");
  }

  /** Guards against deleting a faulty machine before its replicas have been replaced. */
  @Test
  void faultyMachineStaysUntilItsReplicasAreReplaced() {
    heartbeatFor(2, "vm-1", "vm-1b");
    harness.submit(service());
    DisruptionBudget budget = new DisruptionBudget();
    harness.leader.jobs().setDesiredReplicas(id, DesiredReplicas.anywhere(2), budget);
    heartbeatFor(3, "vm-1", "vm-1b");
    budget.setRemaining(-1);
    harness
        .leader
        .machines()
        .onListed(
            List.of(
                new CloudCodec.ListedMachine(
                    new MachineId("vm-1b"), "", "box", "b", false, false, true, ZERO)),
            harness.time());
    heartbeatFor(1, "vm-1", "vm-1b");
    assertEquals(
        List.of(),
        harness.leader.machines().planScaleIn(harness.time()),
        "scaled in although the budget does not allow it");
    heartbeatFor(3, "vm-1", "vm-1b");
    assertEquals(2, runningOn("vm-1"), "the replacement is not running");
    budget.setRemaining(0);
    assertEquals(
        List.of(new MachineId("vm-1b")), harness.leader.machines().planScaleIn(harness.time()));
  }
}
