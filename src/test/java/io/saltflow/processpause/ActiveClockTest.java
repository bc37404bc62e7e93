package io.saltflow.processpause;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against timeouts that count time in which the process did not run. */
class ActiveClockTest {
  private static final int SEEDS = 100;
  private static final int STEPS = 300;

  @Test
  void randomPausesAreNotCountedAndPlannedWaitsAre() {
    for (long seed = 0; seed < SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      ActiveClock clock = new ActiveClock(new MonotonicTime(0));
      long now = 0;
      long active = 0;
      MonotonicTime before = new MonotonicTime(0);
      for (int step = 0; step < STEPS; step++) {
        long wait = random.nextInt(1000);
        clock.planWait(TimeSpan.millis(wait));
        long ran = wait + random.nextInt((int) ActiveClock.MIN_GAP.ms());
        long pause = random.nextInt(10) == 0 ? 1_000 + random.nextInt(29_000) : 0;
        now += ran + pause;
        // A step with a pause leaves out all that was not planned.
        active += pause == 0 ? ran : wait;
        MonotonicTime sample = clock.sample(new MonotonicTime(now));
        assertEquals(active, sample.ms(), "seed " + seed + ", step " + step);
        assertEquals(now - active, clock.pausedTime().ms());
        assertFalse(sample.before(before));
        before = sample;
      }
    }
  }
}
