package io.saltflow.leader;

import static io.saltflow.leader.FaultScenarios.atEachStep;
import static io.saltflow.leader.FaultScenarios.cancelSomeJobs;
import static io.saltflow.leader.FaultScenarios.withConstrainedJobs;
import static io.saltflow.leader.FaultScenarios.withRunningJobs;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Failovers combined with another fault, injected at every step of the scenario. */
class FailoverFaultsTest {
  /**
   * Each new leader first receives copies of old heartbeats, also from workers that have since
   * started a new epoch. {@link DuplicateHeartbeats} checks each copy at delivery.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void staleHeartbeatsReachNextLeaderFirst(boolean earlierEpochs) {
    int[] counts = new int[2];
    atEachStep(
        60,
        () -> withRunningJobs(300, 60),
        (simulation, step) -> {
          simulation.duplicates.probability = 1;
          simulation.run(5);
          if (earlierEpochs) {
            // Long enough for leases to expire; one worker restarts without its tasks.
            simulation.workers.values().stream()
                .limit(2)
                .forEach(worker -> worker.partitionedUntil = simulation.now + 20_000);
            simulation.workers.values().stream()
                .skip(2)
                .limit(1)
                .forEach(ClusterSimulation.SimulatedWorker::restart);
            simulation.run(10 + step * 0.5);
          }
          cancelSomeJobs(simulation, step);
          for (int i = 0; i < 3; i++) {
            simulation.failLeader(0);
            simulation.run(1 + step * 0.5);
          }
          counts[0] += simulation.duplicates.deliveredCount;
          counts[1] += simulation.duplicates.earlierEpochCount;
        });
    assertTrue(counts[0] > 300, "too few copies delivered: " + counts[0]);
    assertTrue(
        !earlierEpochs || counts[1] > 30, "too few copies from earlier epochs: " + counts[1]);
  }

  /**
   * The delayed heartbeat may list tasks that have been launched elsewhere since, and lack tasks
   * that run on its machine.
   */
  @Test
  void heartbeatIsDelayedUntilNewLeaderHasLaunched() {
    atEachStep(
        80,
        () -> withConstrainedJobs(310, 60),
        (simulation, step) -> {
          simulation.workers.values().stream()
              .limit(3)
              .forEach(worker -> worker.partitionedUntil = simulation.now + 500L * step);
          simulation.run(step % 5);
          simulation.failLeader(0);
          cancelSomeJobs(simulation, step);
        });
  }

  /**
   * New machines boot within seconds and receive tasks at once. Ledger writes are delayed or their
   * responses lost, the leader crashes, and machines are partitioned until a successor has launched
   * tasks.
   */
  @ParameterizedTest
  @CsvSource({"0.7, 0", "0, 0.7", "0.4, 0.4", "0, 0"})
  void newMachinesReceiveTasksDuringDelayedWritesAndLeaderFailure(
      double delayedWrites, double lostResponses) {
    int[] launched = new int[1];
    atEachStep(
        50,
        () -> {
          ClusterSimulation simulation = FaultScenarios.simulation(320);
          simulation.maxMachinesInZone = 6;
          simulation.minBootMs = 500;
          simulation.maxExtraBootSteps = 4;
          simulation.delayedWriteProbability = delayedWrites;
          simulation.lostWriteResponseProbability = lostResponses;
          for (int i = 1; i <= FaultScenarios.JOBS; i++) {
            simulation.submit(
                JobSpecBuilder.job(i).team("blue").tasks(6).cores(2).estimateS(20).build());
          }
          return simulation;
        },
        (simulation, step) -> {
          simulation.run(2 + step * 0.5);
          launched[0] +=
              (int)
                  simulation.workers.values().stream()
                      .filter(worker -> !worker.tasks.isEmpty())
                      .count();
          simulation.failLeader(0);
          // Some machines are partitioned until the successor has launched tasks; others are not.
          simulation.workers.values().stream()
              .limit(3)
              .forEach(worker -> worker.partitionedUntil = simulation.now + 14_000);
          simulation.run(3);
          cancelSomeJobs(simulation, step);
          simulation.run(20);
        });
    assertTrue(launched[0] > 50, "too few machines with tasks: " + launched[0]);
  }

