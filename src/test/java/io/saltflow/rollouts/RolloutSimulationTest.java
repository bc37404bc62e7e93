package io.saltflow.rollouts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.healthgates.GateException;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Compares gated rollouts of healthy and broken builds with ungated ones. The main method prints
 * the figures of {@code docs/PERFORMANCE.md}.
 */
class RolloutSimulationTest {
  /**
   * Results of many simulations. Unhealthy replica-minutes and seconds below the minimum are means.
   */
  private record Summary(int runs, double unhealthyMinutes, int completed, double belowFloorS) {}

  private static Summary simulate(
      RolloutSimulation.Build build, RolloutSimulation.Strategy strategy, int count)
      throws GateException {
    long unhealthySeconds = 0;
    int completed = 0;
    int belowFloor = 0;
    for (int seed = 0; seed < count; seed++) {
      RolloutSimulation simulation = new RolloutSimulation(seed, build);
      simulation.run(strategy);
      unhealthySeconds += simulation.unhealthyReplicaSeconds;
      completed += simulation.newVersionServes() ? 1 : 0;
      belowFloor += simulation.secondsBelowFloor;
    }
    return new Summary(
        count, unhealthySeconds / 60.0 / count, completed, belowFloor / (double) count);
  }

  @Test
  void brokenBuildsAreRolledBackAndHealthyOnesComplete() throws GateException {
    for (RolloutSimulation.Build build : RolloutSimulation.Build.values()) {
      Summary gated = simulate(build, RolloutSimulation.Strategy.GATED, 40);
      Summary atOnce = simulate(build, RolloutSimulation.Strategy.ALL_AT_ONCE, 40);
      if (build == RolloutSimulation.Build.HEALTHY) {
        assertTrue(gated.completed >= 38, "false rollbacks: " + gated);
      } else {
        assertEquals(0, gated.completed, build + ": the broken build was rolled out");
        assertTrue(gated.unhealthyMinutes * 2 < atOnce.unhealthyMinutes, build + ": " + gated);
      }
    }
  }

  /** Guards against broken builds, and too few ready replicas, under additional faults. */
  @Test
  void faultsDoNotLetBrokenBuildComplete() throws GateException {
    for (RolloutSimulation.Fault fault : RolloutSimulation.Fault.values()) {
      int completed = 0;
      for (RolloutSimulation.Build build : RolloutSimulation.Build.values()) {
        for (int seed = 0; seed < 8; seed++) {
          RolloutSimulation simulation = new RolloutSimulation(seed, build, fault);
          simulation.run(RolloutSimulation.Strategy.GATED);
          String description =
              fault + ", " + build + ", seed " + seed + ": " + simulation.rollout();
          assertEquals(0, simulation.secondsBelowFloor, description);
          if (build == RolloutSimulation.Build.HEALTHY) {
            completed += simulation.newVersionServes() ? 1 : 0;
          } else {
            assertFalse(simulation.newVersionServes(), description);
          }
        }
      }
      // A gate that must hold for 40 s rarely passes with a failover every 45 s, and steps without
      // surge capacity time out. Rollbacks are acceptable there; elsewhere healthy builds complete.
      boolean slow =
          fault == RolloutSimulation.Fault.FAILOVERS
              || fault == RolloutSimulation.Fault.NO_SURGE_CAPACITY;
      assertTrue(
          slow || completed >= 7, fault + ": " + completed + " of 8 healthy builds completed");
    }
    RolloutSimulation noRoom =
        new RolloutSimulation(
            0, RolloutSimulation.Build.HEALTHY, RolloutSimulation.Fault.NO_SURGE_CAPACITY);
    noRoom.run(RolloutSimulation.Strategy.GATED);
    assertTrue(
        noRoom
            .rollout()
            .reason()
            .matches(
                "Step 4 was not complete within 240.0 s: \\d+ of \\d+ new and .* were ready\\."),
        noRoom.rollout().reason());
  }

  /** Guards against rollback reasons without the step, the gate, the value or the duration. */
  @Test
  void rollbackReasonNamesStepAndGate() throws GateException {
    RolloutSimulation slow = new RolloutSimulation(1, RolloutSimulation.Build.SLOW);
    slow.run(RolloutSimulation.Strategy.GATED);
    assertEquals(Rollout.Phase.ROLLED_BACK, slow.rollout().phase());
    assertTrue(
        slow.rollout()
            .reason()
            .matches(
                "Step 1 did not pass its gate within 240.0 s: probe\\(\"/\"\\)\\.p90 < 200ms: false"
                    + " for .*, it is .*s\\."),
        slow.rollout().reason());
    RolloutSimulation crashes = new RolloutSimulation(1, RolloutSimulation.Build.CRASHES);
    crashes.run(RolloutSimulation.Strategy.GATED);
    assertTrue(
        crashes
            .rollout()
            .reason()
            .matches(
                "Step 1 was stopped: failures\\(2m\\) >= 3 or .*; failures\\(2m\\) is \\d+, .*"),
        crashes.rollout().reason());
  }

  public static void main(String[] args) throws GateException {
    int count = args.length > 0 ? Integer.parseInt(args[0]) : 500;
    for (RolloutSimulation.Build build : RolloutSimulation.Build.values()) {
      Map<RolloutSimulation.Strategy, Summary> sums =
          new EnumMap<>(RolloutSimulation.Strategy.class);
      for (RolloutSimulation.Strategy strategy : RolloutSimulation.Strategy.values()) {
        sums.put(strategy, simulate(build, strategy, count));
      }
      System.out.println(build + " " + sums);
    }
  }
}
