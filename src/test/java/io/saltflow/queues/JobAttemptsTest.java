package io.saltflow.queues;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against jobs of messages that fail more often than their queue allows. */
class JobAttemptsTest {
  private static final int SEEDS = 300;
  private static final int STEPS = 60;
  private static final long WALL_MS = 1_000_000;
  private static final MonotonicTime NOW = new MonotonicTime(0);

  /** One message, its job on machines, and the leaders that take turns. */
  private static final class World {
    private final TreeMap<Long, byte[]> record = new TreeMap<>();
    private final List<String> results = new ArrayList<>();
    private QueueCore core;
    private MessageNo message;
    private long term;
    private int failures;
    private int failuresInTerm;
    private boolean withdrawn;
    private boolean ended;

    /** Makes another process the leader, which has seen no failure itself. */
    void failOver() {
      failuresInTerm = 0;
      core =
          new QueueCore(
              QueueSimulation.policies(),
              new QueueCore.Limits(100_000, 1000, 100, TimeSpan.seconds(60), TimeSpan.millis(10)),
              (queue, arrived) -> true,
              (queue, id, body) -> JobMessages.spec(id, body),
              QueueSimulation.RESULT_ENCODER,
              new Term(++term));
      record.forEach((number, bytes) -> core.replay(number, 1, QueueSimulation.decoded(bytes)));
      core.begin(NOW, WALL_MS);
      drain();
    }

    void publish() {
      core.publish(
          new PendingPublish(1, 1, 1),
          new PublishRequest(
              QueueSimulation.JOBS, "m", -1, QueueSimulation.EMPTY, QueueSimulation.EMPTY),
          NOW,
          WALL_MS);
      drain();
    }

    /** Lets a task of the job fail, which the present leader sees. */
    void fail() {
      failures++;
      failuresInTerm++;
    }

    void poll() {
      if (ended) {
        return;
      }
      core.jobFailures(message, failuresInTerm, NOW, WALL_MS);
      drain();
    }

    void end(boolean done) {
      ended = true;
      core.jobEnded(message, done, null, NOW, WALL_MS);
      drain();
      ConsumerId consumer = new ConsumerId(1, 1, "results");
      core.consume(consumer, QueueSimulation.JOB_RESULTS, true, 10, NOW, WALL_MS);
      drain();
    }

    private void drain() {
      do {
        applyEffects();
        RecordBatch batch = core.nextBatch(4000, WALL_MS);
        if (batch != null) {
          record.put(batch.number(), EntryCodec.encode(batch.entries()));
          core.recorded(1, NOW, WALL_MS);
        }
      } while (core.hasPending());
      applyEffects();
    }

    private void applyEffects() {
      for (Effect effect : core.effects()) {
        if (effect instanceof Effect.Admit admit) {
          message = admit.message();
        } else if (effect instanceof Effect.Withdraw) {
          withdrawn = true;
        } else if (effect instanceof Effect.Deliver deliver) {
          results.add(new String(deliver.body(), StandardCharsets.UTF_8));
        }
      }
    }
  }

  @Test
  void failuresAreBoundedOverAllLeadersAndTheResultNamesThem() {
    int exhausted = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      World world = new World();
      world.failOver();
      world.publish();
      for (int step = 0; step < STEPS && !world.withdrawn; step++) {
        switch (random.nextInt(4)) {
          case 0 -> world.failOver();
          case 1 -> {
            world.fail();
            world.poll();
          }
          default -> world.poll();
        }
      }
      assertTrue(world.failures <= QueueSimulation.ATTEMPTS, "seed " + seed + ": failures");
      boolean done = !world.withdrawn && random.nextBoolean();
      boolean allUsed = world.withdrawn;
      exhausted += allUsed ? 1 : 0;
      world.end(done);
      String expected =
          done
              ? "m done " + (world.failures + 1)
              : "m " + (allUsed ? "failed " : "cancelled ") + world.failures;
      assertEquals(List.of(expected), world.results, "seed " + seed);
    }
    assertTrue(exhausted > SEEDS / 2, "too few jobs used all attempts: " + exhausted);
  }

  /** Guards against a limit that was reached and waits for another failure to be noticed. */
  @Test
  void newLeaderWithdrawsAtOnceWhenTheLimitIsReached() throws InvalidMessageException {
    World world = new World();
    world.failOver();
    world.publish();
    for (int attempt = 0; attempt < QueueSimulation.ATTEMPTS; attempt++) {
      world.fail();
      world.poll();
    }
    assertTrue(world.withdrawn);
    world.withdrawn = false;
    world.failOver();
    assertTrue(world.withdrawn, "without any failure in the new term");
    world.withdrawn = false;
    world.poll();
    assertTrue(world.withdrawn, "repeated until the job has ended");
    world.end(false);
    assertEquals(List.of("m failed " + QueueSimulation.ATTEMPTS), world.results);
  }
}
