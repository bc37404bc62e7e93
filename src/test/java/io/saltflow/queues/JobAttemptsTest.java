package io.saltflow.queues;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against jobs of messages that fail more often than their queue allows. */
class JobAttemptsTest {
  private static final int SEEDS = 300;
  private static final int STEPS = 60;
  private static final String MESSAGE = "m";

  /** One message, its job on machines, and the leaders that take turns. */
  private static final class World {
    private final JobQueueHarness queue = new JobQueueHarness();
    private long term;
    private int failures;
    private int failuresInTerm;

    World() {
      failOver();
      queue.publish(MESSAGE, MESSAGE);
    }

    /** Makes another process the leader, which has seen no failure itself. */
    void failOver() {
      failuresInTerm = 0;
      queue.lead(++term);
    }

    /** Lets a task of the job fail, which the present leader sees. */
    void fail() {
      failures++;
      failuresInTerm++;
      poll();
    }

    void poll() {
      queue.reportFailures(MESSAGE, failuresInTerm);
    }

    boolean withdrawn() {
      return queue.withdrawn;
    }

    /** Returns the results after the end of the job. */
    List<String> end(boolean done) {
      queue.end(MESSAGE, done);
      return queue.results();
    }
  }

  @Test
  void failuresAreBoundedOverAllLeadersAndTheResultNamesThem() {
    int exhausted = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      World world = new World();
      for (int step = 0; step < STEPS && !world.withdrawn(); step++) {
        switch (random.nextInt(4)) {
          case 0 -> world.failOver();
          case 1 -> world.fail();
          default -> world.poll();
        }
      }
      assertTrue(world.failures <= QueueSimulation.ATTEMPTS, "seed " + seed + ": failures");
      boolean done = !world.withdrawn() && random.nextBoolean();
      boolean allUsed = world.withdrawn();
      exhausted += allUsed ? 1 : 0;
      String expected =
          done
              ? "m done " + (world.failures + 1)
              : "m " + (allUsed ? "failed " : "cancelled ") + world.failures;
      assertEquals(List.of(expected), world.end(done), "seed " + seed);
    }
    assertTrue(exhausted > SEEDS / 2, "too few jobs used all attempts: " + exhausted);
  }

  /** Guards against a limit that was reached and waits for another failure to be noticed. */
  @Test
  void newLeaderWithdrawsAtOnceWhenTheLimitIsReached() {
    World world = new World();
    for (int attempt = 0; attempt < QueueSimulation.ATTEMPTS; attempt++) {
      world.fail();
    }
    assertTrue(world.withdrawn());
    world.queue.withdrawn = false;
    world.failOver();
    assertTrue(world.withdrawn(), "without any failure in the new term");
    world.queue.withdrawn = false;
    world.poll();
    assertTrue(world.withdrawn(), "repeated until the job has ended");
    assertEquals(List.of("m failed " + QueueSimulation.ATTEMPTS), world.end(false));
  }
}
