package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.autoscaler.ScaleOutRequest;
import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerHeartbeat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests replica migrations that make a machine free for a large replica on a fragmented cluster of
 * three machines with eight accelerators each, under leader failures and lost writes.
 */
class ReplicaMigrationsTest {
  private static final Resources MACHINE = new Resources(64, 8, 64);
  private static final Policy POLICY =
      TestPolicies.of(
          TimeSpan.seconds(16),
          TimeSpan.seconds(20),
          1800,
          new Policy.TeamQuota("blue", 0, 0, 0, 0));
  private static final JobId LARGE_JOB = new JobId(JobSpecBuilder.id(9));

  /** Cluster whose recorded plans survive a failover while the leader's memory does not. */
  private static final class MigrationSimulation {
    final LeaderHarness harness = new LeaderHarness(POLICY, List.of());
    final Map<JobId, JobSpec> live = new LinkedHashMap<>();
    final Map<String, RecordedPlan> records = new TreeMap<>();
    long term = LeaderHarness.TERM.number();
    boolean loseWrites;
    int maxReplicasAway;

    MigrationSimulation() {
      harness.failOver(POLICY, LeaderHarness.TERM, List.of(), MACHINE);
      for (String m : List.of("vm-1", "vm-2", "vm-3")) {
        harness.sendHeartbeat(m);
      }
    }

    void submit(JobSpec spec) {
      live.put(spec.id(), spec);
      harness.submit(spec);
    }

    /** Simulates one second of scheduling rounds, writes and heartbeats. */
    void step(boolean cloudRefuses) {
      harness.advance(1);
      harness.leader.decisions().setMigrationAllowed(true);
      for (ScaleOutRequest scaleOutRequest :
          harness.leader.machines().planScaleOut(harness.time())) {
        if (cloudRefuses) {
          harness.leader.machines().onScaleOutRefused(scaleOutRequest, harness.time());
        }
      }
      writePlans();
      for (String m : List.copyOf(harness.tasksByMachine.keySet())) {
        harness.sendHeartbeat(m);
      }
      checkPlacements();
    }

    void writePlans() {
      for (RecordedPlan recordedPlan : harness.leader.decisions().migrationPlansToRecord()) {
        if (!loseWrites) {
          records.put(recordedPlan.name(), recordedPlan);
          harness.leader.decisions().onMigrationPlanRecorded(recordedPlan, true);
        }
      }
      harness.leader.decisions().migrationPlansToDelete().forEach(records::remove);
    }

    void failLeader() {
      List<Job> jobs = new ArrayList<>();
      live.values().forEach(spec -> jobs.add(new Job(spec, 0, new BitSet(), true)));
      harness.failOver(POLICY, new Term(++term), jobs, MACHINE);
      harness.leader.decisions().restoreMigrationPlans(records.values(), harness.time());
      harness.leader.machines().onTypesRead(List.of(LeaderHarness.machineType(MACHINE)));
    }

    /**
     * Checks that no task runs twice and no machine is over its capacity, and updates the most
     * replicas of a job away at once.
     */
    void checkPlacements() {
      Map<TaskId, String> machineByTask = new LinkedHashMap<>();
      harness.tasksByMachine.forEach(
          (machine, tasks) -> {
            Resources used = Resources.ZERO;
            for (WorkerHeartbeat.TaskStatus status : tasks.values()) {
              if (status.state() != WorkerHeartbeat.TaskState.EXITED) {
                assertEquals(
                    null,
                    machineByTask.put(status.task(), machine),
                    status.task() + " runs on two machines");
                used = used.plus(live.get(status.task().job()).size());
              }
            }
            assertTrue(used.fitsIn(MACHINE), machine + " is over its capacity: " + used);
          });
      for (JobSpec spec : live.values()) {
        if (!spec.id().equals(LARGE_JOB)) {
          long running =
              machineByTask.keySet().stream().filter(task -> task.job().equals(spec.id())).count();
          maxReplicasAway = Math.max(maxReplicasAway, (int) (spec.tasks() - running));
        }
      }
    }

