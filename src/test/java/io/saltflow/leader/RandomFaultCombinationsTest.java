package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulations that repeatedly inject random combinations of two or three faults. */
class RandomFaultCombinationsTest {
  private static final int COMBINATIONS = 5;
  private static final double PAUSE_SECONDS = 60;

  private static final String[] JOB_CLASSES = {"short", "long", "wide"};

  private enum Fault {
    DUPLICATES_TO_NEXT_LEADER,
    DELAYED_WRITES,
    LOST_WRITE_RESPONSES,
    LEADER_CRASH,
    LEADER_PARTITION,
    LEADER_SUPERSEDED,
    REPEATED_FAILOVERS,
    NO_LEADER,
    ZONE_PARTITION,
    LEADER_LOSES_STORE,
    STORE_OUTAGE,
    PROCESS_PAUSES,
    INBOUND_LOSS,
    MACHINE_FAILURES,
    WORKER_RESTARTS,
    CANCELLATIONS,
    SCALE_OUT
  }

  private int jobs;

  private ClusterSimulation simulate(long seed) {
    ClusterSimulation simulation = FaultScenarios.simulation(seed);
    jobs = 0;
    simulation.maxMachinesInZone = 10;
    simulation.minBootMs = seed % 2 == 0 ? 500 : 4000;
    simulation.maxExtraBootSteps = 4;
    simulation.leaderReadMs = 500 * (seed % 4);
    simulation.lostResponseProbability = 0.02;
    submitJobs(simulation, 8);
    simulation.run(30);
    for (int i = 0; i < COMBINATIONS; i++) {
      combineFaults(simulation);
    }
    simulation.lostResponseProbability = 0;
    return simulation;
  }

  private void submitJobs(ClusterSimulation simulation, int count) {
    for (int i = 0; i < count; i++) {
      UniformRandomProvider random = simulation.random;
      int tasks = simulation.chance(0.1) ? 20 : 1 + random.nextInt(6);
      simulation.submit(
          JobSpecBuilder.job(++jobs)
              .ofClass(JOB_CLASSES[random.nextInt(JOB_CLASSES.length)])
              .team(simulation.chance(0.5) ? "red" : "blue")
              .priority(Priority.values()[random.nextInt(4)])
              .tasks(tasks)
              .cores(1 + random.nextInt(simulation.chance(0.1) ? 8 : 4))
              .estimateS(5 + random.nextInt(60))
              .checkpointS(simulation.chance(0.3) ? 5 : 0)
              .oneZone(simulation.chance(0.25))
              .spread(simulation.chance(0.25))
              .zone(simulation.chance(0.15) ? "b" : null)
              .spot(simulation.chance(0.8))
              .build());
    }
  }

  /** Injects two or three random faults that begin within ten seconds. */
  private void combineFaults(ClusterSimulation simulation) {
    List<Fault> faults = new ArrayList<>();
    for (int i = 2 + simulation.random.nextInt(2); i > 0; i--) {
      faults.add(Fault.values()[simulation.random.nextInt(Fault.values().length)]);
    }
    simulation.log("fault combination: " + faults);
    for (Fault fault : faults) {
      inject(simulation, fault);
      simulation.run(simulation.random.nextInt(10) * 0.5);
      if (simulation.chance(0.5)) {
        submitJobs(simulation, 2);
      }
    }
    simulation.run(PAUSE_SECONDS * simulation.random.nextDouble());
    simulation.delayedWriteProbability = 0;
    simulation.lostWriteResponseProbability = 0;
    simulation.duplicates.probability = 0;
  }

  private void inject(ClusterSimulation simulation, Fault fault) {
    long durationMs = 500L * simulation.random.nextInt(100);
    switch (fault) {
      case DUPLICATES_TO_NEXT_LEADER -> simulation.duplicates.probability = 0.7;
      case DELAYED_WRITES -> simulation.delayedWriteProbability = 0.4;
      case LOST_WRITE_RESPONSES -> simulation.lostWriteResponseProbability = 0.4;
      case LEADER_CRASH -> simulation.failLeader(0);
      case LEADER_PARTITION -> simulation.failLeader(durationMs);
      case LEADER_SUPERSEDED -> simulation.supersede(durationMs);
      case REPEATED_FAILOVERS -> failOverRepeatedly(simulation);
      case NO_LEADER -> {
        simulation.failLeader(0);
        simulation.nextElectionAt =
            Math.max(simulation.nextElectionAt, simulation.now + durationMs);
      }
      case ZONE_PARTITION ->
          simulation.zonePartitionedUntil.put(
              simulation.chance(0.5) ? "a" : "b", simulation.now + durationMs);
      case LEADER_LOSES_STORE -> simulation.disconnectLeaderFromStore(durationMs);
      case STORE_OUTAGE -> simulation.startStoreOutage(durationMs);
      case CANCELLATIONS -> cancelSomeJobs(simulation);
      case SCALE_OUT -> submitJobs(simulation, 6);
      default -> injectMachineFault(simulation, fault, durationMs);
    }
  }

  private static void failOverRepeatedly(ClusterSimulation simulation) {
    for (int i = 0; i < 10; i++) {
      if (simulation.chance(0.5)) {
        simulation.failLeader(simulation.chance(0.5) ? 0 : 4000);
      } else {
        simulation.supersede(500L * simulation.random.nextInt(20));
      }
      simulation.run(2 + simulation.random.nextInt(20) * 0.5);
    }
  }

  private void cancelSomeJobs(ClusterSimulation simulation) {
    for (int i = 0; i < 3; i++) {
      simulation.cancel(new JobId(JobSpecBuilder.id(1 + simulation.random.nextInt(jobs))));
    }
  }

  private static void injectMachineFault(
      ClusterSimulation simulation, Fault fault, long durationMs) {
    for (int i = 0; i < 4; i++) {
      ClusterSimulation.SimulatedWorker worker = simulation.randomWorker();
      if (worker == null) {
        return;
      }
      switch (fault) {
        case PROCESS_PAUSES -> worker.pausedUntil = simulation.now + Math.min(durationMs, 30_000);
        case INBOUND_LOSS -> worker.inboundLostUntil = simulation.now + durationMs;
        case MACHINE_FAILURES -> worker.failed = true;
        default -> worker.restart();
      }
    }
  }

  private void runAndAssert(long seed) {
    ClusterSimulation simulation = simulate(seed);
    FaultScenarios.assertRecovers(simulation, "seed " + seed);
    assertTrue(simulation.taskStartCount > 20, "too few task starts: " + simulation.taskStartCount);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void invariantsHoldUnderCombinedFaults(long seed) {
    runAndAssert(seed);
  }

  /** Not run in CI: {@code mvn test -Dtest=RandomFaultCombinationsTest -Dmeetings.seeds=2000}. */
  @Test
  @EnabledIfSystemProperty(named = "meetings.seeds", matches = "\\d+")
  void invariantsHoldForManySeeds() {
    for (long seed = 1000; seed < 1000 + Long.getLong("meetings.seeds"); seed++) {
      runAndAssert(seed);
    }
  }
}
