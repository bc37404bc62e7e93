package io.saltflow.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** What is decided while something else is being written down, and what is then answered. */
class PipelineTest {
  private static final Limits LIMITS = new Limits(1000, 1000, 8, 8);

  private final Time now = new Time(0);
  private final StateCore core = new StateCore(LIMITS, now);
  private final List<String> told = new ArrayList<>();

  private static Body put(String key, long x, long lease) {
    Body b = Body.of().with("put", key).with("data", Body.of().with("x", x));
    return lease == 0 ? b : b.with("tenancy", lease);
  }

  private static Body guard(String key, long stamp) {
    return Body.of().with("path", key).with("stamp", stamp);
  }

  private void commit(String name, List<Object> guards, Object... writes) throws BadMessage {
    Body txn = Body.of().with("guards", guards).with("writes", Arrays.asList(writes));
    core.commit(
        MsgPack.decode(MsgPack.encode(txn)),
        r -> told.add(name + " " + r.status() + (r.body() == null ? "" : " " + r.body().fields())));
  }

  /**
   * Two that want the same key while neither is durable: the second is refused, after the first.
   */
  @Test
  void requestsAreJudgedByWhatIsBeingWrittenDown() throws BadMessage {
    commit("first", List.of(guard("a", 0)), put("a", 1, 0));
    assertEquals(1, core.next().size());
    commit("second", List.of(guard("a", 0)), put("a", 2, 0));
    commit("third", List.of(guard("a", 2)), put("b", 3, 0));
    assertEquals(List.of(), told, "nothing is answered ahead of the record");
    assertNull(core.store().value("a"), "and reads see only what is durable");
    assertEquals(List.of(), core.next(), "one batch at a time");
    core.durable(now);
    assertEquals(List.of("first 200 {epoch=2}"), told.subList(0, 1));
    assertEquals(1, core.next().size());
    core.durable(now);
    assertEquals(
        List.of("first 200 {epoch=2}", "second 409 {failed=[a], epoch=2}", "third 200 {epoch=3}"),
        told);
  }

  /** What could not be written down never happened, and neither did what was judged upon it. */
  @Test
  void aFailedBatchTakesAllThatWasBuiltUponItAlong() throws BadMessage {
    commit("kept", List.of(), put("a", 1, 0));
    core.next();
    core.durable(now);
    commit("lost", List.of(guard("a", 2)), put("a", 2, 0));
    core.next();
    commit("upon", List.of(guard("a", 3)), put("b", 2, 0));
    core.failed();
    assertEquals(List.of("lost 503", "upon 503"), told.subList(1, 3));
    commit("again", List.of(guard("a", 2)), put("a", 4, 0));
    assertEquals(3, core.next().get(0).epoch(), "the same revision, since nobody saw the other");
    core.durable(now);
    assertEquals("again 200 {epoch=3}", told.get(3));
  }

  @Test
  void aLeaseThatEndsInThisBatchIsNeitherKeptNorSaidLostBeforeThat() throws BadMessage {
    core.grant(Body.of().with("ttlMs", 1000L), r -> told.add("grant " + r.status()));
    core.next();
    core.durable(now);
    commit("put", List.of(), put("a", 1, 1));
    core.next();
    core.durable(now);
    Time late = now.plus(Span.millis(1001));
    core.expire(late);
    core.extend(1, late, r -> told.add("extend " + r.status()));
    commit("use", List.of(), put("b", 1, 1));
    assertEquals(2, told.size(), "it is not known yet");
    core.next();
    core.failed();
    assertEquals(List.of("extend 503", "use 503"), told.subList(2, 4));
    core.extend(1, late, r -> told.add("extend " + r.status()));
    assertEquals("extend 200", told.get(4), "it never ended");
    assertNotNull(core.store().value("a"));
  }

  /** Where nothing can be written down: changes are refused, reads and renewals go on. */
  @Test
  void aStuckDiskEndsNoLease() throws BadMessage {
    core.grant(Body.of().with("ttlMs", 1000L), r -> {});
    core.next();
    core.durable(now);
    core.setStuck(true, now);
    commit("put", List.of(), put("a", 1, 0));
    commit("look", List.of(guard("a", 0)));
    core.release(1, r -> told.add("release " + r.status()));
    assertEquals(List.of("put 503", "look 200 {epoch=1}", "release 503"), told);
    Time later = now.plus(Span.seconds(60));
    core.expire(later);
    assertTrue(core.idle());
    core.setStuck(false, later);
    core.expire(later.plus(Span.millis(1000)));
    assertTrue(core.idle(), "its full time again");
    core.expire(later.plus(Span.millis(1001)));
    assertEquals(1, core.next().size());
  }

  /** A copy that is taken out in parts is of one moment, whatever changes meanwhile. */
  @Test
  void aCopyIsOfTheMomentItWasBegun() throws BadMessage {
    for (int seed = 0; seed < 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      KeyStore store = new KeyStore();
      TreeMap<String, String> then = new TreeMap<>();
      for (int i = 0; i < 30; i++) {
        change(store, random);
      }
      for (int k = 0; k < 20; k++) {
        if (store.value("k" + k) != null) {
          then.put("k" + k, "" + store.value("k" + k));
        }
      }
      KeyStore.Copy copy = store.copy();
      KeyStore other = new KeyStore();
      for (List<Step> part = copy.next(3); !part.isEmpty(); part = copy.next(3)) {
        part.forEach(s -> other.apply(s, now));
        change(store, random);
        change(store, random);
      }
      other.restored(copy.epoch());
      TreeMap<String, String> found = new TreeMap<>();
      for (int k = 0; k < 20; k++) {
        if (other.value("k" + k) != null) {
          found.put("k" + k, "" + other.value("k" + k));
        }
      }
      assertEquals(then, found, "seed " + seed);
      assertEquals(410, other.changes("", copy.epoch() - 1, true).status());
    }
  }

  private void change(KeyStore store, SplittableRandom random) {
    String key = "k" + random.nextInt(20);
    long epoch = store.epoch() + 1;
    Effect e =
        random.nextInt(3) == 0
            ? new Effect.Delete(key)
            : new Effect.Put(key, Body.of().with("x", epoch), 0);
    store.apply(new Step(epoch, List.of(e)), now);
  }

  @Test
  void stepsAreReadAsTheyWereWritten() throws BadMessage {
    Step s =
        new Step(
            9,
            List.of(
                new Effect.Grant(4, Span.millis(500)),
                new Effect.Put("a", MsgPack.decode(MsgPack.encode(Body.of().with("x", 1L))), 4),
                new Effect.Delete("b"),
                new Effect.End(3)));
    assertEquals(s.toString(), Step.decode(s.encode()).toString());
  }
}
