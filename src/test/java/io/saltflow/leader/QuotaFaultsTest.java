package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Teams at their core or GPU limit, while the leader changes and jobs on unreachable machines are
 * cancelled. Tasks on such a machine count towards the limit until they are known to have ended.
 */
class QuotaFaultsTest {
  static final MachineType GPU_MACHINE_TYPE =
      new MachineType(
          "box", new Resources(8, 2, 32), 1, 0.4, 0.1, TimeSpan.seconds(15), List.of("a", "b"));

  static final Policy POLICY =
      TestPolicies.of(
          TimeSpan.millis(ClusterSimulation.LEASE_MS),
          LeaderLease.workerRenewalBound(
              TimeSpan.millis(ClusterSimulation.LEASE_MS),
              TimeSpan.millis(ClusterSimulation.CANCELLATION_BOUND_MS)),
          1800,
          new Policy.TeamQuota("red", 0, 16, 0, 0),
          new Policy.TeamQuota("blue", 0, 0, 0, 2),
          new Policy.TeamQuota("green", 8, 12, 1, 2),
          new Policy.TeamQuota("unlimited", 0, 0, 0, 0));

  /** Teams that use their whole limit and have further jobs queued. */
  private static final List<String> TEAMS = List.of("red", "blue", "green");

  private static final int JOBS_PER_TEAM = 3;

  private static final double ESTIMATE_S = 45;

  /** Job that keeps machines in use until its cancellation frees them for the other jobs. */
  private static final int RESERVING_JOB = 99;

  /** Last step of a cancellation, counted from the first failover. */
  private static final int LAST_CANCEL_STEP = 14;

  /** Maximum number of steps from the cancellation until the machines become unreachable. */
  private static final int MAX_FAULT_DELAY_STEPS = 3;

  private static final int SECOND_FAILOVER_STEP = 5;

  private static final long UNREACHABLE_MS = 11_000;

  private static final Term FORMER_TERM = new Term(6);

  private static ClusterSimulation withTeamsAtLimits(long seed) {
    ClusterSimulation simulation = new ClusterSimulation(seed, POLICY);
    simulation.machineType = GPU_MACHINE_TYPE;
    for (int i = 0; i < JOBS_PER_TEAM; i++) {
      simulation.submit(
          JobSpecBuilder.job(jobNumber("red", i))
              .team("red")
              .cores(8)
              .estimateS(ESTIMATE_S)
              .build());
      simulation.submit(
          JobSpecBuilder.job(jobNumber("blue", i))
              .team("blue")
              .gpus(1)
              .estimateS(ESTIMATE_S)
              .build());
      simulation.submit(
          JobSpecBuilder.job(jobNumber("green", i))
              .team("green")
              .cores(6)
              .gpus(1)
              .estimateS(ESTIMATE_S)
              .build());
    }
    simulation.submit(
        JobSpecBuilder.job(RESERVING_JOB)
            .team("unlimited")
            .tasks(4)
            .cores(8)
            .estimateS(300)
            .build());
    simulation.run(35);
    simulation.cancel(new JobId(JobSpecBuilder.id(RESERVING_JOB)));
    return simulation;
  }

  private static int jobNumber(String team, int job) {
    return 1 + TEAMS.indexOf(team) * JOBS_PER_TEAM + job;
  }

