package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.queues.ConsumerId;
import io.saltflow.queues.Effect;
import io.saltflow.queues.Outcome;
import io.saltflow.queues.PendingPublish;
import io.saltflow.queues.PublishRequest;
import io.saltflow.queues.QueueCore;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import io.saltflow.queues.ResultEncoder;
import io.saltflow.store.CompressedValues;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the queue records against answer loss, rejected writes and failover. */
class QueueRepositoryTest {
  private static final QueueId QUEUE = new QueueId("/", "q");
  private static final byte[] EMPTY = new byte[0];

  private static final ResultEncoder EMPTY_RESULT_ENCODER =
      new ResultEncoder() {
        @Override
        public byte[] body(String id, Outcome outcome, int attempts, String reason) {
          return EMPTY;
        }

        @Override
        public byte[] properties(String id) {
          return EMPTY;
        }
      };

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private final SplittableRandom random = new SplittableRandom(5);
  private final StoreLimits limits = new StoreLimits(8, 8, 200);
  private final CompressedValues compressedValues = new CompressedValues(limits);
  private EventLoop loop;
  private EmulatedKeyValueStore store;
  private KeyValueClient client;
  private LeaderLease lease;
  private QueueCore core;
  private QueueRepository repository;
  private int answersToLose;
  private int writesToReject;
  private int leadershipLosses;
  private int confirmed;

