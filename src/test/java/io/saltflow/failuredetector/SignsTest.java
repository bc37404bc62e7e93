package io.saltflow.failuredetector;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which signs together say that the leader's process has ended. */
class SignsTest {
  private static final Term TERM = new Term(7);
  private static final Time NOW = new Time(100_000);

  private final Signs signs = new Signs();

  @BeforeEach
  void somebodyLeads() {
    signs.leads("a", TERM);
  }

  private void worker(int n, Term seen) {
    signs.worker(new MachineId("vm-" + n), seen);
  }

  private void allSigns() {
    signs.linkLost("a", NOW);
    signs.linkRefused("a", NOW);
    signs.linkRefused("a", NOW);
    worker(1, TERM);
    worker(2, TERM);
  }

  @Test
  void allTogetherAreEnoughAndEachIsNeeded() {
    List<Runnable> all =
        List.of(
            () -> signs.linkLost("a", NOW),
            () -> signs.linkRefused("a", NOW),
            () -> signs.linkRefused("a", NOW),
            () -> worker(1, TERM),
            () -> worker(2, TERM));
    for (int without = -1; without < all.size(); without++) {
      signs.leads(null, Term.NONE);
      signs.leads("a", TERM);
      List<Runnable> some = new ArrayList<>(all);
      if (without >= 0) {
        some.remove(without);
      }
      some.forEach(Runnable::run);
      // Refusals alone say that it is lost as well.
      assertEquals(without <= 0 ? "a" : null, signs.ended(NOW), "without sign " + without);
    }
  }

  @Test
  void aPacketFilterBetweenControllersIsNoEnd() {
    signs.linkLost("a", NOW);
    for (int i = 0; i < 50; i++) {
      signs.linkRefused("a", NOW);
      // Machines come up meanwhile and start at any controller.
      worker(i, Term.NONE);
    }
    worker(99, TERM);
    worker(99, TERM);
    assertNull(signs.ended(NOW), "one worker, however often it asks");
  }

  @Test
  void aSignOfLifeTakesAllBack() {
    allSigns();
    signs.alive("a");
    assertNull(signs.ended(NOW));
    assertFalse(signs.suspects());
    allSigns();
    signs.leads("b", new Term(8));
    assertNull(signs.ended(NOW), "another leads by now");
    signs.linkLost("a", NOW);
    assertFalse(signs.suspects(), "of no interest any more");
  }

  /** The last beat comes by another connection than the one whose end was seen. */
  @Test
  void aBeatThatIsReadLateHidesNoEnd() {
    signs.linkLost("a", NOW);
    signs.alive("a");
    signs.linkRefused("a", NOW);
    signs.linkRefused("a", NOW);
    worker(1, TERM);
    worker(2, TERM);
    assertEquals("a", signs.ended(NOW));
  }

  @Test
  void oldSignsSayNothing() {
    allSigns();
    assertNull(signs.ended(new Time(NOW.ms() + 6_001)));
  }
}
