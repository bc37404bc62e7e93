package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.TimeSpan;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cancellations on unreachable machines, at each step of the fault. */
class CancellationFaultsTest {
  private static final int JOBS = 6;

  /** Estimate long enough that no task completes within the cancellation bound. */
  private static final double ESTIMATE_S = 120;

  private static ClusterSimulation withRunningJobs(long seed) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    for (int i = 1; i <= JOBS; i++) {
      simulation.submit(JobSpecBuilder.job(i).tasks(2).cores(3).estimateS(ESTIMATE_S).build());
    }
    simulation.run(30);
    return simulation;
  }

  private static JobId id(int number) {
    return new JobId(JobSpecBuilder.id(number));
  }

  private static void cancelHalf(ClusterSimulation simulation) {
    for (int i = 1; i <= JOBS; i += 2) {
      simulation.cancel(id(i));
    }
  }

  private static Set<MachineId> machinesWithCancelledTasks(ClusterSimulation simulation) {
    return simulation.workers.values().stream()
        .filter(
            worker ->
                worker.tasks.keySet().stream()
                    .anyMatch(task -> simulation.records.get(task.job()).ended))
        .map(worker -> worker.id)
        .collect(Collectors.toSet());
  }

  /** Applies the fault to every machine, so that none receives the cancellation. */
  private static void applyToAll(
      ClusterSimulation simulation, MachineFault fault, long durationMs) {
    simulation.workers.values().forEach(worker -> fault.apply(worker, simulation.now + durationMs));
  }

  /**
   * Machines become unreachable between two seconds before and three seconds after the
   * cancellation, for less or more than a lease, and recover. Responses are slow in some cases, so
   * that some are pending at a paused machine.
   */
  @ParameterizedTest
  @EnumSource(MachineFault.class)
  void cancelledTaskStopsOnceItsMachineRecovers(MachineFault fault) {
    for (int faultStep = -4; faultStep <= 6; faultStep++) {
      for (int durationSteps : new int[] {1, 5, 9, 20, 30, 33, 50}) {
        ClusterSimulation simulation = withRunningJobs(faultStep + 50);
        simulation.slowResponseProbability = durationSteps % 2;
        for (int step = -4; step <= 6; step++) {
          if (step == 0) {
            cancelHalf(simulation);
          }
          if (step == faultStep) {
            applyToAll(simulation, fault, durationSteps * ClusterSimulation.STEP_MS);
          }
          simulation.step();
        }
        simulation.run(
            (ClusterSimulation.CANCELLATION_BOUND_MS + ClusterSimulation.LEASE_MS) / 1000.0);
        simulation.slowResponseProbability = 0;
        SimulationAssertions.assertAllJobsEnd(
            simulation, fault + ", fault step " + faultStep + " for " + durationSteps);
      }
    }
  }

  /**
   * Jobs are cancelled at each step of a failover, caused by a crash, a partition or a superseded
   * leader, while machines are unreachable.
   */
  @ParameterizedTest
  @EnumSource(MachineFault.class)
  void cancellationDuringFailover(MachineFault fault) {
    for (int cancelStep = -4; cancelStep <= 20; cancelStep++) {
      for (int failoverKind = 0; failoverKind < 3; failoverKind++) {
        ClusterSimulation simulation = withRunningJobs(cancelStep + 100);
        simulation.leaderReadMs = 1000;
        for (int step = -4; step <= 20; step++) {
          if (step == cancelStep) {
            cancelHalf(simulation);
            applyToAll(simulation, fault, 6000);
          }
          if (step == 0) {
            replaceLeader(simulation, failoverKind);
          }
          simulation.step();
        }
        simulation.run(
            (ClusterSimulation.CANCELLATION_BOUND_MS + ClusterSimulation.LEASE_MS) / 1000.0);
        SimulationAssertions.assertAllJobsEnd(
            simulation, fault + ", cancel step " + cancelStep + ", failover kind " + failoverKind);
      }
    }
  }

  private static void replaceLeader(ClusterSimulation simulation, int failoverKind) {
    switch (failoverKind) {
      case 0 -> simulation.failLeader(0);
      case 1 -> simulation.failLeader(12_000);
      default -> simulation.supersede(8000);
    }
  }

  /**
   * The machines of cancelled jobs cannot connect to any controller for a minute. Their lease
   * expiry ends the tasks in time, the machines are deleted, and the remaining jobs run elsewhere.
   *
   * @param failover whether the leader changes meanwhile, so that the new one knows only the ledger
   * @param cloudDown whether the machines cannot be deleted at first
   */
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void unreachableMachinesLoseTasksInTimeAndAreReplaced(boolean failover, boolean cloudDown) {
    for (int cancelStep = -6; cancelStep <= 12; cancelStep++) {
      ClusterSimulation simulation = withRunningJobs(cancelStep + 200);
      Set<MachineId> unreachable = Set.copyOf(simulation.workers.keySet());
      for (int step = -6; step <= 12; step++) {
        if (step == 0) {
          applyToAll(simulation, MachineFault.OUTBOUND_LOSS, 60_000);
          simulation.cloudOutageUntil = cloudDown ? simulation.now + 30_000 : 0;
        }
        if (step == cancelStep) {
          cancelHalf(simulation);
        }
        if (step == 4 && failover) {
          simulation.failLeader(0);
        }
        simulation.step();
      }
      // One lease after the last response before the machines became unreachable, plus one step of
      // the worker.
      simulation.run(ClusterSimulation.LEASE_MS / 1000.0 - 6 + 0.5);
      String when = "cancel step " + cancelStep;
      assertEquals(Set.of(), machinesWithCancelledTasks(simulation), when);
      simulation.run(40);
      assertTrue(
          simulation.workers.keySet().stream().noneMatch(unreachable::contains),
          "unreachable machines are deleted, " + when);
      simulation.run(30);
      for (int i = 2; i <= JOBS; i += 2) {
        assertFalse(
            simulation.leader.core.jobs().find(id(i)).placements.isEmpty(),
            "remaining jobs run elsewhere, " + when);
      }
      SimulationAssertions.assertAllJobsEnd(simulation, when);
    }
  }

  /**
   * Four single-task jobs are submitted per second, and many are cancelled: at once, before and
   * after the launch, while running, and in the step in which they complete.
   *
   * @param failovers whether the leader changes in between
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void manySmallJobsAreCancelled(boolean failovers) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            failovers ? 301 : 300,
            ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
    int jobs = 0;
    int maxKnown = 0;
    simulation.delayedWriteProbability = 0.1;
    for (int step = 0; step < 360; step++) {
      for (int i = 0; i < 2; i++) {
        simulation.submit(JobSpecBuilder.job(++jobs).cores(1).estimateS(1 + jobs % 7).build());
        cancelSomeJobs(simulation, jobs);
      }
      if (failovers && step % 80 == 50) {
        simulation.failLeader(0);
      }
      cancelCompletingJobs(simulation);
      simulation.step();
      if (simulation.leader != null && simulation.leader.core != null) {
        maxKnown = Math.max(maxKnown, simulation.leader.core.jobs().scheduled().size());
      }
    }
    simulation.delayedWriteProbability = 0;
    SimulationAssertions.assertAllJobsEnd(simulation, "failovers " + failovers);
    simulation.run(20);
    assertEquals(0, simulation.leader.core.jobs().scheduled().size(), "ended jobs are discarded");
    assertTrue(maxKnown < jobs / 2, "too many of " + jobs + " jobs known at once: " + maxKnown);
    long cancelled =
        simulation.records.values().stream().filter(record -> record.cancelledAt >= 0).count();
    assertTrue(cancelled > jobs / 6, "too few cancelled jobs: " + cancelled);
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      assertTrue(
          record.cancelledAt >= 0 ^ record.doneAt >= 0,
          record.spec.id() + " is either done or cancelled");
    }
  }

  /** Cancels one of eight jobs, up to six seconds after its submission. */
  private static void cancelSomeJobs(ClusterSimulation simulation, int newest) {
    int age = newest / 8 % 12 * 2;
    int number = newest - age;
    if (number > 0 && newest % 8 == 0) {
      simulation.cancel(id(number));
    }
  }

  /**
   * Cancels some of the jobs whose task completes in the next step, or has exited but is not
   * recorded because there is no leader or the write is unacknowledged.
   */
  private static void cancelCompletingJobs(ClusterSimulation simulation) {
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      for (var entry : List.copyOf(worker.tasks.entrySet())) {
        boolean chosen = Math.floorMod(entry.getKey().job().hashCode(), 5) == 0;
        boolean running = entry.getValue().isRunning();
        if (chosen
            && (!running
                || entry.getValue().endsAt <= simulation.now + ClusterSimulation.STEP_MS)) {
          simulation.cancel(entry.getKey().job());
        }
      }
    }
  }
}
