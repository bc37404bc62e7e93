package io.saltflow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that oversized pages are split without data loss, whenever the limits are lowered and
 * whether or not a write succeeds. Confirmed data must be readable by all builds, including earlier
 * ones, which read only the last page that holds a record.
 */
class PackedRecordsSplitTest {
  private static final KeyValueLimits LARGE = new KeyValueLimits(1e6, 1e6, 8, 8);
  private static final int RECORD_COUNT = 36;
  private static final int PADDING = 300;

  /** Speedup of the loop's clock, which shortens the timeouts of lost responses. */
  private static final int CLOCK_SPEEDUP = 40;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  /** A record whose count only increases. */
  private static final class Counter {
    final String name;
    int padding = PADDING;
    int storedLength;
    long count;

    Counter(String name, long count) {
      this.name = name;
      this.count = count;
    }
  }

  private Root root;

  /** Highest count per record in a confirmed write. */
  private final Map<String, Long> confirmed = new HashMap<>();

  private EventLoop loop;
  private EmulatedKeyValueStore store;
  private KeyValueServer keyValueServer;
  private HttpServer server;
  private KeyValueLimits loweredLimits;
  private int messageCount;
  private int lowerLimitsAt = Integer.MAX_VALUE;
  private Random faults;
  private long leaderKey;
  private Root leader;
  private KeyValueClient client;
  private PackedRecords<Counter> packedRecords;
  private Map<String, Counter> counters;

  private void start() throws IOException {
    root = new Root();
    leader = null;
    lowerLimitsAt = Integer.MAX_VALUE;
    loop = new EventLoop(() -> System.nanoTime() * CLOCK_SPEEDUP, System::currentTimeMillis);
    store = new EmulatedKeyValueStore(LARGE, steps -> {}, loop.now());
    keyValueServer = new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    server = new HttpServer(root, loop, Addresses.parse("127.0.0.1:0"), 64, this::serve);
    startLeader();
  }

  private void serve(String method, String target, byte[] body, Consumer<HttpResponse> callback) {
    if (++messageCount == lowerLimitsAt) {
      store.core().setLimits(loweredLimits, loop.now());
    }
    if (faults != null && faults.nextInt(6) == 0) {
      if (faults.nextBoolean()) {
        // The request is executed later, or not at all.
        loop.schedule(
            TimeSpan.millis(faults.nextInt(4000)),
            root,
            () -> keyValueServer.handle(method, target, body, reply -> {}));
      } else {
        keyValueServer.handle(method, target, body, reply -> {});
      }
      return;
    }
    keyValueServer.handle(method, target, body, callback);
  }

  /** Starts a leader that restores the stored records. */
  private void startLeader() throws IOException {
    startLeader(new StoreLimits(8, 8, 1e6));
  }

  private void startLeader(StoreLimits limits) throws IOException {
    if (leader != null) {
      leader.cancel();
    }
    leader = new Root();
    HttpClient http =
        new HttpClient(leader, loop, Addresses.parse("127.0.0.1:" + server.port()), 4, 64);
    client = new KeyValueClient(leader, loop, http, http, 1e6, 1e6, limits);
    packedRecords =
        new PackedRecords<>(
            leader,
            client,
            this::newGuardedTransaction,
            "p/",
            () -> new TimeSpan(0),
            loop::now,
            new CounterFormat());
    put(Keys.LEADER, MessageBody.of());
    leaderKey = store.value(Keys.LEADER).modRevision();
    counters = new TreeMap<>();
    for (Map.Entry<String, KeyValueStore.Value> page : storedPages().entrySet()) {
      packedRecords.restorePage(page.getKey(), new Revision(page.getValue().modRevision()));
      page.getValue()
          .data()
          .fields()
          .forEach(
              (name, value) -> {
                Counter counter =
                    counters.computeIfAbsent(name, ignored -> new Counter(ignored, 0));
                counter.count = Math.max(counter.count, count(value));
                packedRecords.restoreRecord(page.getKey(), counter);
              });
    }
  }

