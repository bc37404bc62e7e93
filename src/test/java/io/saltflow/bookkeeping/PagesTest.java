package io.saltflow.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Loop;
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

/** Entries that share keys, and the order in which requests use the budget. */
class PagesTest {
  private record Value(Body data, long stamp) {}

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Map<String, Value> keys = new TreeMap<>();
  private final List<String> written = new ArrayList<>();
  private final List<Body> held = new ArrayList<>();
  private final Root root = new Root();
  private final List<String> recorded = new ArrayList<>();
  private boolean holdNext;
  private long epoch = 1;
  private Loop loop;
  private StateClient state;

  @BeforeEach
  void start() throws IOException {
    loop = new Loop();
    HttpServer server = new HttpServer(root, loop, Addresses.parse("127.0.0.1:0"), 16, this::serve);
    HttpClient http =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.port()), 4, 64);
    // Four writes a second, of which a transaction of books takes two in one go.
    state = new StateClient(root, loop, http, http, 1000, 4, new StateLimits(8, 2, 4));
  }

  @AfterEach
  void end() {
    root.cancel();
  }

  private void serve(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    try {
      if (target.startsWith("/kv?")) {
        answer.accept(HttpReply.of(200, MsgPack.encode(listing(target))));
        return;
      }
      if (method.equals("GET")) {
        Value v = keys.get(target.substring(4));
        Body found = Body.of().with("epoch", epoch);
        if (v != null) {
          found.with("data", v.data).with("stamp", v.stamp);
        }
        answer.accept(HttpReply.of(v == null ? 404 : 200, MsgPack.encode(found)));
        return;
      }
      Body txn = MsgPack.decode(body);
      if (holdNext) {
        // Its answer never comes, and it is carried out late.
        holdNext = false;
        held.add(txn);
        return;
      }
      answer.accept(HttpReply.of(apply(txn), MsgPack.encode(Body.of().with("epoch", epoch))));
    } catch (BadMessage e) {
      answer.accept(HttpReply.empty(400));
    }
  }

  /** Two keys a page, and a change between two pages. */
  private Body listing(String target) {
    String after = target.contains("after=") ? target.replaceAll(".*after=([^&]*).*", "$1") : "";
    List<Object> pairs = new ArrayList<>();
    for (Map.Entry<String, Value> e : keys.entrySet()) {
      if (e.getKey().compareTo(after) > 0 && pairs.size() < 2) {
        Value v = e.getValue();
        pairs.add(Body.of().with("path", e.getKey()).with("data", v.data).with("stamp", v.stamp));
      }
    }
    boolean more = pairs.size() == 2;
    return Body.of().with("pairs", pairs).with("truncated", more).with("epoch", epoch++);
  }

  private int apply(Body txn) throws BadMessage {
    for (Body guard : txn.maps("guards")) {
      Value v = keys.get(guard.text("path"));
      if ((v == null ? 0 : v.stamp) != guard.integer("stamp")) {
        return 409;
      }
    }
    epoch++;
    for (Body write : txn.maps("writes")) {
      written.add(write.text("put"));
      keys.put(write.text("put"), new Value(write.map("data"), epoch));
    }
    return 200;
  }

  private Pages<String> pages() {
    return new Pages<>(
        root,
        state,
        Txn::new,
        "p/",
        () -> new Span(0),
        loop::now,
        new Pages.Form<String>() {
          @Override
          public String name(String item) {
            return item;
          }

          @Override
          public Object encode(String item) {
            return "is " + item;
          }

          @Override
          public int longest(String item) {
            return 800;
          }

          @Override
          public boolean keeps(String item, Object value) {
            return true;
          }

          @Override
          public void written(List<String> items, List<Object> values, boolean ok) {
            if (ok) {
              recorded.addAll(items);
            }
          }
        });
  }

  private void runUntil(BooleanSupplier reached, Runnable step) throws IOException {
    for (int i = 0; i < 400 && !reached.getAsBoolean(); i++) {
      step.run();
      loop.after(Span.millis(20), root, loop::pause);
      loop.run();
    }
    assertTrue(reached.getAsBoolean());
  }

  /**
   * A write whose answer was lost is carried out after a later one of the same page: it must not
   * take the later entry away again, or a successor would not know of that machine.
   */
  @Test
  void lateWriteOfAPageDoesNotUndoALaterOne() throws IOException, BadMessage {
    Pages<String> pages = pages();
    holdNext = true;
    pages.changed("one", true);
    pages.flush(false);
    pages.changed("two", true);
    runUntil(() -> recorded.contains("two"), () -> pages.flush(false));
    assertEquals(Set.of("one", "two"), keys.get("p/00000").data.fields().keySet());
    assertEquals(409, apply(held.get(0)));
    assertEquals(Set.of("one", "two"), keys.get("p/00000").data.fields().keySet());
  }

  /** The same of a single key: a plan that has ended stays ended. */
  @Test
  void lateWriteOfAKeyDoesNotUndoALaterOne() throws IOException, BadMessage {
    KeyWrites writes = new KeyWrites(root, state, Txn::new);
    keys.put("plan/a", new Value(Body.of(), 1));
    writes.found("plan/a", new Stamp(1));
    holdNext = true;
    writes.write("plan/a", Body.of().with("says", "open"), ok -> assertFalse(ok));
    List<Boolean> told = new ArrayList<>();
    runUntil(
        () -> told.contains(true),
        () -> writes.write("plan/a", Body.of().with("says", "ended"), told::add));
    assertEquals(409, apply(held.get(0)));
    assertEquals("ended", keys.get("plan/a").data.get("says"));
  }

  @Test
  void pagesHoldWhatFitsAndAreUsedAgain() throws IOException {
    Pages<String> pages = pages();
    for (String item : List.of("a", "b", "c", "d", "e")) {
      pages.changed(item, true);
    }
    runUntil(() -> recorded.containsAll(List.of("a", "b", "c", "d", "e")), () -> pages.flush(true));
    assertEquals(Set.of("p/00000", "p/00001", "p/00002"), keys.keySet());
    pages.gone("a", true);
    pages.keepOnly(item -> !item.equals("b"));
    pages.changed("f", true);
    recorded.clear();
    runUntil(() -> recorded.contains("f"), () -> pages.flush(true));
    assertEquals(Set.of("f"), keys.get("p/00000").data.fields().keySet());
  }

  /**
   * Earlier versions marked a job in its own record. Taken for one that nobody launched, it would
   * be started while a machine of theirs still runs it.
   */
  @Test
  void recordOfAnEarlierVersionMayHaveBeenStarted() throws BadMessage {
    Body spec =
        Body.of()
            .with("id", "req-000001")
            .with("lane", "c")
            .with("crew", "red")
            .with("shape", "array")
            .with("urgency", "normal")
            .with("shards", 2L)
            .with("cores", 1.0)
            .with("gpus", 0.0)
            .with("ramGb", 1.0)
            .with("bundle", "i")
            .with("sizeGb", 1.0)
            .with("together", false)
            .with("apart", false)
            .with("loaners", true)
            .with("expectS", 10.0)
            .with("snapshotS", 0.0)
            .with("flushS", 0.0);
    Body record = Body.of().with("spec", spec).with("at", 5L);
    LeaderBooks.Inherited nothing = new LeaderBooks.Inherited();
    assertFalse(nothing.maybeStarted(JobStore.decode(sent(record), Stamp.ABSENT)));
    assertTrue(
        nothing.maybeStarted(JobStore.decode(sent(record.with("started", true)), Stamp.ABSENT)));
  }

  private static Body sent(Body body) throws BadMessage {
    return MsgPack.decode(MsgPack.encode(body));
  }

  /** A listing goes over pages, and what changed since its first page is watched for. */
  @Test
  void listingGoesOverPages() throws IOException {
    for (int i = 0; i < 7; i++) {
      keys.put("live/" + i, new Value(Body.of().with("n", (long) i), i + 1));
    }
    epoch = 100;
    List<StateClient.Listing> got = new ArrayList<>();
    state.list(StateClient.Rank.LEADERSHIP, "live/", got::add);
    runUntil(() -> !got.isEmpty(), () -> {});
    assertEquals(7, got.get(0).entries().size());
    assertEquals(100, got.get(0).revision());
    assertEquals(104, epoch);
  }

  /** Accepted and cancelled between two answers: it is not live, in whatever order that is told. */
  @Test
  void changesAreTakenInTheOrderInWhichTheyHappened() throws BadMessage {
    Body cancelled = Body.of().with("delete", "live/a").with("stamp", 433L);
    Body accepted = Body.of().with("put", "live/a").with("data", Body.of()).with("stamp", 432L);
    Body told = Body.of().with("epoch", 433L).with("news", List.of(cancelled, accepted));
    StateClient.Answer answer = new StateClient.Answer(200, sent(told), loop.now());
    assertEquals("live/a", answer.events().get(0).get("put"));
    assertEquals("live/a", answer.events().get(1).get("delete"));
  }

  /** What a launch waits for goes before users, and books go last, whoever asked first. */
  @Test
  void budgetGoesByRank() throws IOException {
    List<StateClient.Rank> order =
        List.of(StateClient.Rank.BOOKS, StateClient.Rank.USER, StateClient.Rank.SAFETY);
    for (int i = 0; i < 4; i++) {
      commit(StateClient.Rank.USER, "first" + i);
    }
    for (StateClient.Rank rank : order) {
      commit(rank, rank.name());
    }
    runUntil(() -> written.size() == 7, () -> {});
    assertEquals(List.of("SAFETY", "USER", "BOOKS"), written.subList(4, 7));
  }

  private void commit(StateClient.Rank rank, String key) {
    state.commit(rank, new Txn().put(key, Body.of()), Span.seconds(5), a -> {});
  }
}
