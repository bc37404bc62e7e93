package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cli.JobDescriptions;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.emulator.CloudServer;
import io.saltflow.emulator.EmulatedCloud;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.emulator.EmulatedWorker;
import io.saltflow.emulator.ObjectStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.FreePorts;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a controller that keeps sending refused writes after the key-value store has
 * lowered its limits on values and transactions, so that no job is unpacked or completed.
 */
class LoweredStoreLimitsTest {
  private static final KeyValueLimits INITIAL_LIMITS = new KeyValueLimits(2000, 400, 8, 8);
  private static final int WAITING_JOBS = 180;
  private static final int DONE_JOBS = 10;
  private static final int BATCHES = 3;
  private static final int JOBS_PER_BATCH = 15;
  private static final int TASKS_PER_JOB = 300;
  private static final int NEW_JOBS = 30;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private final Root machinesRoot = new Root();
  private final Map<String, Integer> submissionStatuses = new TreeMap<>();
  private final Map<String, BitSet> doneByJob = new LinkedHashMap<>();
  private KeyValueLimits loweredLimits = new KeyValueLimits(2000, 400, 2, 4);
  private String futureLimits = "";

  /** Largest value that was written, in bytes. */
  private int largestValueBytes;

  private int mostWrites;
  private EventLoop loop;
  private EmulatedKeyValueStore store;
  private PlatformSettings settings;
  private ControllerNode node;
  private int storeRequests;

  /** Number of the store request before which the limits are lowered. */
  private int lowerAtRequest = Integer.MAX_VALUE;

