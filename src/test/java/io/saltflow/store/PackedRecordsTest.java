package io.saltflow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests packed records, guarded keys, listings, watches and request priorities. */
class PackedRecordsTest {
  private record StoredValue(MessageBody body, long revision) {}

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Map<String, StoredValue> stored = new TreeMap<>();
  private final List<String> written = new ArrayList<>();
  private final List<MessageBody> delayedTransactions = new ArrayList<>();
  private final Root root = new Root();
  private final List<String> confirmedRecords = new ArrayList<>();
  private boolean delayNext;
  private long epoch = 1;
  private EventLoop loop;
  private KeyValueClient client;

  @BeforeEach
  void startStore() throws IOException {
    loop = new EventLoop();
    HttpServer server = new HttpServer(root, loop, Addresses.parse("127.0.0.1:0"), 16, this::serve);
    HttpClient http =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.port()), 4, 64);
    // Four writes per second, of which a background write requires two to be available.
    client = new KeyValueClient(root, loop, http, http, 1000, 4, new StoreLimits(8, 2, 4));
  }

  @AfterEach
  void stopStore() {
    root.cancel();
  }

  private void serve(String method, String target, byte[] body, Consumer<HttpResponse> reply) {
    try {
      if (target.startsWith("/kv?")) {
        reply.accept(HttpResponse.of(200, MessagePackCodec.encode(listing(target))));
        return;
      }
      if (method.equals("GET")) {
        StoredValue value = stored.get(target.substring(4));
        MessageBody found = MessageBody.of().with("epoch", epoch);
        if (value != null) {
          found.with("data", value.body).with("stamp", value.revision);
        }
        reply.accept(HttpResponse.of(value == null ? 404 : 200, MessagePackCodec.encode(found)));
        return;
      }
      MessageBody transaction = MessagePackCodec.decode(body);
      if (delayNext) {
        // The response is lost, and the transaction is executed later.
        delayNext = false;
        delayedTransactions.add(transaction);
        return;
      }
      reply.accept(
          HttpResponse.of(
              apply(transaction), MessagePackCodec.encode(MessageBody.of().with("epoch", epoch))));
    } catch (InvalidMessageException exception) {
      reply.accept(HttpResponse.empty(400));
    }
  }

  /** Returns a page of two keys, and advances the revision after each page. */
  private MessageBody listing(String target) {
    String after = target.contains("after=") ? target.replaceAll(".*after=([^&]*).*", "$1") : "";
    List<Object> pairs = new ArrayList<>();
    for (Map.Entry<String, StoredValue> entry : stored.entrySet()) {
      if (entry.getKey().compareTo(after) > 0 && pairs.size() < 2) {
        StoredValue value = entry.getValue();
        pairs.add(
            MessageBody.of()
                .with("path", entry.getKey())
                .with("data", value.body)
                .with("stamp", value.revision));
      }
    }
    boolean more = pairs.size() == 2;
    return MessageBody.of().with("pairs", pairs).with("truncated", more).with("epoch", epoch++);
  }

  private int apply(MessageBody transaction) throws InvalidMessageException {
    for (MessageBody guard : transaction.maps("guards")) {
      StoredValue value = stored.get(guard.text("path"));
      if ((value == null ? 0 : value.revision) != guard.integer("stamp")) {
        return 409;
      }
    }
    epoch++;
    for (MessageBody write : transaction.maps("writes")) {
      written.add(write.text("put"));
      stored.put(write.text("put"), new StoredValue(write.map("data"), epoch));
    }
    return 200;
  }

  private PackedRecords<String> newPackedRecords() {
    return new PackedRecords<>(
        root,
        client,
        Transaction::new,
        "p/",
        () -> new TimeSpan(0),
        loop::now,
        new RecordFormat<String>() {
          @Override
          public String name(String record) {
            return record;
          }

          @Override
          public Object encode(String record) {
            return "is " + record;
          }

          @Override
          public int maxEncodedBytes(String record) {
            return 800;
          }

          @Override
          public boolean retainsAll(String record, Object value) {
            return true;
          }

          @Override
          public void onWritten(List<String> records, List<Object> values, boolean confirmed) {
            if (confirmed) {
              confirmedRecords.addAll(records);
            }
          }
        });
  }

  private void runUntil(BooleanSupplier condition, Runnable step) throws IOException {
    for (int i = 0; i < 400 && !condition.getAsBoolean(); i++) {
      step.run();
      loop.schedule(TimeSpan.millis(20), root, loop::pause);
      loop.run();
    }
    assertTrue(condition.getAsBoolean());
  }

  /** Guards against a delayed page write that removes a record which a later write has added. */
  @Test
  void delayedPageWriteDoesNotOverwriteLaterWrite() throws IOException, InvalidMessageException {
    PackedRecords<String> packedRecords = newPackedRecords();
    delayNext = true;
    packedRecords.markChanged("one", true);
    packedRecords.flush(false);
    packedRecords.markChanged("two", true);
    runUntil(() -> confirmedRecords.contains("two"), () -> packedRecords.flush(false));
    assertEquals(Set.of("one", "two"), stored.get("p/00000").body.fields().keySet());
    assertEquals(409, apply(delayedTransactions.get(0)));
    assertEquals(Set.of("one", "two"), stored.get("p/00000").body.fields().keySet());
  }

  /** Guards against a delayed write that reopens an ended plan. */
  @Test
  void delayedKeyWriteDoesNotOverwriteLaterWrite() throws IOException, InvalidMessageException {
    GuardedKeyWriter writer = new GuardedKeyWriter(root, client, Transaction::new);
    stored.put("plan/a", new StoredValue(MessageBody.of(), 1));
    writer.restore("plan/a", new Revision(1));
    delayNext = true;
    writer.write(
        "plan/a", MessageBody.of().with("says", "open"), confirmed -> assertFalse(confirmed));
    List<Boolean> results = new ArrayList<>();
    runUntil(
        () -> results.contains(true),
        () -> writer.write("plan/a", MessageBody.of().with("says", "ended"), results::add));
    assertEquals(409, apply(delayedTransactions.get(0)));
    assertEquals("ended", stored.get("plan/a").body.get("says"));
  }

  @Test
  void recordsFillPagesAndReuseFreedSpace() throws IOException {
    PackedRecords<String> packedRecords = newPackedRecords();
    for (String record : List.of("a", "b", "c", "d", "e")) {
      packedRecords.markChanged(record, true);
    }
    runUntil(
        () -> confirmedRecords.containsAll(List.of("a", "b", "c", "d", "e")),
        () -> packedRecords.flush(true));
    assertEquals(Set.of("p/00000", "p/00001", "p/00002"), stored.keySet());
    packedRecords.remove("a", true);
    packedRecords.retainOnly(record -> !record.equals("b"));
    packedRecords.markChanged("f", true);
    confirmedRecords.clear();
    runUntil(() -> confirmedRecords.contains("f"), () -> packedRecords.flush(true));
    assertEquals(Set.of("f"), stored.get("p/00000").body.fields().keySet());
  }

  private static MessageBody encodeAndDecode(MessageBody body) throws InvalidMessageException {
    return MessagePackCodec.decode(MessagePackCodec.encode(body));
  }

  /** Guards against missed changes: the listing has the revision of its first page. */
  @Test
  void listingOfSeveralPagesHasRevisionOfFirstPage() throws IOException {
    for (int i = 0; i < 7; i++) {
      stored.put("live/" + i, new StoredValue(MessageBody.of().with("n", (long) i), i + 1));
    }
    epoch = 100;
    List<KeyValueClient.PrefixListing> listings = new ArrayList<>();
    client.list(KeyValueClient.RequestPriority.LEADERSHIP, "live/", listings::add);
    runUntil(() -> !listings.isEmpty(), () -> {});
    assertEquals(7, listings.get(0).entries().size());
    assertEquals(100, listings.get(0).revision());
    assertEquals(104, epoch);
  }

  /** Guards against a cancelled job that stays live because its events arrive in reverse order. */
  @Test
  void watchEventsAreSortedByRevision() throws InvalidMessageException {
    MessageBody cancelled = MessageBody.of().with("delete", "live/a").with("stamp", 433L);
    MessageBody accepted =
        MessageBody.of().with("put", "live/a").with("data", MessageBody.of()).with("stamp", 432L);
    MessageBody watchBody =
        MessageBody.of().with("epoch", 433L).with("news", List.of(cancelled, accepted));
    KeyValueClient.StoreResponse response =
        new KeyValueClient.StoreResponse(200, encodeAndDecode(watchBody), loop.now());
    assertEquals("live/a", response.events().get(0).get("put"));
    assertEquals("live/a", response.events().get(1).get("delete"));
  }

  @Test
  void queuedWritesAreSentByPriority() throws IOException {
    List<KeyValueClient.RequestPriority> order =
        List.of(
            KeyValueClient.RequestPriority.BACKGROUND,
            KeyValueClient.RequestPriority.USER,
            KeyValueClient.RequestPriority.SAFETY);
    for (int i = 0; i < 4; i++) {
      commit(KeyValueClient.RequestPriority.USER, "first" + i);
    }
    for (KeyValueClient.RequestPriority priority : order) {
      commit(priority, priority.name());
    }
    runUntil(() -> written.size() == 7, () -> {});
    assertEquals(List.of("SAFETY", "USER", "BACKGROUND"), written.subList(4, 7));
  }

  private void commit(KeyValueClient.RequestPriority priority, String key) {
    client.commit(
        priority,
        new Transaction().put(key, MessageBody.of()),
        TimeSpan.seconds(5),
        response -> {});
  }
}
