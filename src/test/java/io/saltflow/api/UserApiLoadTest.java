package io.saltflow.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.config.ConfigException;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.controller.ControllerNodeTest;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.records.JobRepository;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.StoreLimits;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against slow acceptance of jobs under load: three nodes use one rate-limited key-value
 * store on a simulated clock, while users poll repeatedly and answers are delayed.
 */
class UserApiLoadTest {
  private static final int NODES = 3;
  private static final TimeSpan POLL_INTERVAL = TimeSpan.seconds(5);
  private static final TimeSpan RETRY_DELAY = TimeSpan.seconds(1);
  private static final TimeSpan ANSWER_TIMEOUT = TimeSpan.seconds(5);

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private Root root = new Root();
  private Random random = new Random(7);
  private final List<Long> acceptanceTimesMs = new ArrayList<>();
  private final Map<String, Integer> refusals = new TreeMap<>();
  private final List<UserApi> nodes = new ArrayList<>();
  private long clockMs = 1_000_000;
  private EventLoop loop;
  private EmulatedKeyValueStore store;
  private KeyValueServer storeServer;
  private UserResponseHistory history;

  /** Fraction of POST requests to the store that time out and are executed later. */
  private double delayedFraction;

  /** One-way network delay, in milliseconds. */
  private long networkDelayMs = 3;

  private boolean repeatedPolls;
  private int unacceptedJobs;

  /**
   * Number of polls after which every fourth job is cancelled; the others are cancelled after six.
   */
  private int pollsBeforeCancellation = 6;

  @BeforeEach
  void createLoop() throws IOException {
    loop = new EventLoop(() -> clockMs * 1_000_000, () -> clockMs);
  }

  @AfterEach
  void cancelRoutines() {
    root.cancel();
  }

  /** Starts a new simulation, keeping the measured acceptance times. */
  private void resetSimulation(long seed) {
    root.cancel();
    root = new Root();
    random = new Random(seed);
    nodes.clear();
    history = new UserResponseHistory(this::recordedPhase);
    clockMs += 60_000;
  }

  private void startNodes(double rps, double writeRps, int maxTransactionOperations) {
    store =
        new EmulatedKeyValueStore(
            new KeyValueLimits(rps, writeRps, 16, maxTransactionOperations),
            steps -> {},
            loop.now());
    storeServer = new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    MachineType type =
        new MachineType(
            "box", new Resources(8, 0, 32), 1, 1, 0.5, TimeSpan.seconds(15), List.of("a"));
    for (int number = 0; number < NODES; number++) {
      KeyValueClient client =
          new KeyValueClient(
              root,
              loop,
              this::send,
              this::send,
              rps * 0.45,
              writeRps * 0.5,
              new StoreLimits(maxTransactionOperations, 16, writeRps));
      JobRepository jobs = new JobRepository(root, loop, client, "node-" + number, LaneRules.NONE);
      nodes.add(
          new UserApi(
              jobs,
              client,
              new JobValidator(settings().teams(), () -> List.of(type)),
              id -> null,
              loop::wallClockMs,
              loop::now,
              UserApiSimulation.OPEN_BARRIER));
    }
  }