  /** Cancels all jobs with tasks on machines; no task may be replaced before it has ended. */
  private static void cancelRunningJobs(ClusterSimulation simulation) {
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      List.copyOf(worker.tasks.keySet()).forEach(id -> simulation.cancel(id.job()));
    }
  }

  /**
   * The leader changes twice within half a lease, so that machines announce the second term late.
   * Jobs are cancelled at each step, and their machines become unreachable in one of the next
   * steps, for less than a lease.
   */
  @ParameterizedTest
  @EnumSource(MachineFault.class)
  void cancelledTasksCountUntilReconciled(MachineFault fault) {
    for (int cancelStep = 0; cancelStep <= LAST_CANCEL_STEP; cancelStep++) {
      for (int faultStep = cancelStep;
          faultStep <= cancelStep + MAX_FAULT_DELAY_STEPS;
          faultStep++) {
        ClusterSimulation simulation = withTeamsAtLimits(cancelStep + 100);
        assertTrue(
            simulation.taskStartCount >= 6,
            "too few task starts to reach the limits: " + simulation.taskStartCount);
        for (int step = 0; step <= LAST_CANCEL_STEP + MAX_FAULT_DELAY_STEPS; step++) {
          if (step == 0 || step == SECOND_FAILOVER_STEP) {
            simulation.failLeader(0);
            simulation.nextElectionAt = simulation.now + ClusterSimulation.STEP_MS;
          }
          if (step == cancelStep) {
            cancelRunningJobs(simulation);
          }
          if (step == faultStep) {
            long until = simulation.now + UNREACHABLE_MS;
            simulation.workers.values().stream()
                .filter(worker -> !worker.tasks.isEmpty())
                .forEach(worker -> fault.apply(worker, until));
          }
          simulation.step();
        }
        SimulationAssertions.assertAllJobsEnd(
            simulation, fault + ", cancel step " + cancelStep + ", fault step " + faultStep);
      }
    }
  }

  /**
   * A job ends between the new leader's first response to a machine that runs its task and the
   * machine's heartbeat with the new term. The stop command in the response to that heartbeat is
   * lost, so the task keeps running.
   *
   * @param cancelled whether the job was cancelled; otherwise the result of another attempt ends it
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void taskOfJobEndedDuringFailoverCounts(boolean cancelled) {
    Job ended = LeaderHarness.job(JobSpecBuilder.job(1).team("red").cores(8).build(), true);
    LeaderHarness harness = new LeaderHarness(POLICY, List.of(ended), "vm-1", "vm-2");
    TaskId task = LeaderHarness.task(1, 0);
    Attempt attempt = Attempt.of(FORMER_TERM, 1);
    WorkerHeartbeat.TaskStatus running =
        new WorkerHeartbeat.TaskStatus(
            task, attempt, WorkerHeartbeat.TaskState.RUNNING, null, false);
    harness.tasksByMachine.put("vm-1", new LinkedHashMap<>(Map.of(task, running)));
    harness.leader.onHeartbeat(harness.heartbeat("vm-1", FORMER_TERM), true, harness.time());
    harness.sendHeartbeat("vm-2");
    harness.sendHeartbeat("vm-3");
    harness.submit(JobSpecBuilder.job(2).team("red").cores(8).build());
    harness.submit(JobSpecBuilder.job(3).team("red").cores(8).build());

    if (cancelled) {
      harness.leader.jobs().onRemoved(ended.id(), harness.time());
    } else {
      WorkerHeartbeat.TaskStatus done =
          new WorkerHeartbeat.TaskStatus(
              task,
              Attempt.of(FORMER_TERM, 2),
              WorkerHeartbeat.TaskState.EXITED,
              WorkerHeartbeat.ExitCause.DONE,
              false);
      harness.tasksByMachine.put("vm-3", new LinkedHashMap<>(Map.of(task, done)));
      harness.sendHeartbeat("vm-3");
      harness
          .leader
          .jobs()
          .toFinish()
          .forEach(job -> harness.leader.jobs().onFinished(job, harness.time()));
    }
    List<WorkerCommand> lost =
        harness.leader.onHeartbeat(
            harness.heartbeat("vm-1", LeaderHarness.TERM), true, harness.time());
    assertEquals(List.of(new WorkerCommand.Stop(task, attempt, new TimeSpan(0))), stops(lost));
    assertTrue(harness.leader.isReconciled());

    harness.advance(1);
    long launchesElsewhere =
        launchCount(harness.sendHeartbeat("vm-2")) + launchCount(harness.sendHeartbeat("vm-3"));
    lost =
        harness.leader.onHeartbeat(
            harness.heartbeat("vm-1", LeaderHarness.TERM), true, harness.time());
    assertEquals(1, launchesElsewhere + launchCount(lost), "launches within the limit of 16 cores");
    harness.advance(1);
    long launchesAfterStop =
        launchCount(harness.sendHeartbeat("vm-1")) + launchCount(harness.sendHeartbeat("vm-1"));
    assertEquals(1, launchesAfterStop, "launches after the task was reported as ended");
  }

  private static List<WorkerCommand> stops(List<WorkerCommand> commands) {
    return commands.stream().filter(command -> command instanceof WorkerCommand.Stop).toList();
  }

  private static long launchCount(List<WorkerCommand> commands) {
    return commands.stream().filter(command -> command instanceof WorkerCommand.Launch).count();
  }
}