  private void put(String key, MessageBody value) {
    try {
      store.commit(
          MessagePackCodec.decode(
              MessagePackCodec.encode(new Transaction().put(key, value).encode())));
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private Transaction newGuardedTransaction() {
    return new Transaction().guard(Keys.LEADER, new Revision(leaderKey));
  }

  private final class CounterFormat implements RecordFormat<Counter> {
    @Override
    public String name(Counter counter) {
      return counter.name;
    }

    @Override
    public Object encode(Counter counter) {
      return counter.count + "+" + "x".repeat(padding(counter));
    }

    private int padding(Counter counter) {
      return Math.min(counter.padding, client.limits().maxValueBytes() - 30);
    }

    @Override
    public int maxEncodedBytes(Counter counter) {
      return JsonSize.of(counter.name) + JsonSize.of("") + 8 + padding(counter);
    }

    @Override
    public boolean retainsAll(Counter counter, Object value) {
      return ((String) value).length() >= counter.storedLength;
    }

    @Override
    public void onWritten(List<Counter> counters, List<Object> values, boolean confirmedWrite) {
      for (int i = 0; confirmedWrite && i < counters.size(); i++) {
        confirmed.merge(counters.get(i).name, count(values.get(i)), Math::max);
        counters.get(i).storedLength = ((String) values.get(i)).length();
      }
    }
  }

  private static long count(Object value) {
    String text = (String) value;
    return Long.parseLong(text.substring(0, text.indexOf('+')));
  }

  private Map<String, KeyValueStore.Value> storedPages() {
    Map<String, KeyValueStore.Value> pages = new TreeMap<>();
    for (int n = 0; n < 200; n++) {
      String key = String.format("p/%05d", n);
      if (store.value(key) != null) {
        pages.put(key, store.value(key));
      }
    }
    return pages;
  }

  /** Reads the pages like an earlier build, which uses the last page in key order. */
  private void assertNothingLost() {
    Map<String, Long> last = new HashMap<>();
    storedPages()
        .values()
        .forEach(
            page -> page.data().fields().forEach((name, value) -> last.put(name, count(value))));
    confirmed.forEach(
        (name, count) ->
            assertTrue(
                last.getOrDefault(name, -1L) >= count,
                name + " has a count below the confirmed " + count));
  }

  private void runOnce() throws IOException {
    loop.schedule(TimeSpan.millis(1), root, loop::pause);
    loop.run();
    assertNothingLost();
  }

  private void change(int number, boolean urgent) {
    Counter counter =
        counters.computeIfAbsent(String.format("e%03d", number), name -> new Counter(name, 0));
    counter.count++;
    packedRecords.markChanged(counter, urgent);
  }

  private void remove(int number) {
    String name = String.format("e%03d", number);
    packedRecords.remove(name, true);
    counters.remove(name);
    confirmed.remove(name);
  }

  private void fill() throws IOException {
    fill(RECORD_COUNT);
    assertEquals(2, storedPages().size(), "full pages");
  }

  private void fill(int count) throws IOException {
    for (int n = 0; n < count; n++) {
      change(n, true);
    }
    for (int i = 0; i < 6000 && !allWritten(); i++) {
      packedRecords.flush(true);
      runOnce();
    }
    assertTrue(allWritten());
  }

  private boolean allWritten() {
    return counters.values().stream()
        .allMatch(counter -> confirmed.getOrDefault(counter.name, -1L) >= counter.count);
  }

  private boolean isSettled(KeyValueLimits limits) {
    Map<String, Integer> occurrences = new HashMap<>();
    boolean fit = true;
    for (KeyValueStore.Value page : storedPages().values()) {
      fit &= JsonSize.of(page.data()) <= limits.maxValueKib() * 1024;
      page.data().fields().keySet().forEach(name -> occurrences.merge(name, 1, Integer::sum));
    }
    return fit && allWritten() && occurrences.values().stream().allMatch(n -> n == 1);
  }

  /** Changes each record and runs until each is stored on exactly one page within the limits. */
  private void runUntilSettled(KeyValueLimits limits) throws IOException {
    runUntilSettled(limits, 0);
  }

  private void runUntilSettled(KeyValueLimits limits, int from) throws IOException {
    for (int n = from; n < RECORD_COUNT; n++) {
      change(n, n % 2 == 0);
    }
    for (int i = 0; i < 6000 && !isSettled(limits); i++) {
      packedRecords.flush(true);
      runOnce();
    }
    assertTrue(isSettled(limits));
  }

  @AfterEach
  void stop() {
    leader.cancel();
    root.cancel();
  }

  /** Guards against data loss when limits are lowered and the leader fails at any message. */
  @ParameterizedTest
  @CsvSource({"2,4", "1,2"})
  void loweredLimitsAndFailoverAtAnyMessageLoseNoRecords(double valueKb, int operations)
      throws IOException {
    loweredLimits = new KeyValueLimits(1e6, 1e6, valueKb, operations);
    for (int failoverAfter = 0; failoverAfter < 24; failoverAfter++) {
      start();
      confirmed.clear();
      fill();
      messageCount = 0;
      lowerLimitsAt = 1 + failoverAfter % 5;
      for (int step = 0; messageCount < failoverAfter && step < 400; step++) {
        change(step * 7 % RECORD_COUNT, step % 2 == 0);
        packedRecords.flush(true);
        runOnce();
      }
      startLeader();
      assertNothingLost();
      runUntilSettled(loweredLimits);
      stop();
    }
  }

  /** Guards against data loss through lost responses and delayed writes across failovers. */
  @Test
  void lostAndDelayedWritesAcrossFailoversLoseNoRecords() throws IOException {
    loweredLimits = new KeyValueLimits(1e6, 1e6, 2, 4);
    for (int seed = 0; seed < 12; seed++) {
      start();
      confirmed.clear();
      fill();
      Random random = new Random(seed);
      messageCount = 0;
      lowerLimitsAt = 1 + random.nextInt(10);
      faults = new Random(seed);
      // With every other seed, the first page has room.
      int from = seed % 2 * 20;
      for (int n = 0; n < from; n++) {
        remove(n);
      }
      for (int step = 0; step < 120; step++) {
        change(from + random.nextInt(RECORD_COUNT - from), random.nextBoolean());
        packedRecords.flush(random.nextInt(3) == 0);
        runOnce();
        if (random.nextInt(40) == 0) {
          startLeader();
        }
      }
      faults = null;
      runUntilSettled(loweredLimits, from);
      stop();
    }
  }

  /** Guards against a new leader that uses up the write rate by splitting all pages at once. */
  @Test
  void oversizedPagesAreSplitOnePerPass() throws IOException {
    loweredLimits = new KeyValueLimits(1e6, 1e6, 2, 4);
    start();
    fill();
    StoreLimits next = new StoreLimits(4, 2, 1e6);
    startLeader(next);
    int passes = 0;
    int maxChanges = 0;
    while (!isSettled(loweredLimits) && passes < 50) {
      long before = store.revision();
      packedRecords.flush(true);
      passes++;
      for (int i = 0; i < 40; i++) {
        runOnce();
      }
      maxChanges = Math.max(maxChanges, (int) (store.revision() - before));
    }
    // A page holds 5 records, so the pages of 24 and 12 records need four and two more pages.
    assertTrue(maxChanges <= 5, maxChanges + " changes in one pass");
    assertTrue(passes <= 5, passes + " passes");
    assertEquals(RECORD_COUNT, confirmed.size());
  }

  /** Guards against truncation of a stored record that no longer fits on any page. */
  @Test
  void oversizedRecordIsNotTruncated() throws IOException {
    loweredLimits = new KeyValueLimits(1e6, 1e6, 2, 4);
    start();
    Counter oversized = new Counter("big", 1);
    oversized.padding = 3000;
    counters.put("big", oversized);
    packedRecords.markChanged(oversized, true);
    fill(3);
    store.core().setLimits(loweredLimits, loop.now());
    int storedLength = ((String) store.value("p/00000").data().get("big")).length();
    assertTrue(storedLength > 3000);
    for (int n = 0; n < 30; n++) {
      change(n % RECORD_COUNT, true);
      oversized.count++;
      packedRecords.markChanged(oversized, n % 2 == 0);
      for (int i = 0; i < 20; i++) {
        packedRecords.flush(true);
        runOnce();
      }
    }
    assertEquals(storedLength, ((String) store.value("p/00000").data().get("big")).length());
    assertTrue(allWritten(), "all records are written to other pages");
    assertTrue(storedPages().size() < 20, storedPages().size() + " pages");
    packedRecords.remove("big", true);
    counters.remove("big");
    confirmed.remove("big");
    runUntilSettled(loweredLimits);
  }

  /** Guards against urgent writes that wait until an oversized page is completely split. */
  @Test
  void urgentRecordIsMovedBeforeRestOfOversizedPage() throws IOException {
    loweredLimits = new KeyValueLimits(1e6, 1e6, 2, 4);
    start();
    fill();
    store.core().setLimits(loweredLimits, loop.now());
    change(3, true);
    for (int i = 0; i < 6000 && !allWritten(); i++) {
      packedRecords.flush(false);
      runOnce();
    }
    assertTrue(allWritten());
    assertEquals(RECORD_COUNT, confirmed.size());
    assertTrue(store.value("p/00002").data().fields().containsKey("e003"));
    assertEquals(
        MessageBody.of().with("e003", "2+" + "x".repeat(PADDING)).fields(),
        store.value("p/00002").data().fields(),
        "only the urgent record has moved");
  }
}
