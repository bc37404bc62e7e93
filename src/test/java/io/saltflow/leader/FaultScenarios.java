package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;

/** Scenarios that inject faults at each step of a simulation and check the invariants. */
final class FaultScenarios {
  static final int JOBS = 8;

  /** Maximum number of steps in which all jobs must end once the faults are over. */
  private static final int MAX_STEPS = 2000;

  private FaultScenarios() {}

  static ClusterSimulation simulation(long seed) {
    return new ClusterSimulation(
        seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
  }

  /** Returns a simulation with unconstrained jobs that has run for 40 s. */
  static ClusterSimulation withRunningJobs(long seed, double estimateS) {
    ClusterSimulation simulation = simulation(seed);
    simulation.maxMachinesInZone = 3;
    for (int i = 1; i <= JOBS; i++) {
      simulation.submit(
          JobSpecBuilder.job(i).team("blue").tasks(3).cores(1).estimateS(estimateS).build());
    }
    simulation.run(40);
    return simulation;
  }

  /** Returns a simulation with various placement constraints, some in a team with a limit. */
  static ClusterSimulation withConstrainedJobs(long seed, double estimateS) {
    ClusterSimulation simulation = simulation(seed);
    simulation.maxMachinesInZone = 3;
    for (int i = 1; i <= JOBS; i++) {
      simulation.submit(
          JobSpecBuilder.job(i)
              .ofClass(i % 2 == 0 ? "even" : "odd")
              .team(i % 3 == 0 ? "red" : "blue")
              .tasks(2 + i % 4)
              .cores(3)
              .estimateS(estimateS)
              .oneZone(i % 4 == 0)
              .spread(i % 4 == 1)
              .zone(i % 4 == 2 ? "b" : null)
              .spot(i % 4 != 3)
              .build());
    }
    simulation.run(40);
    return simulation;
  }

  /** Runs the script once for each step at which a fault may occur, on a new simulation. */
  static void atEachStep(
      int steps, Supplier<ClusterSimulation> start, ObjIntConsumer<ClusterSimulation> script) {
    for (int step = 0; step < steps; step++) {
      ClusterSimulation simulation = start.get();
      script.accept(simulation, step);
      assertRecovers(simulation, "step " + step);
    }
  }

  /** Ends all faults and asserts that all jobs end without a violation. */
  static void assertRecovers(ClusterSimulation simulation, String scenario) {
    simulation.endFaults();
    for (int i = 0; i < MAX_STEPS && !simulation.allJobsEnded(); i++) {
      simulation.step();
    }
    assertEquals("", String.join("\n", simulation.violations), scenario);
    assertTrue(simulation.allJobsEnded(), "not all jobs ended, " + scenario);
  }

  static void cancelSomeJobs(ClusterSimulation simulation, int first) {
    for (int i = 0; i < 3; i++) {
      simulation.cancel(new JobId(JobSpecBuilder.id(1 + (first + i) % JOBS)));
    }
  }
}