  private void start() throws IOException, ConfigException, InvalidMessageException {
    loop = new EventLoop();
    store = new EmulatedKeyValueStore(INITIAL_LIMITS, steps -> {}, loop.now());
    KeyValueServer storeServer =
        new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    InetSocketAddress controllerAddress = FreePorts.address();
    ObjectStore objectStore = new ObjectStore(new JobDescriptions(this::record)::spec);
    MachineType type =
        new MachineType(
            "box", new Resources(8, 0, 32), 10, 1, 0.5, TimeSpan.millis(300), List.of("a"));
    EmulatedCloud emulatedCloud =
        new EmulatedCloud(List.of(type), 8, 100, TimeSpan.seconds(1), "vm-", loop.now());
    EmulatedWorker.Timing timing =
        new EmulatedWorker.Timing(TimeSpan.millis(500), TimeSpan.seconds(20));
    CloudServer cloud =
        new CloudServer(
            machinesRoot,
            loop,
            emulatedCloud,
            (parent, machine) ->
                new EmulatedWorker(
                    parent,
                    loop,
                    machine,
                    List.of(controllerAddress),
                    timing,
                    objectStore,
                    ThreadLocalRandom.current()::nextLong));
    HttpServer server =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            64,
            (method, target, body, answer) -> {
              if (!KeyValueServer.serves(target)) {
                cloud.handle(method, target, body, answer);
                return;
              }
              if (++storeRequests == lowerAtRequest) {
                lowerLimits();
              }
              measureWrites(target, body);
              storeServer.handle(method, target, body, answer);
            });
    String emulatorAddress = "127.0.0.1:" + server.port();
    settings = settings(emulatorAddress, controllerAddress);
    storeFormerRecords(type);
    startController();
  }

  private PlatformSettings settings(String emulatorAddress, InetSocketAddress controllerAddress)
      throws ConfigException {
    return PlatformSettings.parse(
        PlatformSettingsTest.SETTINGS
                .replace("10.9.9.9:1", emulatorAddress)
                .replace(
                    "serve_on = \"127.0.0.1:0\"",
                    "serve_on = \"" + Addresses.text(controllerAddress) + '"')
                .replace("write_rps = 25.0", "write_rps = 400.0")
                .replace("rps = 100.0", "rps = 2000.0")
                .replace("report_s = 3.0", "report_s = 0.5")
                .replace("cpus_max = 40.0", "cpus_max = 400.0")
                .replace("list_lag_s = 5.0", "list_lag_s = 1.0")
            + futureLimits);
  }

  private void measureWrites(String target, byte[] body) {
    if (!target.equals(Wire.PATH_TRANSACTION)) {
      return;
    }
    try {
      List<MessageBody> writes = MessagePackCodec.decode(body).maps(Wire.WRITES);
      mostWrites = Math.max(mostWrites, writes.size());
      for (MessageBody write : writes) {
        largestValueBytes =
            Math.max(
                largestValueBytes, write.get("data") == null ? 0 : JsonSize.of(write.map("data")));
      }
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private MessageBody record(String key) {
    KeyValueStore.Value value = store.value(key);
    return value == null ? null : value.data();
  }

  private void lowerLimits() {
    store.core().setLimits(loweredLimits, loop.now());
  }

  private void startController() throws IOException {
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 1 + storeRequests);
    node.start();
  }

  /**
   * Stores the records of a former leader: full progress pages, done jobs, and submission batches.
   */
  private void storeFormerRecords(MachineType type) throws InvalidMessageException {
    put("types", CloudCodec.encodeTypes(List.of(type)));
    MessageBody page = MessageBody.of();
    int pages = 0;
    for (int n = 0; n < WAITING_JOBS; n++) {
      String id = id(100 + n);
      // Exceeds the memory of every machine, so the job keeps waiting.
      put("live/" + id, jobRecord(id, TASKS_PER_JOB, 100));
      BitSet done = new BitSet();
      for (int task = 0; task < TASKS_PER_JOB; task += 2 + n % 3) {
        done.set(task);
      }
      done.clear(TASKS_PER_JOB - 4, TASKS_PER_JOB);
      doneByJob.put(id, done);
      page.with(id, encodeDone(done));
      if (JsonSize.of(page) > 8000) {
        put(String.format("progress/%05d", pages++), page);
        page = MessageBody.of();
      }
    }
    for (int n = 0; n < DONE_JOBS; n++) {
      put("live/" + id(500 + n), jobRecord(id(500 + n), 4, 1));
      page.with(id(500 + n), "4+");
    }
    put(String.format("progress/%05d", pages), page);
    for (int b = 0; b < BATCHES; b++) {
      MessageBody batch = MessageBody.of();
      for (int n = 0; n < JOBS_PER_BATCH; n++) {
        String id = id(600 + b * JOBS_PER_BATCH + n);
        batch.with(id, jobRecord(id, 1, 1));
      }
      put("live/~former-" + b, batch);
    }
  }

  /**
   * Encodes done tasks as recorded: the length of the done prefix, then a bit set of the others.
   */
  private static String encodeDone(BitSet done) {
    int first = done.nextClearBit(0);
    byte[] rest = done.get(first, done.length()).toByteArray();
    return first + "+" + Base64.getEncoder().withoutPadding().encodeToString(rest);
  }

  private static BitSet decodeDone(String text) {
    int plus = text.indexOf('+');
    int first = Integer.parseInt(text.substring(0, plus));
    BitSet rest = BitSet.valueOf(Base64.getDecoder().decode(text.substring(plus + 1)));
    BitSet done = new BitSet();
    done.set(0, first);
    rest.stream().forEach(i -> done.set(first + i));
    return done;
  }

  private static String id(int number) {
    return String.format("req-%06d", number);
  }

  private static MessageBody job(String id, int tasks, double memoryGb) {
    return ControllerNodeTest.submission(id, "red")
        .with("shards", tasks)
        .with("cores", 1.0)
        .with("ramGb", memoryGb)
        .with("sizeGb", 0.1)
        .with("expectS", 0.2);
  }

  private static MessageBody jobRecord(String id, int tasks, double memoryGb) {
    return MessageBody.of()
        .with("spec", job(id, tasks, memoryGb))
        .with("at", System.currentTimeMillis());
  }

  private void put(String key, MessageBody value) throws InvalidMessageException {
    MessageBody write = MessageBody.of().with("put", key).with("data", value);
    MessageBody transaction =
        MessageBody.of().with("guards", List.of()).with("writes", List.of(write));
    assertEquals(
        200,
        store.commit(MessagePackCodec.decode(MessagePackCodec.encode(transaction))).status(),
        key);
  }

  private void runFor(long ms) throws IOException {
    loop.schedule(TimeSpan.millis(ms), root, loop::pause);
    loop.run();
  }

  private void awaitCondition(String description, BooleanSupplier condition) throws IOException {
    for (int i = 0; i < 1500 && !condition.getAsBoolean(); i++) {
      runFor(20);
    }
    assertTrue(condition.getAsBoolean(), description);
  }

  @AfterEach
  void stop() {
    node.cancel();
    machinesRoot.cancel();
    root.cancel();
  }

  private boolean allEnded(int from, int count) {
    for (int n = from; n < from + count; n++) {
      if (store.value("over/" + id(n)) == null) {
        return false;
      }
    }
    return true;
  }

  /** Submits a range of jobs concurrently, retrying each until it is accepted. */
  private void submit(int from, int count) {
    HttpClient user =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 8, 64);
    for (int n = from; n < from + count; n++) {
      submit(user, id(n));
    }
  }

  private void submit(HttpClient user, String id) {
    user.call(
        "POST",
        "/submissions",
        MessagePackCodec.encode(job(id, 2, 1)),
        TimeSpan.seconds(5),
        answer -> {
          if (answer.status() == 200 || answer.status() == 201) {
            submissionStatuses.put(id, answer.status());
          } else {
            loop.schedule(TimeSpan.millis(200), root, () -> submit(user, id));
          }
        });
  }

  private List<KeyValueStore.Value> values(String prefix) {
    List<KeyValueStore.Value> found = new ArrayList<>();
    for (int n = 0; n < 1000; n++) {
      KeyValueStore.Value value = store.value(String.format("%s%05d", prefix, n));
      if (value != null) {
        found.add(value);
      }
    }
    return found;
  }

  /** Asserts that each task recorded as done is still recorded as done on some page. */
  private void assertNoDoneTaskIsLost() {
    doneByJob.forEach(
        (id, before) -> {
          BitSet missing = (BitSet) before.clone();
          for (KeyValueStore.Value page : values("progress/")) {
            if (page.data().get(id) instanceof String text) {
              missing.andNot(decodeDone(text));
            }
          }
          assertTrue(missing.isEmpty(), id + " lost done tasks " + missing);
        });
  }

  private boolean pagesFitLoweredLimits() {
    return values("progress/").stream()
        .allMatch(page -> JsonSize.of(page.data()) <= loweredLimits.maxValueKib() * 1024);
  }

  /**
   * Asserts that old jobs are completed and unpacked, and that new jobs are accepted and completed.
   */
  private void assertAllJobsProceed() throws IOException {
    awaitCondition("done jobs are completed", () -> allEnded(500, DONE_JOBS));
    awaitCondition("batched jobs are done", () -> allEnded(600, BATCHES * JOBS_PER_BATCH));
    submit(800, NEW_JOBS);
    awaitCondition("new jobs are accepted", () -> submissionStatuses.size() == NEW_JOBS);
    awaitCondition("new jobs are done", () -> allEnded(800, NEW_JOBS));
    awaitCondition("pages are split", this::pagesFitLoweredLimits);
    assertNoDoneTaskIsLost();
    for (int b = 0; b < BATCHES; b++) {
      assertEquals(null, store.value("live/~former-" + b));
    }
  }

  /** Starts a new leader and asserts that it finds all records. */
  private void assertFailoverSucceeds() throws IOException {
    node.cancel();
    runFor(50);
    submissionStatuses.clear();
    startController();
    awaitCondition("new leader is ready", node::ready);
    submit(900, NEW_JOBS);
    awaitCondition("new jobs are done", () -> allEnded(900, NEW_JOBS));
    assertNoDoneTaskIsLost();
  }

  @Test
  void limitsLoweredDuringTermAreFollowed() throws Exception {
    start();
    awaitCondition("controller is ready", node::ready);
    awaitCondition("first batched job is done", () -> store.value("over/" + id(610)) != null);
    lowerLimits();
    submit(1000, NEW_JOBS);
    assertAllJobsProceed();
    assertFailoverSucceeds();
  }

  @ParameterizedTest
  @CsvSource({"2,4", "1,2"})
  void limitsLoweredDuringFailoverAreFollowed(double valueKb, int operations) throws Exception {
    loweredLimits = new KeyValueLimits(2000, 400, valueKb, operations);
    // While the new leader reads the records.
    lowerAtRequest = 8;
    start();
    assertAllJobsProceed();
    assertFailoverSucceeds();
  }

  /** Guards against writes above announced future limits before they take effect. */
  @Test
  void announcedLimitsAreFollowedImmediately() throws Exception {
    futureLimits = "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 300.0\n";
    start();
    assertAllJobsProceed();
    assertTrue(largestValueBytes <= 2048, "largest value: " + largestValueBytes + " bytes");
    assertEquals(4, mostWrites);
    lowerLimits();
    assertFailoverSucceeds();
  }

  @Test
  void limitsLoweredDuringOutageAreFollowed() throws Exception {
    start();
    awaitCondition("controller is ready", node::ready);
    store.setDown(true, loop.now());
    runFor(1500);
    lowerLimits();
    store.setDown(false, loop.now());
    assertAllJobsProceed();
    assertFailoverSucceeds();
  }
}
