package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which events prove that a task is not running on any machine. */
class TaskReconcilerTest {
  /** Guards against a delayed heartbeat bringing back a deleted machine together with its tasks. */
  @Test
  void heartbeatOfDeletedMachineDeliversResultsOnly() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).tasks(2).cores(5).estimateS(60).build());
    harness.sendHeartbeat("vm-1");
    harness.advanceWithHeartbeats("vm-1", 4);
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.DONE);
    WorkerHeartbeat delayed = harness.heartbeat("vm-1", LeaderHarness.TERM);
    harness.leader.machines().onDeleted(List.of(new MachineId("vm-1")), harness.time());
    harness.advance(1);
    assertNull(harness.leader.onHeartbeat(delayed, true, harness.time()));
    assertTrue(harness.leader.jobs().find(new JobId(JobSpecBuilder.id(1))).done.get(0));
    harness.sendHeartbeat("vm-2");
    List<WorkerCommand> commands = harness.sendHeartbeat("vm-2");
    assertEquals(
        List.of(LeaderHarness.task(1, 1)), commands.stream().map(WorkerCommand::task).toList());
  }

  /**
   * Guards against heartbeats with an earlier term, from a machine that gets no answers, extending
   * its lease: its tasks would never be reconciled and started again.
   */
  @Test
  void machineWithLostAnswersDoesNotDelayFailover() {
    LeaderHarness harness = afterFailover();
    harness.sendHeartbeat("vm-1");
    long launched = 0;
    for (int second = 0; second < 90 && launched == 0; second += 5) {
      harness.advance(5);
      harness.leader.onHeartbeat(harness.heartbeat("vm-2", new Term(6)), true, harness.time());
      launched = launchCount(harness.sendHeartbeat("vm-1"));
    }
    assertEquals(1, launched);
    assertTrue(harness.now - 100_000 <= 65_000, "after " + (harness.now - 100_000) + " ms");
  }

  /** Guards against launching the same task again and again on a machine that gets no answers. */
  @Test
  void machineWithLostAnswersGetsNoMoreTasksAndIsScaledIn() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.sendHeartbeat("vm-2");
    harness.submit(JobSpecBuilder.job(1).tasks(2).cores(8).estimateS(60).build());
    harness.sendHeartbeat("vm-2");
    int lostLaunches = 0;
    List<MachineId> scaledIn = List.of();
    for (int second = 0; second < 60 && scaledIn.isEmpty(); second += 5) {
      harness.advance(5);
      harness.sendHeartbeat("vm-2");
      List<WorkerCommand> lostCommands =
          harness.leader.onHeartbeat(
              harness.heartbeat("vm-1", LeaderHarness.TERM), true, harness.time());
      lostLaunches += (int) launchCount(lostCommands);
      scaledIn = harness.leader.machines().planScaleIn(harness.time());
    }
    assertTrue(lostLaunches <= 3, lostLaunches + " launches on an unreachable machine");
    assertEquals(List.of(new MachineId("vm-1")), scaledIn);
  }

  /**
   * Guards against freeing a task by a heartbeat copy of another agent epoch that carries an
   * earlier term.
   */
  @Test
  void copyFromOtherAgentEpochDoesNotFreeTask() {
    LeaderHarness harness = afterFailover();
    harness.sendHeartbeat("vm-1");
    harness.leader.machines().onDeleted(List.of(new MachineId("vm-2")), harness.time());
    assertEquals(1, launchCount(harness.sendHeartbeat("vm-1")));
    WorkerHeartbeat current = harness.heartbeat("vm-1", new Term(6));
    WorkerHeartbeat copy =
        new WorkerHeartbeat(
            current.machine(), "", "box", "a", false, 2, 80, new Term(6), null, List.of());
    assertNull(harness.leader.onHeartbeat(copy, true, harness.time()));
    assertEquals(1, harness.leader.jobs().find(new JobId(JobSpecBuilder.id(1))).placements.size());
    harness.sendHeartbeat("vm-3");
    harness.advance(1);
    assertEquals(
        0, launchCount(harness.sendHeartbeat("vm-3")), "the task was launched a second time");
  }

  /** Guards against a duplicate heartbeat counting as proof that workers reach the leader. */
  @Test
  void duplicateHeartbeatsDoNotProveReachability() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    WorkerHeartbeat heartbeat = harness.heartbeat("vm-1", LeaderHarness.TERM);
    harness.leader.onHeartbeat(heartbeat, true, harness.time());
    harness.sendHeartbeat("vm-2");
    for (int second = 0; second < 30; second++) {
      harness.advance(1);
      assertNull(harness.leader.onHeartbeat(heartbeat, true, harness.time()));
    }
    assertTrue(
        harness.leader.isCutOff(harness.time()), "not cut off after 30 s of duplicate heartbeats");
  }

  private static final Policy POLICY =
      ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS));

  private static LeaderHarness afterFailover() {
    return new LeaderHarness(
        POLICY,
        List.of(LeaderHarness.job(JobSpecBuilder.job(1).cores(5).build(), true)),
        "vm-1",
        "vm-2");
  }

  private static long launchCount(List<WorkerCommand> commands) {
    return commands.stream().filter(command -> command instanceof WorkerCommand.Launch).count();
  }

  @Test
  void heartbeatWithEarlierTermDoesNotReconcileMachine() {
    LeaderHarness harness = afterFailover();
    assertEquals(
        0,
        launchCount(
            harness.leader.onHeartbeat(
                harness.heartbeat("vm-1", new Term(6)), true, harness.time())));
    assertEquals(
        0,
        launchCount(
            harness.leader.onHeartbeat(
                harness.heartbeat("vm-2", new Term(6)), true, harness.time())));
    assertEquals(
        0,
        launchCount(harness.sendHeartbeat("vm-1")),
        "launched although vm-2 may still run the task");
    assertEquals(
        1, launchCount(harness.sendHeartbeat("vm-2")) + launchCount(harness.sendHeartbeat("vm-1")));
  }

  @Test
  void silentMachineDelaysLaunchesUntilLeaseExpiry() {
    LeaderHarness harness = afterFailover();
    harness.sendHeartbeat("vm-1");
    long expiryBoundMs = POLICY.leaseRenewalWindow().plus(POLICY.leaseExpiryBound()).ms();
    harness.advance((expiryBoundMs - 1000) / 1000.0);
    assertEquals(0, launchCount(harness.sendHeartbeat("vm-1")));
    harness.advance(2);
    assertEquals(1, launchCount(harness.sendHeartbeat("vm-1")));
  }

  @Test
  void deletedMachineCountsAsReconciled() {
    LeaderHarness harness = afterFailover();
    harness.sendHeartbeat("vm-1");
    harness.leader.machines().onDeleted(List.of(new MachineId("vm-2")), harness.time());
    assertEquals(1, launchCount(harness.sendHeartbeat("vm-1")));
  }

  @Test
  void neverLaunchedJobStartsBeforeReconciliation() {
    LeaderHarness harness = afterFailover();
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(2).cores(2).build());
    List<WorkerCommand> commands = harness.sendHeartbeat("vm-1");
    assertEquals(1, launchCount(commands));
    assertEquals(LeaderHarness.task(2, 0), commands.get(0).task());
  }

  /** Guards against exceeding a team's limit while unreconciled machines may run its tasks. */
  @Test
  void unreconciledMachinesCountAgainstQuotas() {
    LeaderHarness harness =
        new LeaderHarness(
            POLICY,
            List.of(LeaderHarness.job(JobSpecBuilder.job(1).build(), true)),
            "vm-1",
            "vm-2",
            "vm-3",
            "vm-4",
            "vm-5",
            "vm-6");
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(2).team("red").cores(2).build());
    assertEquals(
        0,
        launchCount(harness.sendHeartbeat("vm-1")),
        "launched although 5 machines of 10 cores may exceed the limit of 48");
    assertEquals(
        1, launchCount(harness.sendHeartbeat("vm-2")) + launchCount(harness.sendHeartbeat("vm-1")));
  }

  @Test
  void lostAnswerIsFollowedByNewAttempt() throws IOException {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(5).build());
    WorkerHeartbeat heartbeat = harness.heartbeat("vm-1", LeaderHarness.TERM);
    List<WorkerCommand> lostCommands = harness.leader.onHeartbeat(heartbeat, true, harness.time());
    harness.log(
        "an answer with "
            + lostCommands.size()
            + " order is lost: attempt "
            + lostCommands.get(0).attempt());
    harness.advance(1);
    assertNull(
        harness.leader.onHeartbeat(heartbeat, true, harness.time()),
        "a duplicate heartbeat was answered");
    harness.log("the report comes once more and is not answered");
    harness.advance(3);
    List<WorkerCommand> retried = harness.sendHeartbeat("vm-1");
    harness.log("attempt " + retried.get(0).attempt());
    GoldenTraces.check("lost-answer", harness.trace);
  }

  @Test
  void newAgentEpochFreesTasksOfEarlierEpoch() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.sendHeartbeat("vm-2");
    harness.submit(JobSpecBuilder.job(1).cores(5).tasks(1).build());
    String first = launchCount(harness.sendHeartbeat("vm-1")) == 1 ? "vm-1" : "vm-2";
    if (first.equals("vm-2")) {
      harness.sendHeartbeat("vm-2");
    }
    harness.restartWorker(first);
    harness.advance(1);
    assertEquals(
        1,
        launchCount(harness.sendHeartbeat(first)),
        "tasks of the earlier agent epoch were not freed");
  }

  /** Guards against a heartbeat delayed by a partition moving a task to its former machine. */
  @Test
  void lateHeartbeatDoesNotMoveTask() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(5).estimateS(500).build());
    harness.sendHeartbeat("vm-1");
    harness.advance(1);
    harness.sendHeartbeat("vm-1");
    WorkerHeartbeat delayed = harness.heartbeat("vm-1", LeaderHarness.TERM);
    harness.advance(20);
    harness.sendHeartbeat("vm-2");
    harness.sendHeartbeat("vm-2");
    assertTrue(
        harness.tasksByMachine.get("vm-2").containsKey(LeaderHarness.task(1, 0)),
        "the task was not launched again after lease expiry");
    List<WorkerCommand> commands = harness.leader.onHeartbeat(delayed, true, harness.time());
    assertTrue(commands.get(0) instanceof WorkerCommand.Stop);
    assertEquals(
        "vm-2",
        harness
            .leader
            .jobs()
            .find(LeaderHarness.task(1, 0).job())
            .placements
            .get(0)
            .machine
            .id
            .text());
  }

  @Test
  void cancelledTaskIsStoppedOnItsMachine() throws IOException {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(5).estimateS(500).build());
    harness.sendHeartbeat("vm-1");
    harness.log("the user cancels it");
    harness.leader.jobs().onRemoved(LeaderHarness.task(1, 0).job(), harness.time());
    harness.advance(1);
    harness.sendHeartbeat("vm-1");
    harness.advance(1);
    harness.sendHeartbeat("vm-1");
    harness.advance(1);
    assertTrue(harness.leader.jobs().scheduled().isEmpty());
    GoldenTraces.check("cancelled", harness.trace);
  }

  /**
   * Guards against a first answer that renews the worker's lease without stopping tasks that were
   * cancelled while the worker was unreachable.
   */
  @Test
  void firstAnswerOfNewLeaderStopsEndedTasks() {
    LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(2).estimateS(500).build());
    harness.submit(JobSpecBuilder.job(2).cores(2).estimateS(500).build());
    harness.sendHeartbeat("vm-1");
    Job live = LeaderHarness.job(JobSpecBuilder.job(2).cores(2).estimateS(500).build(), true);
    harness.failOver(POLICY, new Term(8), List.of(live), ClusterSimulation.MACHINE_TYPE.size());
    List<WorkerCommand> commands =
        harness.leader.onHeartbeat(
            harness.heartbeat("vm-1", LeaderHarness.TERM), true, harness.time());
    assertEquals(
        List.of(LeaderHarness.task(1, 0)), commands.stream().map(WorkerCommand::task).toList());
    assertTrue(commands.get(0) instanceof WorkerCommand.Stop);
  }

  /** Guards against deleting all machines before the machine types have been read. */
  @Test
  void machinesAreKeptUntilMachineTypesAreKnown() {
    LeaderCore leader =
        new LeaderCore(
            POLICY,
            LeaderHarness.TERM,
            new InheritedState(
                List.of(),
                List.of(new LedgerEntry(new MachineId("vm-1"), "box", "a", false)),
                true,
                List.of()),
            new MonotonicTime(1000),
            1000);
    leader.tick(new MonotonicTime(1200));
    assertTrue(leader.machines().planScaleIn(new MonotonicTime(1200)).isEmpty());
  }

  /** An unreadable ledger entry may be a machine with tasks, so launches wait for lease expiry. */
  @Test
  void incompleteLedgerDelaysLaunchesUntilLeaseExpiry() {
    Job job = LeaderHarness.job(JobSpecBuilder.job(1).build(), true);
    LeaderCore leader =
        new LeaderCore(
            POLICY,
            LeaderHarness.TERM,
            new InheritedState(
                List.of(job), List.of(), false, List.of(ClusterSimulation.MACHINE_TYPE)),
            new MonotonicTime(0),
            0);
    long expiryBoundMs = POLICY.leaseRenewalWindow().plus(POLICY.leaseExpiryBound()).ms();
    for (long now = 1000; now < expiryBoundMs + 2000; now += 1000) {
      WorkerHeartbeat heartbeat =
          new WorkerHeartbeat(
              new MachineId("vm-1"),
              "",
              "box",
              "a",
              false,
              1,
              now,
              LeaderHarness.TERM,
              null,
              List.of());
      List<WorkerCommand> commands = leader.onHeartbeat(heartbeat, true, new MonotonicTime(now));
      leader.machines().onRecorded(leader.machines().toRecord());
      leader.tick(new MonotonicTime(now));
      assertTrue(
          now > expiryBoundMs || commands.isEmpty(), "launched before lease expiry, at " + now);
    }
    assertEquals(1, job.placements.size());
  }
}