    int runningReplicas(JobId id) {
      int count = 0;
      for (Map<TaskId, WorkerHeartbeat.TaskStatus> tasks : harness.tasksByMachine.values()) {
        for (WorkerHeartbeat.TaskStatus status : tasks.values()) {
          count +=
              status.task().job().equals(id) && status.state() != WorkerHeartbeat.TaskState.EXITED
                  ? 1
                  : 0;
        }
      }
      return count;
    }
  }

  private static JobSpec replicatedJob(int number, int replicas, double gpus) {
    return JobSpecBuilder.job(number)
        .daemon()
        .tasks(replicas)
        .cores(gpus * 4)
        .gpus(gpus)
        .estimateS(0)
        .build();
  }

  /**
   * Returns a cluster on which the large replica fits nowhere: each machine runs three small
   * replicas, spread by filler jobs that have ended since.
   */
  private static MigrationSimulation fragmentedCluster() {
    MigrationSimulation simulation = new MigrationSimulation();
    for (int i = 1; i <= 3; i++) {
      simulation.submit(
          JobSpecBuilder.job(20 + i).daemon().tasks(1).cores(20).gpus(5).estimateS(0).build());
      simulation.step(true);
    }
    for (int i = 1; i <= 3; i++) {
      simulation.submit(replicatedJob(i, 3, 1));
    }
    for (int i = 0; i < 6; i++) {
      simulation.step(true);
    }
    simulation.maxReplicasAway = 0;
    for (int i = 1; i <= 3; i++) {
      simulation
          .harness
          .leader
          .jobs()
          .onRemoved(new JobId(JobSpecBuilder.id(20 + i)), simulation.harness.time());
    }
    for (int i = 0; i < 3; i++) {
      simulation.step(true);
    }
    for (int i = 1; i <= 3; i++) {
      simulation.live.remove(new JobId(JobSpecBuilder.id(20 + i)));
    }
    simulation.submit(replicatedJob(9, 1, 8));
    return simulation;
  }

  private static void assertAllReplicasRun(MigrationSimulation simulation, String scenario) {
    for (int i = 0; i < 90 && simulation.runningReplicas(LARGE_JOB) == 0; i++) {
      simulation.step(true);
    }
    for (int i = 0; i < 12; i++) {
      simulation.step(true);
    }
    assertEquals(
        1,
        simulation.runningReplicas(LARGE_JOB),
        scenario + ": " + simulation.harness.leader.decisions().migrationStatusLines());
    for (int i = 1; i <= 3; i++) {
      assertEquals(3, simulation.runningReplicas(new JobId(JobSpecBuilder.id(i))), scenario);
    }
    assertTrue(
        simulation.maxReplicasAway <= 1,
        scenario + ": " + simulation.maxReplicasAway + " replicas away at once");
    for (RecordedPlan plan : simulation.records.values()) {
      assertTrue(plan.outcome() != null, scenario + ": plan was not ended: " + plan);
    }
  }

  @Test
  void largeReplicaFitsAfterMigrations() throws IOException {
    MigrationSimulation simulation = fragmentedCluster();
    simulation.harness.trace.clear();
    assertAllReplicasRun(simulation, "without faults");
    simulation.harness.leader.decisions().migrationStatusLines().forEach(simulation.harness::log);
    GoldenTraces.check("moves", simulation.harness.trace);
  }

  /** Guards against a new leader that cannot continue a plan from the record and heartbeats. */
  @Test
  void planContinuesAfterLeaderFailureAtEachStep() {
    for (int seconds = 0; seconds < 45; seconds++) {
      for (boolean writesLost : new boolean[] {false, true}) {
        MigrationSimulation simulation = fragmentedCluster();
        simulation.maxReplicasAway = 0;
        for (int i = 0; i < seconds; i++) {
          simulation.loseWrites = writesLost && i >= seconds - 2;
          simulation.step(true);
        }
        simulation.loseWrites = false;
        simulation.failLeader();
        assertAllReplicasRun(
            simulation,
            "leader failed after " + seconds + " s" + (writesLost ? ", last writes lost" : ""));
      }
    }
  }

