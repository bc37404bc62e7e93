package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Assertions that hold at the end of every simulation, regardless of its faults. */
final class SimulationAssertions {
  private static final int MAX_STEPS = 2000;

  private SimulationAssertions() {}

  /** Runs until all jobs have ended, and asserts that they have and that no check failed. */
  static void assertAllJobsEnd(ClusterSimulation simulation, String scenario) {
    for (int i = 0; i < MAX_STEPS && !simulation.allJobsEnded(); i++) {
      simulation.step();
    }
    assertEquals("", String.join("\n", simulation.violations), scenario);
    assertTrue(simulation.allJobsEnded(), "not all jobs ended, " + scenario);
  }
}
