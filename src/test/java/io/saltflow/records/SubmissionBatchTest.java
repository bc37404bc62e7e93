package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests batched admission and batched polls under the limits of the key-value store. */
class SubmissionBatchTest {
  private static final int MAX_OPERATIONS = 8;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private final Map<JobId, JobOutcome> outcomes = new LinkedHashMap<>();
  private final List<String> requests = new ArrayList<>();

  /** Action run once after the next request has been handled, before its answer arrives. */
  private Runnable afterNextRequest = () -> {};

  private EventLoop loop;
  private EmulatedKeyValueStore store;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop();
    store =
        new EmulatedKeyValueStore(
            new KeyValueLimits(1000, 30, 8, MAX_OPERATIONS), steps -> {}, loop.now());
    KeyValueServer keyValueServer =
        new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    server =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            64,
            (method, target, body, answer) -> {
              requests.add(method + " " + target);
              keyValueServer.handle(method, target, body, answer);
              afterNextRequest.run();
              afterNextRequest = () -> {};
            });
  }

  @AfterEach
  void end() {
    root.cancel();
  }

  private JobRepository node(String process) {
    HttpClient http =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.port()), 8, 64);
    return new JobRepository(
        root,
        loop,
        new KeyValueClient(root, loop, http, http, 450, 15, new StoreLimits(MAX_OPERATIONS, 8, 30)),
        process,
        LaneRules.NONE);
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < 600 && !condition.getAsBoolean(); i++) {
      loop.schedule(TimeSpan.millis(10), root, loop::pause);
      loop.run();
    }
    assertTrue(condition.getAsBoolean());
  }

  private static JobId id(int number) {
    return new JobId(String.format("req-%06d", number));
  }

  private static JobSpec spec(int number) {
    try {
      return JobCodec.decode(
          MessageBody.of()
              .with("id", id(number).text())
              .with("lane", "pages")
              .with("crew", "red")
              .with("shape", "array")
              .with("urgency", number % 2 == 0 ? "high" : "best_effort")
              .with("shards", 16L)
              .with("cores", 2.0)
              .with("gpus", 0.0)
              .with("ramGb", 4.0)
              .with("bundle", "img-01")
              .with("sizeGb", 1.5)
              .with("together", false)
              .with("apart", false)
              .with("loaners", true)
              .with("expectS", 40.0)
              .with("snapshotS", 0.0)
              .with("flushS", 0.0));
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void admit(JobRepository node, int from, int to) throws IOException {
    outcomes.clear();
    for (int number = from; number < to; number++) {
      node.admit(
          spec(number), 5, outcome -> outcomes.put(((JobOutcome.Created) outcome).id(), outcome));
    }
    runUntil(() -> outcomes.size() == to - from);
  }

  private JobOutcome find(JobRepository node, JobId id) throws IOException {
    outcomes.remove(id);
    node.find(id, outcome -> outcomes.put(id, outcome));
    runUntil(() -> outcomes.containsKey(id));
    return outcomes.get(id);
  }

  /**
   * Separate requests for each poll of an unseen job would use up the request rate, until the
   * leader loses its lease.
   */
  @Test
  void firstPollsOfManyJobsShareListing() throws IOException {
    admit(node("one"), 0, 60);
    JobRepository other = node("other");
    requests.clear();
    outcomes.clear();
    for (int number = 0; number < 61; number++) {
      JobId jobId = id(number);
      other.poll(jobId, outcome -> outcomes.put(jobId, outcome));
    }
    runUntil(() -> outcomes.size() == 61);
    for (int number = 0; number < 60; number++) {
      assertEquals(live(id(number)), outcomes.get(id(number)));
    }
    assertEquals(new JobOutcome.Absent(), outcomes.get(id(60)));
    assertTrue(requests.size() < 16, requests.size() + " requests: " + requests);
  }

  /** An outdated listing must not overwrite the end of a job that this node recorded meanwhile. */
  @Test
  void endRecordedDuringListingIsKept() throws IOException {
    JobRepository node = node("one");
    for (int number = 0; number < 20; number++) {
      admit(node, number, number + 1);
    }
    JobRepository other = node("other");
    outcomes.clear();
    requests.clear();
    afterNextRequest = () -> other.cacheDone(id(3), 16);
    for (int number = 0; number < 20; number++) {
      JobId jobId = id(number);
      other.poll(jobId, outcome -> outcomes.put(jobId, outcome));
    }
    runUntil(() -> outcomes.size() == 20);
    assertTrue(requests.get(0).contains("prefix=live/"), requests.get(0));
    assertEquals(
        new JobOutcome.Found(new JobStatus(id(3), JobPhase.DONE, 16)), outcomes.get(id(3)));
    assertEquals(live(id(4)), outcomes.get(id(4)));
  }

  private long transactionsSent() {
    return requests.stream().filter(a -> a.equals("POST /multi")).count();
  }

  /**
   * A submission that another node has already recorded fails the guard of its batch. The other
   * jobs must be batched again; one write each would use up the write rate of the node.
   */
  @Test
  void knownJobDoesNotSplitItsBatch() throws IOException {
    admit(node("one"), 20, 22);
    JobRepository other = node("other");
    requests.clear();
    outcomes.clear();
    for (int number = 0; number < 60; number++) {
      JobId jobId = id(number);
      other.admit(spec(number), 5, outcome -> outcomes.put(jobId, outcome));
    }
    runUntil(() -> outcomes.size() == 60);
    for (int number = 0; number < 60; number++) {
      boolean known = number == 20 || number == 21;
      assertEquals(
          known ? live(id(number)) : new JobOutcome.Created(id(number)), outcomes.get(id(number)));
    }
    assertTrue(transactionsSent() < 30, transactionsSent() + " transactions");
  }

  /** A repeated submission of a job that this node knows must be answered without a write. */
  @Test
  void repeatedSubmissionsTakeNoWrites() throws IOException {
    JobRepository node = node("one");
    admit(node, 0, 20);
    requests.clear();
    outcomes.clear();
    for (int number = 0; number < 20; number++) {
      JobId jobId = id(number);
      node.admit(spec(number), 5, outcome -> outcomes.put(jobId, outcome));
    }
    runUntil(() -> outcomes.size() == 20);
    for (int number = 0; number < 20; number++) {
      assertEquals(live(id(number)), outcomes.get(id(number)));
    }
    assertTrue(requests.size() <= 3, requests.toString());
  }

  private static MessageBody encode(Transaction transaction) throws InvalidMessageException {
    return MessagePackCodec.decode(MessagePackCodec.encode(transaction.encode()));
  }

  /** Unpacks all batches as the leader does. Returns the number of rejected transactions. */
  private int unpack(BatchUnpacker unpacker) throws InvalidMessageException {
    return unpack(unpacker, MAX_OPERATIONS);
  }

  private int unpack(BatchUnpacker unpacker, int operations) throws InvalidMessageException {
    int rejected = 0;
    for (int i = 0; i < 500 && !unpacker.isEmpty(); i++) {
      BatchUnpacker.UnpackStep step = unpacker.next(new StoreLimits(operations, 8, 30));
      assertTrue(step.writes() > 0 && step.writes() <= operations);
      var reply = store.commit(encode(step.addTo(new Transaction())));
      if (reply.status() == 200) {
        unpacker.onCommitted(step);
      } else {
        rejected++;
        MessageBody body = MessagePackCodec.decode(MessagePackCodec.encode(reply.body()));
        unpacker.onRefused(
            step, new KeyValueClient.StoreResponse(reply.status(), body, loop.now()));
      }
    }
    assertTrue(unpacker.isEmpty());
    return rejected;
  }

  private BatchUnpacker foundBatches() {
    BatchUnpacker unpacker = new BatchUnpacker();
    for (MessageBody entry : batchEntries()) {
      long version = (Long) entry.get(Wire.VERSION);
      unpacker.addBatch((String) entry.get(Wire.KEY), batchOf(entry), new Revision(version));
    }
    return unpacker;
  }

  private List<MessageBody> batchEntries() {
    try {
      MessageBody listed =
          MessagePackCodec.decode(
              MessagePackCodec.encode(store.list(SubmissionBatch.PREFIX, "", 1000).body()));
      return listed.maps(Wire.ITEMS);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static MessageBody batchOf(MessageBody entry) {
    try {
      return entry.map(Wire.VALUE);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /**
   * A burst of submissions must share writes, since one write each would take longer than users
   * wait. Every node must find each of the jobs and no others.
   */
  @Test
  void burstOfSubmissionsSharesWrites() throws IOException, InvalidMessageException {
    JobRepository one = node("one");
    JobRepository other = node("other");
    admit(one, 0, 100);
    assertTrue(store.revision() < 40, store.revision() + " revisions");
    assertTrue(batchEntries().size() >= 5);
    for (int number = 0; number < 100; number += 9) {
      assertEquals(live(id(number)), find(other, id(number)));
    }
    assertEquals(new JobOutcome.Absent(), find(other, id(500)));

    assertEquals(0, unpack(foundBatches()));
    assertEquals(0, batchEntries().size());
    for (int number = 0; number < 100; number++) {
      assertNotNull(store.value(Keys.liveJob(id(number))));
    }
    assertEquals(live(id(3)), find(one, id(3)));
    assertEquals(live(id(3)), find(other, id(3)));
  }

  private static JobOutcome live(JobId id) {
    return new JobOutcome.Found(new JobStatus(id, JobPhase.LIVE, 0));
  }

  /**
   * After answer loss a job may be in two batches; unpacking must not duplicate it or revive an
   * ended job.
   */
  @Test
  void jobInTwoBatchesIsUnpackedOnceAndEndedJobStaysEnded()
      throws IOException, InvalidMessageException {
    JobRepository node = node("one");
    admit(node, 0, 40);
    MessageBody duplicate = batchOf(batchEntries().get(0));
    assertEquals(
        200,
        store
            .commit(encode(new Transaction().put(SubmissionBatch.key("late"), duplicate)))
            .status());
    JobId cancelled = SubmissionBatch.decode(duplicate).keySet().iterator().next();
    outcomes.clear();
    node.cancel(cancelled, outcome -> outcomes.put(cancelled, outcome));
    runUntil(() -> outcomes.containsKey(cancelled));
    assertEquals(
        new JobOutcome.Found(new JobStatus(cancelled, JobPhase.CANCELLED, 0)),
        outcomes.get(cancelled));

    assertTrue(unpack(foundBatches()) > 0);
    assertEquals(0, batchEntries().size());
    assertNull(store.value(Keys.liveJob(cancelled)));
    for (int number = 0; number < 40; number++) {
      assertEquals(id(number).equals(cancelled), store.value(Keys.liveJob(id(number))) == null);
    }
    assertEquals(outcomes.get(cancelled), find(node("other"), cancelled));
  }

  /** Urgent jobs must not wait for others that were submitted earlier. */
  @Test
  void urgentJobsAreUnpackedFirst() throws InvalidMessageException {
    BatchUnpacker unpacker = new BatchUnpacker();
    Map<JobId, MessageBody> records = new LinkedHashMap<>();
    for (int number = 1; number <= 6; number++) {
      records.put(
          id(number), MessageBody.of().with("spec", JobCodec.encode(spec(number))).with("at", 5L));
    }
    MessageBody encoded =
        MessagePackCodec.decode(MessagePackCodec.encode(SubmissionBatch.encode(records)));
    unpacker.addBatch(SubmissionBatch.key("b"), encoded, new Revision(7));
    List<JobId> order = new ArrayList<>();
    unpacker.next(new StoreLimits(6, 8, 30)).jobs().forEach(job -> order.add(job.id()));
    assertEquals(List.of(id(2), id(4), id(6), id(1), id(3), id(5)), order);
  }

  private void recordEnd(JobRepository node, JobId id) {
    Transaction end = new Transaction();
    node.writeDone(end, id, 16, 0);
    try {
      assertEquals(200, store.commit(encode(end)).status());
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Polls of many live jobs must share a request, and only the records of ended jobs are read. */
  @Test
  void pollsOfLiveJobsShareTransaction() throws IOException, InvalidMessageException {
    JobRepository node = node("one");
    admit(node, 0, 20);
    assertEquals(0, unpack(foundBatches()));
    for (int number = 0; number < 20; number++) {
      assertEquals(live(id(number)), find(node, id(number)));
    }
    recordEnd(node, id(7));
    outcomes.clear();
    requests.clear();
    for (int number = 0; number < 20; number++) {
      JobId id = id(number);
      node.find(id, outcome -> outcomes.put(id, outcome));
    }
    runUntil(() -> outcomes.size() == 20);
    for (int number = 0; number < 20; number++) {
      JobStatus known = ((JobOutcome.Found) outcomes.get(id(number))).status();
      assertEquals(number == 7 ? JobPhase.DONE : JobPhase.LIVE, known.phase());
    }
    // The first poll is sent at once, the others together; the ended job takes two reads.
    assertTrue(requests.size() <= 6, requests.toString());
  }

  /**
   * A poll must be answered even if this node records the end of the job before the answer arrives;
   * otherwise it would stay in flight forever.
   */
  @Test
  void pollIsAnsweredWhenJobEndsMeanwhile() throws IOException, InvalidMessageException {
    JobRepository node = node("one");
    admit(node, 0, 20);
    assertEquals(0, unpack(foundBatches()));
    for (int number = 0; number < 3; number++) {
      assertEquals(live(id(number)), find(node, id(number)));
    }
    recordEnd(node, id(1));
    outcomes.clear();
    node.find(id(0), outcome -> outcomes.put(id(0), outcome));
    runUntil(() -> !outcomes.isEmpty());
    afterNextRequest =
        () -> {
          recordEnd(node, id(2));
          node.cacheDone(id(2), 16);
        };
    outcomes.clear();
    for (int number = 0; number < 3; number++) {
      JobId id = id(number);
      node.find(id, outcome -> outcomes.put(id, outcome));
    }
    runUntil(() -> outcomes.size() == 3);
    assertEquals(live(id(0)), outcomes.get(id(0)));
    for (int number = 1; number < 3; number++) {
      assertEquals(
          new JobOutcome.Found(new JobStatus(id(number), JobPhase.DONE, 16)),
          outcomes.get(id(number)));
    }
  }

  private void lowerLimits(double valueKb, int operations) {
    store.core().setLimits(new KeyValueLimits(1000, 30, valueKb, operations), loop.now());
  }

  /** Submissions and polls must adapt when the store lowers its limits. */
  @Test
  void burstsAndPollsAdaptToLoweredLimits() throws IOException, InvalidMessageException {
    JobRepository node = node("one");
    admit(node, 0, 60);
    lowerLimits(2, 4);
    admit(node, 60, 120);
    outcomes.clear();
    for (int number = 0; number < 120; number++) {
      JobId id = id(number);
      node.find(id, outcome -> outcomes.put(id, outcome));
    }
    runUntil(() -> outcomes.size() == 120);
    for (int number = 0; number < 120; number++) {
      assertEquals(live(id(number)), outcomes.get(id(number)));
    }
    assertEquals(0, unpack(foundBatches(), 4));
    for (int number = 0; number < 120; number++) {
      assertTrue(store.value(Keys.liveJob(id(number))) != null);
    }
  }

  private static JobSpec oversizedSpec(int number) throws InvalidMessageException {
    return JobCodec.decode(
        MessagePackCodec.decode(
            MessagePackCodec.encode(
                JobCodec.encode(spec(number)).with("bundle", "i".repeat(3000)))));
  }

  /**
   * An oversized job must be rejected rather than retried forever, unless it was accepted before.
   */
  @Test
  void oversizedJobIsRejectedUnlessKnown() throws IOException, InvalidMessageException {
    JobRepository node = node("one");
    node.admit(oversizedSpec(1), 5, outcome -> outcomes.put(id(1), outcome));
    runUntil(() -> outcomes.size() == 1);
    assertEquals(new JobOutcome.Created(id(1)), outcomes.get(id(1)));
    lowerLimits(2, 4);
    outcomes.clear();
    node.admit(oversizedSpec(1), 5, outcome -> outcomes.put(id(1), outcome));
    node.admit(oversizedSpec(2), 5, outcome -> outcomes.put(id(2), outcome));
    node.admit(spec(3), 5, outcome -> outcomes.put(id(3), outcome));
    runUntil(() -> outcomes.size() == 3);
    assertEquals(live(id(1)), outcomes.get(id(1)));
    assertEquals(new JobOutcome.TooLarge(), outcomes.get(id(2)));
    assertEquals(new JobOutcome.Created(id(3)), outcomes.get(id(3)));
  }

  /**
   * A job whose record has another revision than the cached one must be read, not presumed live.
   */
  @Test
  void replacedRecordIsReadAgain() throws IOException, InvalidMessageException {
    JobRepository node = node("one");
    admit(node, 1, 2);
    assertEquals(live(id(1)), find(node, id(1)));
    Revision before = new Revision(store.value(Keys.liveJob(id(1))).modRevision());
    MessageBody record = MessageBody.of().with("spec", JobCodec.encode(spec(1))).with("at", 6L);
    assertEquals(
        200, store.commit(encode(new Transaction().put(Keys.liveJob(id(1)), record))).status());
    assertTrue(store.value(Keys.liveJob(id(1))).modRevision() > before.number());
    requests.clear();
    assertEquals(live(id(1)), find(node, id(1)));
    assertEquals(List.of("POST /multi", "GET /kv/live/req-000001"), requests);
  }
}
