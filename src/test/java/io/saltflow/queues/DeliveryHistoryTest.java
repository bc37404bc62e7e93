package io.saltflow.queues;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks the delivery guarantees under seeded random crashes, lost answers and failovers. */
class DeliveryHistoryTest {
  private static final int SCHEDULES = 2500;
  private static final int STEPS = 150;

  /** Bound on the log of a run, in chunks for each message that was published in it. */
  private static final long MAX_CHUNKS_PER_MESSAGE = 5;

  @Test
  void randomFaultsNeverViolateDeliveryGuarantees() {
    int events = 0;
    Set<String> outcomes = new TreeSet<>();
    for (long seed = 0; seed < SCHEDULES; seed++) {
      QueueSimulation world = new QueueSimulation(seed, QueueSimulation.Bug.NONE);
      world.run(STEPS);
      assertEquals(List.of(), world.violations(), "seed " + seed);
      events += world.history.events();
      assertTrue(
          world.usedChunks() < world.messageCount() * MAX_CHUNKS_PER_MESSAGE,
          "seed " + seed + ": log too long, in chunks: " + world.usedChunks());
      world.history.answered().forEach(id -> outcomes.add(world.history.outcomeOf(id)));
    }
    assertTrue(events > SCHEDULES * 50, "too few events: " + events);
    assertEquals(Set.of("done", "failed", "expired", "dead-lettered", "unknown"), outcomes);
  }

  /** Guards against a checker that accepts wrong histories. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void injectedBugIsDetected(QueueSimulation.Bug bug) {
    for (long seed = 0; seed < 500; seed++) {
      QueueSimulation world = new QueueSimulation(seed, bug);
      world.run(STEPS);
      if (!world.violations().isEmpty()) {
        return;
      }
    }
    assertFalse(true, bug + " was not detected");
  }
}
