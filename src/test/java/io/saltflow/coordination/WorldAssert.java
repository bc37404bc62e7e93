package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What holds at the end of every world, whatever happened in it. */
final class WorldAssert {
  private static final int MOST_STEPS = 2000;

  private WorldAssert() {}

  /** Runs on until all work is over, and checks that it is and that no rule was broken. */
  static void assertServed(World w, String when) {
    for (int i = 0; i < MOST_STEPS && !w.allOver(); i++) {
      w.step();
    }
    assertEquals("", String.join("\n", w.broken), when);
    assertTrue(w.allOver(), "work was left undone, " + when);
  }
}
