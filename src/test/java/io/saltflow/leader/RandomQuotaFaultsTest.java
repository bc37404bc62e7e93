package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulations that combine two or three random faults while teams are at their limits. */
class RandomQuotaFaultsTest {
  private static final int FAULT_STEPS = 500;

  /** Probability of a submission per step; high enough to keep the teams at their limits. */
  private static final double SUBMISSION_PROBABILITY = 0.1;

  private static final double FAULT_PROBABILITY = 0.02;
  private static final double CANCELLATION_PROBABILITY = 0.01;
  private static final long FIRST_EXTENDED_SEED = 5000;

  private static List<RandomFault> randomFaults(ClusterSimulation simulation) {
    List<RandomFault> remaining = new ArrayList<>(Arrays.asList(RandomFault.values()));
    List<RandomFault> faults = new ArrayList<>();
    int count = simulation.chance(0.5) ? 2 : 3;
    while (faults.size() < count) {
      faults.add(remaining.remove(simulation.random.nextInt(remaining.size())));
    }
    return faults;
  }

  private static JobSpec randomJob(ClusterSimulation simulation, int number) {
    List<String> teams = List.of("red", "blue", "green", "unlimited");
    return JobSpecBuilder.job(number)
        .team(teams.get(simulation.random.nextInt(teams.size())))
        .priority(Priority.values()[simulation.random.nextInt(4)])
        .tasks(1 + simulation.random.nextInt(4))
        .cores(1 + simulation.random.nextInt(4))
        .gpus(simulation.random.nextInt(2))
        .estimateS(5 + simulation.random.nextInt(30))
        .checkpointS(simulation.chance(0.2) ? 5 : 0)
        .build();
  }

  private static void runAndAssert(long seed) {
    ClusterSimulation simulation = new ClusterSimulation(seed, QuotaFaultsTest.POLICY);
    simulation.machineType = QuotaFaultsTest.GPU_MACHINE_TYPE;
    List<RandomFault> faults = randomFaults(simulation);
    faults.forEach(fault -> fault.prepare(simulation));
    int jobs = 0;
    for (int step = 0; step < FAULT_STEPS; step++) {
      if (simulation.chance(SUBMISSION_PROBABILITY)) {
        simulation.submit(randomJob(simulation, ++jobs));
      }
      if (jobs > 0 && simulation.chance(CANCELLATION_PROBABILITY)) {
        simulation.cancel(new JobId(JobSpecBuilder.id(1 + simulation.random.nextInt(jobs))));
      }
      for (RandomFault fault : faults) {
        if (simulation.chance(FAULT_PROBABILITY)) {
          fault.apply(simulation);
        }
      }
      simulation.step();
    }
    endDelays(simulation);
    SimulationAssertions.assertAllJobsEnd(simulation, "seed " + seed + " with " + faults);
    assertTrue(simulation.taskStartCount > 20, "too few task starts: " + simulation.taskStartCount);
  }

  private static void endDelays(ClusterSimulation simulation) {
    simulation.delayedWriteProbability = 0;
    simulation.slowResponseProbability = 0;
    simulation.duplicateProbability = 0;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void invariantsHoldUnderRandomFaults(long seed) {
    runAndAssert(seed);
  }

  /** Not run in CI: {@code mvn test -Dtest=RandomQuotaFaultsTest -Dmeetings.seeds=2000}. */
  @Test
  @EnabledIfSystemProperty(named = "meetings.seeds", matches = "\\d+")
  void invariantsHoldForManySeeds() {
    long end = FIRST_EXTENDED_SEED + Long.getLong("meetings.seeds");
    for (long seed = FIRST_EXTENDED_SEED; seed < end; seed++) {
      runAndAssert(seed);
    }
  }
}
