package io.saltflow.queues;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against two messages with one job, and against another job for a message that an earlier
 * version accepted.
 */
class JobIdentityTest {
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

  private final JobQueueHarness queue = new JobQueueHarness();

  private void putEarlier(String batch) {
    queue.putRecord(1, HexFormat.of().parseHex(batch));
  }

  /** Guards against jobs that run a second time, or are forgotten, after an upgrade. */
  @Test
  void messagesOfEarlierVersionKeepTheirJobsAndIds() {
    putEarlier(EARLIER_BATCH);
    queue.lead(2);
    Map<String, JobId> expected =
        Map.of(
            "cover", EARLIER_JOBS.get("1-1"),
            "nine", EARLIER_JOBS.get("1-9"),
            "page", EARLIER_JOBS.get("page-407"));
    assertEquals(expected, queue.jobs);
    queue.publish("1-9", "a repeat");
    queue.publish("page-407", "a repeat");
    assertEquals(2, queue.confirms);
    assertEquals(3, queue.uncompleted(), "a repeat is not another message");
    queue.lead(3);
    assertEquals(expected, queue.jobs);
    queue.end("nine", true);
    queue.end("page", false);
    queue.publish("1-9", "a repeat after the end");
    assertEquals(List.of("1-9 done 1", "page-407 cancelled 0"), queue.results());
  }

  /** Guards against the job of an unnamed message of an earlier version, whose id is chosen now. */
  @Test
  void newMessageNeverGetsTheJobOfAnEarlierOne() {
    putEarlier(EARLIER_BATCH);
    queue.lead(2);
    queue.publish("1-1", "first page");
    assertFalse(EARLIER_JOBS.containsValue(queue.jobs.get("first page")), queue.jobs.toString());
    JobId job = queue.jobs.get("first page");
    queue.lead(3);
    assertEquals(job, queue.jobs.get("first page"), "after a failover");
    queue.end("cover", true);
    queue.end("first page", false);
    List<String> found = queue.results();
    assertTrue(found.contains("1-1 cancelled 0"), found.toString());
    assertEquals(1, found.stream().filter(result -> result.startsWith("1-1 ")).count());
    queue.publish("1-1", "a repeat");
    assertFalse(queue.jobs.containsKey("a repeat"));
  }

  /** Guards against messages that an earlier version accepted with one job for both. */
  @Test
  void earlierMessagesWithOneJobAreSeparatedForGood() {
    putEarlier(EARLIER_BATCH_WITH_SHARED_JOB);
    queue.lead(2);
    assertEquals(EARLIER_JOBS.get("1-1"), queue.jobs.get("cover"));
    JobId own = queue.jobs.get("first page");
    assertNotEquals(EARLIER_JOBS.get("1-1"), own);
    queue.lead(3);
    assertEquals(Map.of("cover", EARLIER_JOBS.get("1-1"), "first page", own), queue.jobs);
    queue.end("cover", true);
    queue.lead(4);
    assertEquals(Map.of("first page", own), queue.jobs);
    queue.end("first page", false);
    queue.publish("1-1", "a repeat");
    assertFalse(queue.jobs.containsKey("a repeat"));
    List<String> found = queue.results();
    assertEquals(1, found.stream().filter(result -> result.equals("1-1 cancelled 0")).count());
    assertEquals(2, found.size(), found.toString());
  }

  /** Guards against a job that a former leader of this version admits again under another id. */
  @Test
  void eachNewMessageHasItsOwnJobUnderAllLeaders() {
    queue.lead(2);
    queue.publish(null, "unnamed");
    queue.publish("2-1", "named as an earlier version would");
    queue.publish("unnamed-2-1", "another");
    queue.publish("page", "page");
    Map<String, JobId> first = Map.copyOf(queue.jobs);
    assertEquals(4, first.values().stream().distinct().count(), first.toString());
    queue.lead(3);
    assertEquals(first, queue.jobs);
    queue.publish(null, "unnamed again");
    assertFalse(first.containsValue(queue.jobs.get("unnamed again")));
  }

  /** Guards against a publisher that is told of another one's message. */
  @Test
  void idReportedForUnnamedMessageIsNoPublishersAndIsNotItsJobs() {
    queue.lead(2);
    queue.publish(null, "unnamed");
    queue.end("unnamed", true);
    String reported = queue.results().get(0).split(" ")[0];
    assertTrue(reported.matches("unnamed-[0-9a-f]{32}"), reported);
    JobId job = queue.jobs.get("unnamed");
    queue.publish(reported, "copies the id");
    assertNotEquals(job, queue.jobs.get("copies the id"));
  }
}
