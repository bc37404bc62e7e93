package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Leaders that take turns and share a log in memory, with a queue whose messages become jobs. */
final class JobQueueHarness {
  private static final long WALL_MS = 1_000_000;
  private static final MonotonicTime NOW = new MonotonicTime(0);

  /** The jobs that the present leader asked for, by the messages' bodies. */
  final Map<String, JobId> jobs = new LinkedHashMap<>();

  /** Whether a job was withdrawn since this was cleared. */
  boolean withdrawn;

  int confirms;
  private final TreeMap<Long, byte[]> record = new TreeMap<>();
  private final Map<String, MessageNo> numbers = new LinkedHashMap<>();
  private final List<String> results = new ArrayList<>();
  private QueueCore core;
  private int published;

  /** Puts a batch into the log, as if an earlier leader had recorded it. */
  void putRecord(long number, byte[] batch) {
    record.put(number, batch);
  }

  /** Makes another process the leader of the given term. */
  void lead(long term) {
    jobs.clear();
    core =
        new QueueCore(
            QueueSimulation.policies(),
            new QueueCore.Limits(100_000, 1000, 100, TimeSpan.seconds(60), TimeSpan.millis(10)),
            (queue, arrived) -> true,
            (queue, id, body) -> JobMessages.spec(id, body),
            QueueSimulation.RESULT_ENCODER,
            new Term(term));
    record.forEach((number, bytes) -> core.replay(number, 1, QueueSimulation.decoded(bytes)));
    core.begin(NOW, WALL_MS);
    drain();
  }

  void publish(String id, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    core.publish(
        new PendingPublish(9, 1, ++published),
        new PublishRequest(QueueSimulation.JOBS, id, -1, QueueSimulation.EMPTY, bytes),
        NOW,
        WALL_MS);
    drain();
  }

  /** Reports how often the job of the message with this body has failed in this term. */
  void reportFailures(String body, int failuresInTerm) {
    core.jobFailures(numbers.get(body), failuresInTerm, NOW, WALL_MS);
    drain();
  }

  /** Reports the end of the job of the message with this body. */
  void end(String body, boolean done) {
    core.jobEnded(numbers.get(body), done, null, NOW, WALL_MS);
    drain();
  }

  int uncompleted() {
    return core.size();
  }

  /** Returns the results that are recorded and were not acknowledged. */
  List<String> results() {
    results.clear();
    ConsumerId id = new ConsumerId(1, 1, "results");
    core.consume(id, QueueSimulation.JOB_RESULTS, false, 100, NOW, WALL_MS);
    drain();
    return results;
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
        jobs.put(admit.spec().image(), admit.spec().id());
        numbers.put(admit.spec().image(), admit.message());
      } else if (effect instanceof Effect.Withdraw) {
        withdrawn = true;
      } else if (effect instanceof Effect.Confirm) {
        confirms++;
      } else if (effect instanceof Effect.Deliver deliver) {
        results.add(new String(deliver.body(), StandardCharsets.UTF_8));
      }
    }
  }
}
