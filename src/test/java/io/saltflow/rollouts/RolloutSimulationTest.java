package io.saltflow.rollouts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.healthgates.GateException;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Seeded nights of sound and broken builds, with gates, by a fixed delay, and all at once. Run as a
 * program it prints the figures of {@code docs/PERFORMANCE.md}.
 */
class RolloutSimulationTest {
  /** What came of many nights; replica-minutes, and seconds under the floor, are a night's. */
  private record Summary(int nights, double spoiledMinutes, int wentOut, double underFloorS) {}

  private static Summary simulate(
      RolloutSimulation.Build build, RolloutSimulation.Strategy way, int count)
      throws GateException {
    long spoiled = 0;
    int out = 0;
    int under = 0;
    for (int seed = 0; seed < count; seed++) {
      RolloutSimulation night = new RolloutSimulation(seed, build);
      night.run(way);
      spoiled += night.unhealthyReplicaSeconds;
      out += night.newVersionServes() ? 1 : 0;
      under += night.secondsBelowFloor;
    }
    return new Summary(count, spoiled / 60.0 / count, out, under / (double) count);
  }

  @Test
  void brokenBuildsAreTakenBackAndSoundOnesGoOut() throws GateException {
    for (RolloutSimulation.Build build : RolloutSimulation.Build.values()) {
      Summary gated = simulate(build, RolloutSimulation.Strategy.GATED, 40);
      Summary atOnce = simulate(build, RolloutSimulation.Strategy.ALL_AT_ONCE, 40);
      if (build == RolloutSimulation.Build.HEALTHY) {
        assertTrue(gated.wentOut >= 38, "false roll-backs: " + gated);
      } else {
        assertEquals(0, gated.wentOut, build + ": the old version serves at the end");
        assertTrue(gated.spoiledMinutes * 2 < atOnce.spoiledMinutes, build + ": " + gated);
      }
    }
  }

  /** Whatever else goes wrong: no broken build serves at the end, and none goes under the floor. */
  @Test
  void troublesDoNotLetABrokenBuildThrough() throws GateException {
    for (RolloutSimulation.Fault trouble : RolloutSimulation.Fault.values()) {
      int sound = 0;
      for (RolloutSimulation.Build build : RolloutSimulation.Build.values()) {
        for (int seed = 0; seed < 8; seed++) {
          RolloutSimulation night = new RolloutSimulation(seed, build, trouble);
          night.run(RolloutSimulation.Strategy.GATED);
          String which = trouble + ", " + build + ", seed " + seed + ": " + night.rollout();
          assertEquals(0, night.secondsBelowFloor, which);
          if (build == RolloutSimulation.Build.HEALTHY) {
            sound += night.newVersionServes() ? 1 : 0;
          } else {
            assertFalse(night.newVersionServes(), which);
          }
        }
      }
      // A gate that wants forty seconds in a row hardly passes where a leader lives for 45, and
      // ten replicas one after the other take longer than the step's limit where there is no room
      // for the surge: taken back, which is no harm. Everywhere else sound builds go out.
      boolean slow =
          trouble == RolloutSimulation.Fault.FAILOVERS
              || trouble == RolloutSimulation.Fault.NO_SURGE_CAPACITY;
      assertTrue(slow || sound >= 7, trouble + ": " + sound + " of 8 sound builds");
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

  /** The reason is for people to read: which step, which gate, what was seen, since when. */
  @Test
  void whyItStoppedIsSaidPlainly() throws GateException {
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
      for (RolloutSimulation.Strategy way : RolloutSimulation.Strategy.values()) {
        sums.put(way, simulate(build, way, count));
      }
      System.out.println(build + " " + sums);
    }
  }
}
