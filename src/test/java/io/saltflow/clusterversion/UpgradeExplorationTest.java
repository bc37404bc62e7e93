package io.saltflow.clusterversion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Explores upgrades of controllers to a new build in every order of events with {@link
 * UpgradeSimulation}.
 */
class UpgradeExplorationTest {
  @Test
  void upgradeFromUnannouncedBuildsViolatesNoInvariant() {
    UpgradeSimulation simulation =
        new UpgradeSimulation(
                new UpgradeSimulation.SimulationBounds(
                    2, false, true, UpgradeSimulation.OmittedGuard.NONE))
            .run();
    assertEquals("", String.join("\n", simulation.violations));
    assertTrue(
        simulation.activeStates > 100,
        "states in which the new version is active: " + simulation.activeStates);
    assertEquals(119_954, simulation.visited.size(), "states");
  }

  @Test
  void upgradeFromAnnouncedBuildsViolatesNoInvariant() {
    UpgradeSimulation simulation =
        new UpgradeSimulation(
                new UpgradeSimulation.SimulationBounds(
                    2, true, true, UpgradeSimulation.OmittedGuard.NONE))
            .run();
    assertEquals("", String.join("\n", simulation.violations));
    assertTrue(
        simulation.activeStates > 100,
        "states in which the new version is active: " + simulation.activeStates);
    assertTrue(
        simulation.incompatibleStates > 100,
        "states in which a downgraded build is incompatible: " + simulation.incompatibleStates);
    assertEquals(66_919, simulation.visited.size(), "states");
  }

  /**
   * Verifies that each guard is required: without it some order of events violates an invariant.
   */
  @ParameterizedTest
  @EnumSource(
      value = UpgradeSimulation.OmittedGuard.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = "NONE")
  void omittedGuardsAreDetected(UpgradeSimulation.OmittedGuard omitted) {
    boolean detected = false;
    for (boolean announcing : new boolean[] {false, true}) {
      detected |=
          !new UpgradeSimulation(
                  new UpgradeSimulation.SimulationBounds(2, announcing, true, omitted))
              .run()
              .violations
              .isEmpty();
    }
    assertTrue(detected, omitted + " was not detected");
  }
}