  /**
   * Tasks launched on a machine before the ledger lists it would run twice. Only ledger writes are
   * delayed; the leader crashes after a scale-out, and machines missing from the ledger are
   * partitioned until the successor has launched tasks.
   */
  @ParameterizedTest
  @ValueSource(longs = {2_000, 6_000, 12_000})
  void machinesMissingFromLedgerRunNoTasks(long delayMs) {
    int[] missing = new int[1];
    atEachStep(
        40,
        () -> {
          ClusterSimulation simulation = withRunningJobs(325, 60);
          simulation.maxMachinesInZone = 10;
          simulation.minBootMs = 500;
          simulation.maxExtraBootSteps = 4;
          return simulation;
        },
        (simulation, step) -> {
          for (int i = 1; i <= 4; i++) {
            simulation.submit(
                JobSpecBuilder.job(100 + i).team("blue").tasks(6).cores(4).estimateS(30).build());
          }
          simulation.ledgerDelayedUntil = simulation.now + delayMs;
          simulation.run(1 + step * 0.5);
          simulation.failLeader(0);
          for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
            if (!simulation.isInLedger(worker.id)) {
              missing[0]++;
              worker.partitionedUntil = simulation.now + 14_000;
            }
          }
          simulation.run(20);
        });
    assertTrue(missing[0] > 10, "too few machines missing from the ledger: " + missing[0]);
  }

  /** Repeated failovers, with an outage of the key-value store in some cases. */
  @ParameterizedTest
  @ValueSource(longs = {0, 8_000, 20_000, 45_000})
  void tenLeadersInTwoMinutes(long outageMs) {
    atEachStep(
        24,
        () -> withConstrainedJobs(330, 30),
        (simulation, step) -> {
          simulation.leaderReadMs = 500L * (step % 4);
          long first = simulation.lastTermNumber;
          for (int i = 0; i < 10; i++) {
            if (outageMs > 0 && i == 4) {
              simulation.run(step * 0.5);
              simulation.startStoreOutage(outageMs);
            }
            switch ((i + step) % 3) {
              case 0 -> simulation.failLeader(0);
              case 1 -> simulation.failLeader(6_000);
              default -> simulation.supersede(9_000);
            }
            if (i == 5) {
              cancelSomeJobs(simulation, step);
            }
            simulation.run(12);
          }
          long leaders = simulation.lastTermNumber - first;
          assertTrue(leaders >= (outageMs > 30_000 ? 6 : 9), "too few leaders: " + leaders);
        });
  }

  /** There is no leader for up to four leases, so the last launches are reported to none. */
  @Test
  void noControllerLeadsForSeveralLeases() {
    atEachStep(
        130,
        () -> withConstrainedJobs(340, 45),
        (simulation, step) -> {
          simulation.failLeader(0);
          simulation.nextElectionAt = simulation.now + 500L * step;
          simulation.run(step * 0.5 + 1);
          cancelSomeJobs(simulation, step);
        });
  }

  /**
   * Leaders alternate, then all controllers stop and one returns; each new leader receives copies
   * of heartbeats sent to earlier leaders.
   */
  @Test
  void leadershipAlternatesAndOneControllerRestarts() {
    atEachStep(
        60,
        () -> withConstrainedJobs(350, 40),
        (simulation, step) -> {
          simulation.duplicates.probability = 0.5;
          simulation.delayedWriteProbability = 0.2;
          simulation.lostWriteResponseProbability = 0.2;
          for (int i = 0; i < 5; i++) {
            if (i % 2 == 0) {
              simulation.supersede(500L * (step % 9));
            } else {
              simulation.failLeader(0);
              simulation.nextElectionAt = simulation.now + 500;
            }
            simulation.run((step + i) % 4 * 0.5);
          }
          simulation.failLeader(0);
          simulation.nextElectionAt = simulation.now + 500L * (1 + step);
          simulation.run(1 + step * 0.5);
          simulation.failLeader(0);
          simulation.nextElectionAt = simulation.now + 500;
          cancelSomeJobs(simulation, step);
        });
  }

  /**
   * A leader partitioned together with the workers of its zone launches tasks until another leader
   * could have been elected, and receives completions that it cannot record. The successor must
   * learn of both.
   */
  @Test
  void partitionedLeaderLaunchesAndReceivesCompletions() {
    int[] counts = new int[2];
    atEachStep(
        80,
        () -> {
          ClusterSimulation simulation = FaultScenarios.simulation(360);
          simulation.maxMachines = 4;
          simulation.maxMachinesInZone = 2;
          for (int i = 1; i <= FaultScenarios.JOBS; i++) {
            simulation.submit(
                JobSpecBuilder.job(i).team("blue").tasks(6).cores(4).estimateS(4 + i % 3).build());
          }
          return simulation;
        },
        (simulation, step) -> {
          simulation.run(20 + step * 0.5);
          simulation.failLeader(30_000);
          simulation.run(step % 8);
          cancelSomeJobs(simulation, step);
          simulation.run(30);
          counts[0] += simulation.launchesByPartitionedLeaders;
          counts[1] += simulation.completionsToPartitionedLeaders;
        });
    assertTrue(counts[0] > 50, "too few launches by partitioned leaders: " + counts[0]);
    assertTrue(counts[1] > 50, "too few completions reported to partitioned leaders: " + counts[1]);
  }
}