  /** Deletes the destination of a replica, the machine being cleared, or the large job itself. */
  @Test
  void planIsAbandonedWhenMachineOrJobIsGone() {
    for (int seconds = 5; seconds < 30; seconds++) {
      for (String gone : List.of("destination", "cleared", "job")) {
        MigrationSimulation simulation = fragmentedCluster();
        for (int i = 0; i < seconds; i++) {
          simulation.step(true);
        }
        RecordedPlan plan =
            simulation.records.values().stream()
                .filter(k -> k.outcome() == null)
                .findFirst()
                .orElse(null);
        if (plan == null) {
          continue;
        }
        if (gone.equals("job")) {
          simulation.live.remove(LARGE_JOB);
          simulation.harness.leader.jobs().onRemoved(LARGE_JOB, simulation.harness.time());
        } else {
          MachineId id = gone.equals("cleared") ? plan.target() : plan.moves().get(0).to();
          simulation.harness.tasksByMachine.remove(id.text());
          simulation.harness.leader.machines().onDeleted(List.of(id), simulation.harness.time());
          simulation.harness.sendHeartbeat("vm-" + (10 + seconds));
        }
        for (int i = 0; i < 90; i++) {
          simulation.step(true);
        }
        for (int i = 1; i <= 3; i++) {
          assertEquals(
              3,
              simulation.runningReplicas(new JobId(JobSpecBuilder.id(i))),
              gone + " after " + seconds);
        }
        assertEquals(
            gone.equals("job") ? 0 : 1,
            simulation.runningReplicas(LARGE_JOB),
            gone + " after " + seconds);
        assertTrue(simulation.records.values().stream().allMatch(k -> k.outcome() != null), gone);
      }
    }
  }

  /** Guards against small replicas taking the machine that is being cleared for the large one. */
  @Test
  void clearedMachineIsReservedForLargeReplica() {
    MigrationSimulation simulation = fragmentedCluster();
    List<JobId> smallJobs = new ArrayList<>();
    for (int i = 0; i < 40 && simulation.runningReplicas(LARGE_JOB) == 0; i++) {
      if (i % 2 == 0 && i < 14) {
        smallJobs.add(new JobId(JobSpecBuilder.id(40 + i)));
        simulation.submit(replicatedJob(40 + i, 1, 1));
      }
      simulation.step(true);
    }
    assertEquals(
        1,
        simulation.runningReplicas(LARGE_JOB),
        "" + simulation.harness.leader.decisions().migrationStatusLines());
    assertTrue(smallJobs.size() >= 4, "too few other jobs arrived in the meantime: " + smallJobs);
    for (int i = 0; i < 5; i++) {
      simulation.step(true);
    }
    smallJobs.forEach(
        id -> assertEquals(1, simulation.runningReplicas(id), "a small replica is not running"));
  }

  /** Guards against migrations that a new leader would not know of. */
  @Test
  void replicasStayUntilPlanIsRecorded() {
    MigrationSimulation simulation = fragmentedCluster();
    simulation.maxReplicasAway = 0;
    simulation.loseWrites = true;
    for (int i = 0; i < 30; i++) {
      simulation.step(true);
    }
    assertEquals(0, simulation.maxReplicasAway);
    assertTrue(
        simulation
            .harness
            .leader
            .decisions()
            .migrationStatusLines()
            .get(0)
            .contains("goes on, 3 to go"));
    simulation.loseWrites = false;
    simulation.failLeader();
    assertAllReplicasRun(simulation, "planned again by a new leader");
  }

  /** Guards against migrations while the cloud may still provide a machine. */
  @Test
  void replicasStayWhileScaleOutIsPossible() {
    MigrationSimulation simulation = fragmentedCluster();
    for (int i = 0; i < 20; i++) {
      simulation.step(false);
    }
    assertTrue(
        simulation.records.isEmpty(),
        "a migration was planned although scale-out is possible: "
            + simulation.harness.leader.decisions().migrationStatusLines());
  }
}