  private static PlatformSettings settings() {
    try {
      return PlatformSettings.parse(PlatformSettingsTest.SETTINGS);
    } catch (ConfigException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void schedule(long ms, Runnable action) {
    loop.schedule(TimeSpan.millis(ms), root, action);
  }

  private void send(
      String method,
      String target,
      byte[] body,
      TimeSpan timeout,
      Consumer<HttpClient.Answer> then) {
    boolean[] finished = new boolean[1];
    var sent = loop.now();
    Consumer<HttpResponse> answer =
        reply -> {
          if (!finished[0]) {
            finished[0] = true;
            then.accept(new HttpClient.Answer(reply.status(), reply.body(), sent, 0));
          }
        };
    schedule(timeout.ms(), () -> answer.accept(HttpResponse.NONE));
    boolean delayed = method.equals("POST") && random.nextDouble() < delayedFraction;
    long delayMs = delayed ? 2000 + random.nextInt(10_000) : networkDelayMs;
    schedule(
        delayMs,
        () ->
            storeServer.handle(
                method, target, body, r -> schedule(networkDelayMs, () -> answer.accept(r))));
  }

  // Users

  private void addUser(int number) {
    unacceptedJobs++;
    submit(number, loop.now().ms(), random.nextInt(NODES));
  }

  private void submit(int number, long firstSentMs, int node) {
    boolean[] finished = new boolean[1];
    Runnable retry = () -> submit(number, firstSentMs, random.nextInt(NODES));
    schedule(
        ANSWER_TIMEOUT.ms(),
        () -> {
          if (!finished[0]) {
            finished[0] = true;
            recordRefusal("no answer");
            schedule(RETRY_DELAY.ms(), retry);
          }
        });
    request(
        UserApiSimulation.Kind.SUBMIT,
        number,
        node,
        reply -> {
          if (finished[0]) {
            return;
          }
          finished[0] = true;
          if (reply.status() / 100 == 2) {
            acceptanceTimesMs.add(loop.now().ms() - firstSentMs);
            unacceptedJobs--;
            accepted(number);
          } else {
            assertEquals(503, reply.status());
            recordRefusal(
                new String(
                    reply.body(),
                    7,
                    Math.min(20, reply.body().length - 7),
                    StandardCharsets.UTF_8));
            schedule(RETRY_DELAY.ms(), retry);
          }
        });
  }

  private void recordRefusal(String reason) {
    refusals.merge(reason.replaceAll("req-[0-9]+", "it"), 1, Integer::sum);
  }

  private static byte[] submission(int number) {
    return MessagePackCodec.encode(ControllerNodeTest.submission(id(number).text(), "red"));
  }

  private static JobId id(int number) {
    return new JobId(String.format("req-%06d", number));
  }

  private void accepted(int number) {
    if (repeatedPolls) {
      for (int i = 0; i < 4 * NODES; i++) {
        int node = i % NODES;
        schedule(1 + i * 2L, () -> request(UserApiSimulation.Kind.POLL, number, node, reply -> {}));
      }
      for (int node = 0; node < NODES; node++) {
        int target = node;
        schedule(5, () -> request(UserApiSimulation.Kind.SUBMIT, number, target, reply -> {}));
      }
    }
    poll(number, 0);
  }

  private void poll(int number, int times) {
    int node = random.nextInt(NODES);
    if (times == (number % 4 == 0 ? pollsBeforeCancellation : 6)) {
      request(
          UserApiSimulation.Kind.CANCEL,
          number,
          node,
          reply -> pollAfterCancellation(number, reply));
    } else {
      request(UserApiSimulation.Kind.POLL, number, node, reply -> {});
      schedule(POLL_INTERVAL.ms(), () -> poll(number, times + 1));
    }
  }

  private void pollAfterCancellation(int number, HttpResponse cancelled) {
    for (int node = 0; repeatedPolls && cancelled.status() == 200 && node < NODES; node++) {
      int target = node;
      schedule(1, () -> request(UserApiSimulation.Kind.POLL, number, target, reply -> {}));
    }
  }

  private void request(
      UserApiSimulation.Kind kind, int number, int node, Consumer<HttpResponse> then) {
    UserResponseHistory.Request request = history.onRequest(id(number), kind, node);
    Consumer<HttpResponse> onResponse =
        reply -> {
          history.onResponse(request, reply);
          then.accept(reply);
        };
    UserApi api = nodes.get(node);
    switch (kind) {
      case SUBMIT -> api.submit(submission(number), onResponse);
      case POLL -> api.poll(id(number).text(), onResponse);
      default -> api.cancel(id(number).text(), onResponse);
    }
  }

  private String recordedPhase(JobId id) {
    KeyValueStore.Value finalRecord = store.value("over/" + id.text());
    if (finalRecord != null) {
      return finalRecord.data().get("phase").toString();
    }
    return store.value(JobRecordCodec.liveKey(id)) != null || isInBatch(id)
        ? UserResponseHistory.LIVE
        : null;
  }

  private boolean isInBatch(JobId id) {
    try {
      MessageBody all =
          MessagePackCodec.decode(MessagePackCodec.encode(store.list("live/~", "", 1000).body()));
      for (MessageBody pair : all.maps(Wire.ITEMS)) {
        if (pair.map(Wire.VALUE).get(id.text()) != null) {
          return true;
        }
      }
      return false;
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Submits jobs at a rate for some time, and runs until the last is accepted. */
  private void runLoad(double jobsPerSecond, int seconds) throws IOException {
    int jobs = (int) (jobsPerSecond * seconds);
    int before = acceptanceTimesMs.size();
    for (int number = 0; number < jobs; number++) {
      int job = number;
      schedule((long) (1000 * seconds * random.nextDouble()), () -> addUser(job));
    }
    for (int ms = 0; ms < seconds * 1000 || unacceptedJobs > 0; ms += 1) {
      clockMs += 1;
      loop.post(loop::pause);
      loop.run();
      assertTrue(ms < 600_000);
    }
    assertEquals(before + jobs, acceptanceTimesMs.size());
    Collections.sort(acceptanceTimesMs);
    assertNull(history.fault());
  }

  private double fractionWithin(long ms) {
    return (double) acceptanceTimesMs.stream().filter(waitMs -> waitMs <= ms).count()
        / acceptanceTimesMs.size();
  }

  private String summary() {
    return String.format(
        "%d jobs, %.1f%% within 200 ms, %.1f%% within 2 s, p95 %d ms, max %d ms, refusals %s",
        acceptanceTimesMs.size(),
        100 * fractionWithin(200),
        100 * fractionWithin(2000),
        acceptanceTimesMs.get(acceptanceTimesMs.size() * 95 / 100),
        acceptanceTimesMs.get(acceptanceTimesMs.size() - 1),
        refusals);
  }

  private void runOnSmallStore(double jobsPerSecond, int seconds, int seeds) throws IOException {
    for (int seed = 0; seed < seeds; seed++) {
      resetSimulation(seed);
      startNodes(120, 30, 8);
      runLoad(jobsPerSecond, seconds);
    }
  }

  private void runOnLargeStore(double jobsPerSecond, int seconds, int seeds) throws IOException {
    for (int seed = 0; seed < seeds; seed++) {
      resetSimulation(seed);
      startNodes(600, 250, 24);
      runLoad(jobsPerSecond, seconds);
    }
  }

  /** Guards against polls that use up the request rate needed by submissions. */
  @Test
  void repeatedPollsDoNotDelaySubmissions() throws IOException {
    repeatedPolls = true;
    runOnSmallStore(4, 60, 1);
    runOnLargeStore(20, 60, 1);
    assertTrue(fractionWithin(200) > 0.992, summary());
  }

  /** Guards against submissions that wait for the timeout of an unanswered transaction. */
  @Test
  void delayedAnswersDoNotDelaySubmissions() throws IOException {
    delayedFraction = 0.08;
    runOnLargeStore(20, 60, 1);
    runOnSmallStore(4, 60, 1);
    assertTrue(fractionWithin(200) > 0.992, summary());
  }

  /** Guards against retries that multiply the load on a slow store. */
  @Test
  void burstAtSlowStoreIsAcceptedWithoutRetryLoad() throws IOException {
    networkDelayMs = 150;
    runOnSmallStore(60, 4, 4);
    assertTrue(fractionWithin(2000) > 0.99, summary());
    acceptanceTimesMs.clear();
    repeatedPolls = true;
    runOnLargeStore(150, 4, 4);
    assertTrue(fractionWithin(2000) > 0.89, summary());
  }

  /** Guards against slow acceptance while a quarter of the jobs is cancelled immediately. */
  @Test
  void steadyLoadWithCancellationsIsAcceptedInTime() throws IOException {
    repeatedPolls = true;
    pollsBeforeCancellation = 0;
    runOnSmallStore(4, 120, 1);
    assertTrue(fractionWithin(200) > 0.992, summary());
    delayedFraction = 0.08;
    runOnSmallStore(4, 120, 1);
    assertTrue(fractionWithin(2000) > 0.992, summary());
  }

  @Test
  void burstWithRepeatedPollsAndDelayedAnswersIsAcceptedInTime() throws IOException {
    delayedFraction = 0.08;
    repeatedPolls = true;
    runOnSmallStore(60, 4, 4);
    assertTrue(fractionWithin(2000) > 0.97, summary());
  }
}
