package io.saltflow.queues;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Guards against two messages with one job, and against another job for a message that an earlier
 * version accepted.
 */
class JobIdentityTest {
  private static final long WALL_MS = 1_000_000;
  private static final MonotonicTime NOW = new MonotonicTime(0);

  /**
   * A batch as the version before identities with prefixes wrote it: message 1 without an id, which
   * it named "1-1", message 2 with the chosen id "1-9", message 3 with "page-407".
   */
  private static final String EARLIER_BATCH =
      "060002022f086a6f627306312d310080897afeffffffffffffffff010000000a636f7665720004022f086a6f6273"
          + "06312d390180897afeffffffffffffffff01000000086e696e650006022f086a6f627310706167652d3430"
          + "370180897afeffffffffffffffff01000000087061676500";

  /** As above: message 1 without an id, and message 2 with the chosen id "1-1". */
  private static final String EARLIER_BATCH_WITH_SHARED_JOB =
      "040002022f086a6f627306312d310080897afeffffffffffffffff010000000a636f7665720004022f086a6f6273"
          + "06312d310180897afeffffffffffffffff01000000146669727374207061676500";

  /** The jobs of that version, by the texts from which it derived them. */
  private static final Map<String, JobId> EARLIER_JOBS =
      Map.of(
          "1-1", new JobId("req-493591837058321954378525081826353118278"),
          "1-9", new JobId("req-510640269787179268367050883755566288511"),
          "page-407", new JobId("req-582006158638368241467786789634870613602"));

  private final TreeMap<Long, byte[]> record = new TreeMap<>();

  /** The jobs that the present leader asked for, by the messages' bodies. */
  private final Map<String, JobId> jobs = new LinkedHashMap<>();

  private final Map<String, MessageNo> numbers = new LinkedHashMap<>();
  private final List<String> results = new ArrayList<>();
  private QueueCore core;
  private int published;
  private int confirms;

  private void lead(long term) throws InvalidMessageException {
    jobs.clear();
    core =
        new QueueCore(
            QueueSimulation.policies(),
            new QueueCore.Limits(100_000, 1000, 100, TimeSpan.seconds(60), TimeSpan.millis(10)),
            (queue, arrived) -> true,
            (queue, id, body) -> JobMessages.spec(id, body),
            QueueSimulation.RESULT_ENCODER,
            new Term(term));
    for (var entry : record.entrySet()) {
      core.replay(entry.getKey(), 1, EntryCodec.decode(entry.getValue()));
    }
    core.begin(NOW, WALL_MS);
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
        jobs.put(admit.spec().image(), admit.spec().id());
        numbers.put(admit.spec().image(), admit.message());
      } else if (effect instanceof Effect.Confirm) {
        confirms++;
      } else if (effect instanceof Effect.Deliver deliver) {
        results.add(new String(deliver.body(), StandardCharsets.UTF_8));
      }
    }
  }

  private void publish(String id, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    core.publish(
        new PendingPublish(9, 1, ++published),
        new PublishRequest(QueueSimulation.JOBS, id, -1, QueueSimulation.EMPTY, bytes),
        NOW,
        WALL_MS);
    drain();
  }

  private void end(String body, boolean done) {
    core.jobEnded(numbers.get(body), done, null, NOW, WALL_MS);
    drain();
  }

  private List<String> results() {
    results.clear();
    ConsumerId id = new ConsumerId(1, 1, "results");
    core.consume(id, QueueSimulation.JOB_RESULTS, false, 100, NOW, WALL_MS);
    drain();
    return results;
  }

  private void putEarlier(String batch) {
    record.put(1L, HexFormat.of().parseHex(batch));
  }

  /** Guards against jobs that run a second time, or are forgotten, after an upgrade. */
  @Test
  void messagesOfEarlierVersionKeepTheirJobsAndIds() throws InvalidMessageException {
    putEarlier(EARLIER_BATCH);
    lead(2);
    Map<String, JobId> expected =
        Map.of(
            "cover", EARLIER_JOBS.get("1-1"),
            "nine", EARLIER_JOBS.get("1-9"),
            "page", EARLIER_JOBS.get("page-407"));
    assertEquals(expected, jobs);
    publish("1-9", "a repeat");
    publish("page-407", "a repeat");
    assertEquals(2, confirms);
    assertEquals(3, core.size(), "a repeat is not another message");
    lead(3);
    assertEquals(expected, jobs);
    end("nine", true);
    end("page", false);
    publish("1-9", "a repeat after the end");
    assertEquals(List.of("1-9 done 1", "page-407 cancelled 0"), results());
  }

  /** Guards against the job of an unnamed message of an earlier version, whose id is chosen now. */
  @Test
  void newMessageNeverGetsTheJobOfAnEarlierOne() throws InvalidMessageException {
    putEarlier(EARLIER_BATCH);
    lead(2);
    publish("1-1", "first page");
    assertFalse(EARLIER_JOBS.containsValue(jobs.get("first page")), jobs.toString());
    JobId job = jobs.get("first page");
    lead(3);
    assertEquals(job, jobs.get("first page"), "after a failover");
    end("cover", true);
    end("first page", false);
    List<String> found = results();
    assertTrue(found.contains("1-1 cancelled 0"), found.toString());
    assertEquals(1, found.stream().filter(result -> result.startsWith("1-1 ")).count());
    publish("1-1", "a repeat");
    assertFalse(jobs.containsKey("a repeat"));
  }

  /** Guards against messages that an earlier version accepted with one job for both. */
  @Test
  void earlierMessagesWithOneJobAreSeparatedForGood() throws InvalidMessageException {
    putEarlier(EARLIER_BATCH_WITH_SHARED_JOB);
    lead(2);
    assertEquals(EARLIER_JOBS.get("1-1"), jobs.get("cover"));
    JobId own = jobs.get("first page");
    assertNotEquals(EARLIER_JOBS.get("1-1"), own);
    lead(3);
    assertEquals(Map.of("cover", EARLIER_JOBS.get("1-1"), "first page", own), jobs);
    end("cover", true);
    lead(4);
    assertEquals(Map.of("first page", own), jobs);
    end("first page", false);
    publish("1-1", "a repeat");
    assertFalse(jobs.containsKey("a repeat"));
    List<String> found = results();
    assertEquals(1, found.stream().filter(result -> result.equals("1-1 cancelled 0")).count());
    assertEquals(2, found.size(), found.toString());
  }

  /** Guards against a job that a former leader of this version admits again under another id. */
  @Test
  void eachNewMessageHasItsOwnJobUnderAllLeaders() throws InvalidMessageException {
    lead(2);
    publish(null, "unnamed");
    publish("2-1", "named as an earlier version would");
    publish("unnamed-2-1", "another");
    publish("page", "page");
    Map<String, JobId> first = Map.copyOf(jobs);
    assertEquals(4, first.values().stream().distinct().count(), first.toString());
    lead(3);
    assertEquals(first, jobs);
    publish(null, "unnamed again");
    assertFalse(first.containsValue(jobs.get("unnamed again")));
  }

  /** Guards against a publisher that is told of another one's message. */
  @Test
  void idReportedForUnnamedMessageIsNoPublishersAndIsNotItsJobs() throws InvalidMessageException {
    lead(2);
    publish(null, "unnamed");
    end("unnamed", true);
    String reported = results().get(0).split(" ")[0];
    assertTrue(reported.matches("unnamed-[0-9a-f]{32}"), reported);
    JobId job = jobs.get("unnamed");
    publish(reported, "copies the id");
    assertNotEquals(job, jobs.get("copies the id"));
  }
}