  @BeforeEach
  void start() throws IOException, InvalidMessageException {
    loop = new EventLoop();
    store = new EmulatedKeyValueStore(new KeyValueLimits(1000, 200, 8, 8), steps -> {}, loop.now());
    KeyValueServer keyValueServer =
        new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    HttpServer server =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            64,
            (method, target, body, answer) -> {
              boolean write = target.startsWith("/multi");
              if (write && writesToReject > 0) {
                writesToReject--;
                answer.accept(HttpResponse.empty(503));
                return;
              }
              boolean loseAnswer = write && answersToLose > 0 && answersToLose-- > 0;
              keyValueServer.handle(method, target, body, loseAnswer ? reply -> {} : answer);
            });
    HttpClient http =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.port()), 8, 64);
    client = new KeyValueClient(root, loop, http, http, 1000, 200, limits);
    electLeader(1);
  }

  @AfterEach
  void end() {
    root.cancel();
  }

  /**
   * Elects another leader, which writes a new leader key and reads the records of the former
   * leader.
   */
  private void electLeader(long term) throws InvalidMessageException, IOException {
    MessageBody txn =
        new Transaction().put(Keys.LEADER, MessageBody.of().with("term", term)).encode();
    Revision leaderKeyRevision =
        new Revision(
            (Long)
                store
                    .commit(MessagePackCodec.decode(MessagePackCodec.encode(txn)))
                    .body()
                    .get("epoch"));
    lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(5));
    lease.onElected(new Term(term), leaderKeyRevision, loop.now());
    core =
        new QueueCore(
            List.of(
                new QueuePolicy(
                    QUEUE,
                    false,
                    "c",
                    "",
                    Priority.NORMAL,
                    Resources.ZERO,
                    3,
                    TimeSpan.millis(0),
                    true,
                    TimeSpan.seconds(60),
                    null,
                    null,
                    10_000,
                    null,
                    false)),
            new QueueCore.Limits(
                100 << 20, 32 * 1024, 10_000, TimeSpan.seconds(60), TimeSpan.millis(0)),
            (queue, arrived) -> true,
            (queue, id, body) -> null,
            EMPTY_RESULT_ENCODER,
            new Term(term));
    repository =
        new QueueRepository(
            root,
            new LeaderContext(loop, client, lease, () -> leadershipLosses++),
            core,
            compressedValues,
            200,
            () -> 1_000_000,
            () -> {
              handleEffects(effect -> {});
              repository.flush();
            });
    loop.scheduleRepeating(TimeSpan.millis(5), root, repository::flush);
    QueueRepository.ReplayResult[] results = new QueueRepository.ReplayResult[1];
    repository.readInherited(result -> results[0] = result);
    await(() -> results[0] != null);
    assertEquals(QueueRepository.ReplayResult.REPLAYED, results[0]);
    core.begin(loop.now(), 1_000_000);
  }

  private void await(BooleanSupplier done) throws IOException {
    for (int i = 0; i < 20_000 && !done.getAsBoolean(); i++) {
      loop.schedule(TimeSpan.millis(1), root, loop::pause);
      loop.run();
    }
    assertTrue(done.getAsBoolean());
  }

  private void handleEffects(Consumer<Effect> then) {
    for (Effect effect : core.effects()) {
      if (effect instanceof Effect.Confirm) {
        confirmed++;
      } else if (effect instanceof Effect.Deliver deliver) {
        core.settle(deliver.id(), QueueCore.Settlement.ACK, loop.now(), 1_000_000);
      }
      then.accept(effect);
    }
  }

  private void publish(int from, int to, int size) {
    for (int i = from; i < to; i++) {
      byte[] body = new byte[size];
      random.nextBytes(body);
      PendingPublish publish = new PendingPublish(1, 1, i);
      core.publish(
          publish, new PublishRequest(QUEUE, "m-" + i, -1, EMPTY, body), loop.now(), 1_000_000);
    }
    repository.flush();
  }

  @Test
  void confirmedMessagesOfAnySizeAreReadByNextLeader() throws Exception {
    publish(0, 300, 100);
    publish(300, 310, 16 * 1024);
    publish(310, 312, 32 * 1024);
    await(() -> confirmed == 312);
    long bytes = core.bytes();
    electLeader(2);
    assertEquals(312, core.size());
    assertEquals(bytes, core.bytes());
    core.publish(
        new PendingPublish(1, 1, 1),
        new PublishRequest(QUEUE, "m-311", -1, EMPTY, new byte[1]),
        loop.now(),
        1_000_000);
    handleEffects(effect -> {});
    assertEquals(313, confirmed, "a message confirmed by the former leader is known");
    assertEquals(312, core.size());
  }

  /** The key-value store limits writes, not bytes, so many small messages must share a write. */
  @Test
  void confirmedMessagesShareWrites() throws IOException {
    publish(0, 2000, 100);
    long before = store.revision();
    await(() -> confirmed == 2000);
    assertTrue(store.revision() - before < 60, "revisions: " + (store.revision() - before));
  }

  @Test
  void messagesAreConfirmedDespiteLostAnswersAndRejectedWrites() throws Exception {
    writesToReject = 3;
    publish(0, 10, 50);
    await(() -> confirmed == 10);
    answersToLose = 1;
    publish(10, 20, 50);
    await(() -> confirmed == 20);
    electLeader(2);
    assertEquals(20, core.size());
  }

  /** Keys must be reused as messages are settled, or the records grow without bound. */
  @Test
  void keysAreReusedWhileMessagesAreSettled() throws Exception {
    publish(0, 20, 500);
    await(() -> confirmed == 20);
    ConsumerId id = new ConsumerId(1, 1, "c");
    core.consume(id, QUEUE, false, 100, loop.now(), 1_000_000);
    for (int i = 1; i <= 40; i++) {
      int published = 20 + i * 50;
      publish(published - 50, published, 500);
      await(() -> confirmed == published);
    }
    await(() -> core.size() == 0);
    int keys = ((List<?>) store.list(Keys.QUEUES, "", 1000).body().get("pairs")).size();
    assertTrue(keys < 120, "2,020 messages of 500 bytes went through " + keys + " keys");
    electLeader(2);
    assertEquals(0, core.size());
  }

  /**
   * When the limits are lowered, batches must get smaller, older batches stay readable, and a
   * message that has become too large must not block others.
   */
  @Test
  void batchesShrinkWhenLimitsAreLowered() throws Exception {
    publish(0, 300, 100);
    publish(300, 304, 16 * 1024);
    await(() -> confirmed == 304);
    store.core().setLimits(new KeyValueLimits(1000, 200, 2, 4), loop.now());
    publish(304, 600, 100);
    await(() -> confirmed == 600);
    assertEquals(4, limits.maxOperations());
    assertTrue(limits.maxValueBytes() <= 2048);
    publish(600, 601, 16 * 1024);
    publish(601, 700, 100);
    await(() -> confirmed == 699);
    electLeader(2);
    assertEquals(699, core.size());
  }

  /**
   * A leader whose key was replaced must not record anything, and must learn that it lost
   * leadership.
   */
  @Test
  void replacedLeaderRecordsNothing() throws Exception {
    publish(0, 5, 50);
    await(() -> confirmed == 5);
    QueueCore former = core;
    QueueRepository formerRepository = repository;
    electLeader(2);
    former.publish(
        new PendingPublish(1, 1, 9),
        new PublishRequest(QUEUE, "late", -1, EMPTY, EMPTY),
        loop.now(),
        1_000_000);
    formerRepository.flush();
    await(() -> leadershipLosses == 1);
    assertEquals(5, confirmed);
    publish(5, 6, 50);
    await(() -> confirmed == 6);
    electLeader(3);
    assertEquals(6, core.size());
  }

  /** A batch that cannot be read must not be treated as absent. */
  @Test
  void damagedRecordIsUnreadable() throws Exception {
    publish(0, 200, 400);
    await(() -> confirmed == 200);
    KeyValueStore.Value overwritten = store.value(Keys.QUEUES + "000001");
    MessageBody txn =
        new Transaction()
            .put(Keys.QUEUES + "000001", MessageBody.of().with("b", 99999L).with("i", 0L))
            .encode();
    store.commit(MessagePackCodec.decode(MessagePackCodec.encode(txn)));
    assertTrue(overwritten != null);
    List<QueueRepository.ReplayResult> results = new ArrayList<>();
    QueueCore leaderCore = core;
    QueueRepository otherRepository =
        new QueueRepository(
            root,
            new LeaderContext(loop, client, lease, () -> {}),
            leaderCore,
            compressedValues,
            200,
            () -> 0,
            () -> {});
    otherRepository.readInherited(results::add);
    await(() -> !results.isEmpty());
    assertEquals(List.of(QueueRepository.ReplayResult.UNREADABLE), results);
  }

  @Test
  void compressedValuesAreDecompressedOrRejected() throws InvalidMessageException {
    byte[] bytes = new byte[30_000];
    random.nextBytes(bytes);
    List<String> parts = compressedValues.compress(bytes);
    assertTrue(Arrays.equals(bytes, compressedValues.decompress(parts)));
    List<String> incomplete = parts.subList(0, parts.size() - 1);
    assertThrows(InvalidMessageException.class, () -> compressedValues.decompress(incomplete));
    assertThrows(
        InvalidMessageException.class, () -> compressedValues.decompress(List.of("no base64!")));
  }
}
