package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.Priority;
import io.saltflow.model.TaskId;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the decisions of one leader's scheduling rounds, some against golden traces. */
class SchedulingRoundTest {
  private static Policy policy(double scaleThresholdS) {
    return TestPolicies.of(
        TimeSpan.seconds(16),
        TimeSpan.seconds(20),
        scaleThresholdS,
        new Policy.TeamQuota("blue", 0, 0, 0, 0),
        new Policy.TeamQuota("red", 10, 12, 0, 0));
  }

  private static LeaderHarness oneMachine(double scaleThresholdS) {
    LeaderHarness harness = new LeaderHarness(policy(scaleThresholdS), List.of());
    harness.sendHeartbeat("vm-1");
    return harness;
  }

  /**
   * The example of figure 3 of the paper. A and B run, and C, the head of the queue, has to wait
   * for B. D and E are estimated to run past the head reservation, but are backfilled by their
   * scaled estimates. D ends in time; E is preempted when C's reservation begins and resumes after
   * C.
   */
  @Test
  void backfillWithScaledEstimatesMatchesFigure3() throws IOException {
    LeaderHarness harness = oneMachine(0);
    harness.submit(JobSpecBuilder.job(1).cores(4).estimateS(20).build());
    harness.submit(JobSpecBuilder.job(2).cores(6).estimateS(70).build());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(3).cores(9).estimateS(40).build());
    harness.submit(
        JobSpecBuilder.job(4)
            .cores(2)
            .estimateS(100)
            .checkpointS(10)
            .priority(Priority.LOW)
            .build());
    harness.submit(
        JobSpecBuilder.job(5)
            .cores(2)
            .estimateS(200)
            .checkpointS(10)
            .priority(Priority.LOW)
            .build());
    harness.sendHeartbeat("vm-1");
    harness.advanceWithHeartbeats("vm-1", 20);
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.DONE);
    harness.advanceWithHeartbeats("vm-1", 20);
    harness.exitTask("vm-1", LeaderHarness.task(4, 0), WorkerHeartbeat.ExitCause.DONE);
    harness.advanceWithHeartbeats("vm-1", 30);
    harness.exitTask("vm-1", LeaderHarness.task(2, 0), WorkerHeartbeat.ExitCause.DONE);
    harness.advanceWithHeartbeats("vm-1", 40);
    harness.exitTask("vm-1", LeaderHarness.task(3, 0), WorkerHeartbeat.ExitCause.DONE);
    harness.advanceWithHeartbeats("vm-1", 2);
    GoldenTraces.check("figure3", harness.trace);
  }

  /** Without scaled estimates, classical backfilling does not start a job past the reservation. */
  @Test
  void unscaledBackfillStartsOnlyJobsThatEndBeforeReservation() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(2).cores(6).estimateS(50).build());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(3).cores(9).estimateS(40).build());
    harness.submit(
        JobSpecBuilder.job(4)
            .cores(2)
            .estimateS(100)
            .checkpointS(10)
            .priority(Priority.LOW)
            .build());
    assertTrue(launches(harness.sendHeartbeat("vm-1")).isEmpty());
    // A job that ends before the reservation is backfilled.
    harness.submit(JobSpecBuilder.job(5).cores(2).estimateS(20).priority(Priority.LOW).build());
    assertEquals(List.of(LeaderHarness.task(5, 0)), launches(harness.sendHeartbeat("vm-1")));
  }

  private static List<TaskId> launches(List<WorkerCommand> commands) {
    return commands.stream()
        .filter(o -> o instanceof WorkerCommand.Launch)
        .map(WorkerCommand::task)
        .toList();
  }

  @Test
  void preemptionStopsCheapestTasksOfLowerPriority() throws IOException {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).cores(4).estimateS(100).priority(Priority.HIGH).build());
    harness.submit(JobSpecBuilder.job(2).cores(3).estimateS(100).priority(Priority.LOW).build());
    harness.submit(
        JobSpecBuilder.job(3)
            .cores(3)
            .estimateS(100)
            .checkpointS(10)
            .priority(Priority.LOW)
            .build());
    harness.sendHeartbeat("vm-1");
    harness.advanceWithHeartbeats("vm-1", 20);
    harness.submit(JobSpecBuilder.job(4).cores(3).estimateS(10).priority(Priority.HIGH).build());
    harness.sendHeartbeat("vm-1");
    harness.advance(3);
    harness.sendHeartbeat("vm-1");
    harness.advance(3);
    harness.sendHeartbeat("vm-1");
    GoldenTraces.check("preemption", harness.trace);
  }

  @Test
  void taskThatEndsSoonIsNotPreempted() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).cores(10).estimateS(30).priority(Priority.LOW).build());
    harness.sendHeartbeat("vm-1");
    harness.advanceWithHeartbeats("vm-1", 26);
    harness.submit(JobSpecBuilder.job(2).cores(3).estimateS(10).priority(Priority.HIGH).build());
    assertTrue(harness.sendHeartbeat("vm-1").isEmpty(), "a task that ends in 5 s was preempted");
  }

  @Test
  void jobOverQuotaDoesNotBlockOtherTeams() {
    LeaderHarness harness = oneMachine(1800);
    harness.sendHeartbeat("vm-2");
    harness.submit(JobSpecBuilder.job(1).team("red").tasks(5).cores(4).build());
    harness.submit(JobSpecBuilder.job(2).team("blue").cores(4).build());
    int launched =
        launches(harness.sendHeartbeat("vm-1")).size()
            + launches(harness.sendHeartbeat("vm-2")).size();
    // Three tasks of team red use its 12 cores; the fourth launch is for team blue.
    assertEquals(4, launched);
    assertEquals(3, harness.leader.jobs().find(new JobId(JobSpecBuilder.id(1))).placements.size());
  }

  @Test
  void spreadAndOneZoneConstraintsAreMet() {
    LeaderHarness harness = oneMachine(1800);
    harness.sendHeartbeat("vm-2b");
    harness.submit(JobSpecBuilder.job(1).tasks(3).cores(1).spread(true).build());
    harness.submit(JobSpecBuilder.job(2).tasks(4).cores(1).oneZone(true).build());
    int launchedInA = launches(harness.sendHeartbeat("vm-1")).size();
    int launchedInB = launches(harness.sendHeartbeat("vm-2b")).size();
    assertEquals(7, launchedInA + launchedInB);
    Job spread = harness.leader.jobs().find(new JobId(JobSpecBuilder.id(1)));
    assertEquals(
        2, spread.placements.values().stream().map(p -> p.machine.zone).distinct().count());
    Job oneZone = harness.leader.jobs().find(new JobId(JobSpecBuilder.id(2)));
    assertEquals(
        1, oneZone.placements.values().stream().map(p -> p.machine.zone).distinct().count());
  }

  @Test
  void faultyMachineIsScaledInAndItsTasksRunElsewhere() throws IOException {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).tasks(2).cores(5).estimateS(30).build());
    harness.sendHeartbeat("vm-1");
    harness.sendHeartbeat("vm-2");
    harness.advance(1);
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.ERROR);
    harness.exitTask("vm-1", LeaderHarness.task(1, 1), WorkerHeartbeat.ExitCause.ERROR);
    harness.sendHeartbeat("vm-1");
    harness.log("to return: " + harness.leader.machines().planScaleIn(harness.time()));
    harness.advance(1);
    harness.sendHeartbeat("vm-2");
    harness.advance(1);
    // The task succeeds elsewhere, so its failures are attributed to the machine.
    harness.exitTask("vm-2", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.DONE);
    harness.sendHeartbeat("vm-2");
    harness.log("to return: " + harness.leader.machines().planScaleIn(harness.time()));
    GoldenTraces.check("faulty-machine", harness.trace);
  }

  @Test
  void failuresOfDefectiveJobAreNotAttributedToMachines() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).tasks(1).cores(5).estimateS(30).build());
    int machine = 1;
    for (int i = 0; i < 12; i++) {
      String name = "vm-" + machine;
      harness.sendHeartbeat(name);
      if (harness.tasksByMachine.get(name).containsKey(LeaderHarness.task(1, 0))) {
        harness.exitTask(name, LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.ERROR);
        harness.sendHeartbeat(name);
      }
      machine = machine % 4 + 1;
      harness.advance(1);
    }
    Job job = harness.leader.jobs().find(new JobId(JobSpecBuilder.id(1)));
    assertTrue(job.failsEverywhere());
    assertTrue(job.failureCount() <= 6, "retried without backoff, failures: " + job.failureCount());
    assertTrue(
        harness.leader.machines().planScaleIn(harness.time()).isEmpty(), "its machines are sound");
  }

  /**
   * Guards against a job whose 60 tasks all fail causing machines to be deleted as faulty and being
   * retried without backoff.
   */
  @Test
  void wideDefectiveJobIsRetriedWithBackoffAndKeepsMachines() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).tasks(60).cores(2).estimateS(30).build());
    int attempts = 0;
    for (int second = 0; second < 55; second++) {
      for (int m = 1; m <= 12; m++) {
        String name = "vm-" + m;
        harness.sendHeartbeat(name);
        for (TaskId task : List.copyOf(harness.tasksByMachine.get(name).keySet())) {
          harness.exitTask(name, task, WorkerHeartbeat.ExitCause.ERROR);
          attempts++;
        }
        harness.sendHeartbeat(name);
      }
      assertEquals(
          List.of(),
          harness.leader.machines().planScaleIn(harness.time()),
          "its machines are sound");
      harness.advance(1);
    }
    assertTrue(attempts <= 72, attempts + " attempts, expected 60 plus a few retries");
    assertEquals(
        0,
        harness.leader.machines().planScaleOut(harness.time()).size(),
        "machines were created for a defective job");
    // The job is repaired: one successful attempt lets all tasks start.
    for (int second = 0; second < 70; second++) {
      harness.sendHeartbeat("vm-1");
      for (TaskId task : List.copyOf(harness.tasksByMachine.get("vm-1").keySet())) {
        harness.exitTask("vm-1", task, WorkerHeartbeat.ExitCause.DONE);
      }
      harness.advance(1);
    }
    Job job = harness.leader.jobs().find(new JobId(JobSpecBuilder.id(1)));
    assertTrue(job == null || job.doneCount() > 30, "the repaired job does not progress");
  }

  /** Guards against tasks that stay assigned to a deleted machine and never run. */
  @Test
  void tasksOfDeletedMachineAreReassigned() {
    LeaderHarness harness = oneMachine(1800);
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(5).estimateS(30).build());
    harness.advance(1);
    harness.leader.machines().onDeleted(List.of(new MachineId("vm-1")), harness.time());
    harness.sendHeartbeat("vm-2");
    harness.advance(1);
    assertEquals(List.of(LeaderHarness.task(1, 0)), launches(harness.sendHeartbeat("vm-2")));
  }

  @Test
  void daemonsAreReplacedAfterMachineIsDeleted() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).daemon().tasks(2).cores(1).estimateS(0).build());
    assertEquals(2, launches(harness.sendHeartbeat("vm-1")).size());
    harness.sendHeartbeat("vm-2");
    harness.leader.machines().onDeleted(List.of(new MachineId("vm-1")), harness.time());
    harness.advance(1);
    assertEquals(2, launches(harness.sendHeartbeat("vm-2")).size());
  }

  @Test
  void resultIsClearedOnlyAfterItIsRecorded() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).tasks(2).cores(10).build());
    harness.sendHeartbeat("vm-1");
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.DONE);
    harness.advance(1);
    assertFalse(
        harness.sendHeartbeat("vm-1").stream().anyMatch(o -> o instanceof WorkerCommand.Clear));
    Job job = harness.leader.jobs().toRecord().get(0);
    harness.leader.jobs().onProgressRecorded(job, (BitSet) job.doneTasks().clone());
    harness.advance(1);
    assertTrue(
        harness.sendHeartbeat("vm-1").stream().anyMatch(o -> o instanceof WorkerCommand.Clear));
  }

  /**
   * Guards against expensive machines being scaled in while tasks within the guaranteed quota wait,
   * which would preempt other tasks instead.
   */
  @Test
  void guaranteedWorkMayUseExpensiveRetiringMachines() {
    LeaderHarness harness = new LeaderHarness(policy(1800), List.of());
    harness.sendHeartbeat("vm-1s");
    harness.submit(JobSpecBuilder.job(1).cores(10).estimateS(20).build());
    harness.sendHeartbeat("vm-1s");
    harness.sendHeartbeat("vm-2");
    harness.advanceWithHeartbeats("vm-2", 4);
    harness.submit(JobSpecBuilder.job(2).cores(3).estimateS(20).build());
    assertEquals(
        List.of(),
        launches(harness.sendHeartbeat("vm-2")),
        "work outside the guaranteed quota must wait for a cheaper machine");
    harness.submit(JobSpecBuilder.job(3).team("red").cores(3).estimateS(20).build());
    assertEquals(List.of(LeaderHarness.task(3, 0)), launches(harness.sendHeartbeat("vm-2")));
  }

  /** Guards against work being promoted only after its start deadline has passed. */
  @Test
  void jobNearItsStartDeadlineIsPromoted() {
    Policy policy =
        TestPolicies.of(
            Map.of("class", TimeSpan.seconds(100)),
            TimeSpan.seconds(16),
            TimeSpan.seconds(20),
            1800,
            new Policy.TeamQuota("blue", 0, 0, 0, 0));
    LeaderHarness harness = new LeaderHarness(policy, List.of());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(10).estimateS(90).build());
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(2).cores(10).estimateS(20).priority(Priority.LOW).build());
    harness.advanceWithHeartbeats("vm-1", 60);
    harness.submit(JobSpecBuilder.job(3).cores(10).estimateS(20).build());
    harness.advanceWithHeartbeats("vm-1", 20);
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.DONE);
    assertEquals(List.of(LeaderHarness.task(2, 0)), launches(harness.sendHeartbeat("vm-1")));
  }

  /**
   * Guards against starvation of large jobs by a stream of small ones: a job of many tasks behind
   * shorter jobs, a job that needs a whole machine, and a job that needs most of its team's limit.
   */
  @ParameterizedTest
  @CsvSource({"200, 3, blue", "2, 10, blue", "2, 10, red"})
  void largeJobStartsDespiteStreamOfSmallJobs(int tasks, int cores, String team) {
    LeaderHarness harness = oneMachine(1800);
    harness.sendHeartbeat("vm-2");
    int nextNumber = 2;
    double startedS = -1;
    harness.submit(
        JobSpecBuilder.job(nextNumber++).team(team).tasks(20).cores(3).estimateS(16).build());
    harness.submit(
        JobSpecBuilder.job(1).team(team).tasks(tasks).cores(cores).estimateS(30).build());
    for (int s = 0; s < 300 && startedS < 0; s += 2) {
      harness.advance(2);
      if (s % 4 == 0) {
        harness.submit(
            JobSpecBuilder.job(nextNumber++).team(team).tasks(2).cores(3).estimateS(16).build());
      }
      for (String m : List.of("vm-1", "vm-2")) {
        harness.sendHeartbeat(m);
        for (TaskId task : List.copyOf(harness.tasksByMachine.get(m).keySet())) {
          startedS = task.job().equals(new JobId(JobSpecBuilder.id(1))) ? s : startedS;
          if ((s / 2 + task.index()) % 8 == 0) {
            harness.exitTask(m, task, WorkerHeartbeat.ExitCause.DONE);
          }
        }
      }
    }
    assertTrue(
        startedS >= 0 && startedS <= 240,
        "started after " + startedS + " s, expected within 240 s");
  }

  /** Low-priority jobs whose deadline is at risk queue with jobs of normal priority. */
  @Test
  void jobWithDeadlineAtRiskIsPromoted() {
    LeaderHarness harness = oneMachine(1800);
    harness.submit(JobSpecBuilder.job(1).cores(10).estimateS(60).build());
    harness.sendHeartbeat("vm-1");
    harness.submit(
        JobSpecBuilder.job(2).cores(10).estimateS(20).priority(Priority.LOW).deadlineS(90).build());
    harness.advanceWithHeartbeats("vm-1", 50);
    harness.submit(JobSpecBuilder.job(3).cores(10).estimateS(20).build());
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.DONE);
    assertEquals(List.of(LeaderHarness.task(2, 0)), launches(harness.sendHeartbeat("vm-1")));
  }
}
