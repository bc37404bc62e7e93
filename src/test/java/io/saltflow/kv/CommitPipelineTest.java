package io.saltflow.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against replies and reads that reveal changes before they are durable. */
class CommitPipelineTest {
  private static final KeyValueLimits LIMITS = new KeyValueLimits(1000, 1000, 8, 8);

  private final MonotonicTime now = new MonotonicTime(0);
  private final KeyValueCore core = new KeyValueCore(LIMITS, now);
  private final List<String> replies = new ArrayList<>();

  private static MessageBody put(String key, long x, long lease) {
    MessageBody write =
        MessageBody.of().with("put", key).with("data", MessageBody.of().with("x", x));
    return lease == 0 ? write : write.with("tenancy", lease);
  }

  private static MessageBody guard(String key, long version) {
    return MessageBody.of().with("path", key).with("stamp", version);
  }

  private void commit(String name, List<Object> guards, Object... writes)
      throws InvalidMessageException {
    MessageBody transaction =
        MessageBody.of().with("guards", guards).with("writes", Arrays.asList(writes));
    core.commit(
        MessagePackCodec.decode(MessagePackCodec.encode(transaction)),
        reply ->
            replies.add(
                name
                    + " "
                    + reply.status()
                    + (reply.body() == null ? "" : " " + reply.body().fields())));
  }

  @Test
  void guardsAreEvaluatedAgainstPendingWrites() throws InvalidMessageException {
    commit("first", List.of(guard("a", 0)), put("a", 1, 0));
    assertEquals(1, core.nextGroup().size());
    commit("second", List.of(guard("a", 0)), put("a", 2, 0));
    commit("third", List.of(guard("a", 2)), put("b", 3, 0));
    assertEquals(List.of(), replies, "no reply is sent before the group is durable");
    assertNull(core.store().value("a"), "reads see only durable contents");
    assertEquals(List.of(), core.nextGroup(), "only one group is persisted at a time");
    core.onDurable(now);
    assertEquals(List.of("first 200 {epoch=2}"), replies.subList(0, 1));
    assertEquals(1, core.nextGroup().size());
    core.onDurable(now);
    assertEquals(
        List.of("first 200 {epoch=2}", "second 409 {failed=[a], epoch=2}", "third 200 {epoch=3}"),
        replies);
  }

  @Test
  void failedGroupFailsLaterRequests() throws InvalidMessageException {
    commit("durable", List.of(), put("a", 1, 0));
    core.nextGroup();
    core.onDurable(now);
    commit("failed", List.of(guard("a", 2)), put("a", 2, 0));
    core.nextGroup();
    commit("dependent", List.of(guard("a", 3)), put("b", 2, 0));
    core.onWriteFailed();
    assertEquals(List.of("failed 503", "dependent 503"), replies.subList(1, 3));
    commit("retry", List.of(guard("a", 2)), put("a", 4, 0));
    assertEquals(3, core.nextGroup().get(0).revision(), "revision of the failed group is reused");
    core.onDurable(now);
    assertEquals("retry 200 {epoch=3}", replies.get(3));
  }

  @Test
  void leaseIsNeitherRenewedNorReportedLostDuringRevocation() throws InvalidMessageException {
    core.grantLease(
        MessageBody.of().with("ttlMs", 1000L), reply -> replies.add("grant " + reply.status()));
    core.nextGroup();
    core.onDurable(now);
    commit("put", List.of(), put("a", 1, 1));
    core.nextGroup();
    core.onDurable(now);
    MonotonicTime afterExpiry = now.plus(TimeSpan.millis(1001));
    core.expireLeases(afterExpiry);
    core.renewLease(1, afterExpiry, reply -> replies.add("renew " + reply.status()));
    commit("attach", List.of(), put("b", 1, 1));
    assertEquals(2, replies.size(), "outcome of the revocation is not known yet");
    core.nextGroup();
    core.onWriteFailed();
    assertEquals(List.of("renew 503", "attach 503"), replies.subList(2, 4));
    core.renewLease(1, afterExpiry, reply -> replies.add("renew " + reply.status()));
    assertEquals("renew 200", replies.get(4), "lease still exists after the failed revocation");
    assertNotNull(core.store().value("a"));
  }

  @Test
  void noLeaseExpiresWhileWritesAreStalled() throws InvalidMessageException {
    core.grantLease(MessageBody.of().with("ttlMs", 1000L), reply -> {});
    core.nextGroup();
    core.onDurable(now);
    core.setWritesStalled(true, now);
    commit("put", List.of(), put("a", 1, 0));
    commit("check", List.of(guard("a", 0)));
    core.revokeLease(1, reply -> replies.add("revoke " + reply.status()));
    assertEquals(List.of("put 503", "check 200 {epoch=1}", "revoke 503"), replies);
    MonotonicTime stallEnd = now.plus(TimeSpan.seconds(60));
    core.expireLeases(stallEnd);
    assertTrue(core.isIdle());
    core.setWritesStalled(false, stallEnd);
    core.expireLeases(stallEnd.plus(TimeSpan.millis(1000)));
    assertTrue(core.isIdle(), "lease is renewed at the end of the stall");
    core.expireLeases(stallEnd.plus(TimeSpan.millis(1001)));
    assertEquals(1, core.nextGroup().size());
  }

  @Test
  void snapshotReadInPartsIsConsistentWhileStoreChanges() throws InvalidMessageException {
    for (int seed = 0; seed < 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      KeyValueStore store = new KeyValueStore();
      TreeMap<String, String> expected = new TreeMap<>();
      for (int i = 0; i < 30; i++) {
        applyRandomMutation(store, random);
      }
      for (int i = 0; i < 20; i++) {
        if (store.value("k" + i) != null) {
          expected.put("k" + i, "" + store.value("k" + i));
        }
      }
      KeyValueStore.SnapshotIterator snapshot = store.snapshot();
      KeyValueStore restored = new KeyValueStore();
      for (List<WriteBatch> part = snapshot.next(3); !part.isEmpty(); part = snapshot.next(3)) {
        part.forEach(batch -> restored.apply(batch, now));
        applyRandomMutation(store, random);
        applyRandomMutation(store, random);
      }
      restored.onRestored(snapshot.revision());
      TreeMap<String, String> actual = new TreeMap<>();
      for (int i = 0; i < 20; i++) {
        if (restored.value("k" + i) != null) {
          actual.put("k" + i, "" + restored.value("k" + i));
        }
      }
      assertEquals(expected, actual, "seed " + seed);
      assertEquals(410, restored.changesSince("", snapshot.revision() - 1, true).status());
    }
  }

  private void applyRandomMutation(KeyValueStore store, SplittableRandom random) {
    String key = "k" + random.nextInt(20);
    long revision = store.revision() + 1;
    Mutation mutation =
        random.nextInt(3) == 0
            ? new Mutation.Delete(key)
            : new Mutation.Put(key, MessageBody.of().with("x", revision), 0);
    store.apply(new WriteBatch(revision, List.of(mutation)), now);
  }

  @Test
  void writeBatchesRoundTrip() throws InvalidMessageException {
    WriteBatch batch =
        new WriteBatch(
            9,
            List.of(
                new Mutation.GrantLease(4, TimeSpan.millis(500)),
                new Mutation.Put(
                    "a",
                    MessagePackCodec.decode(
                        MessagePackCodec.encode(MessageBody.of().with("x", 1L))),
                    4),
                new Mutation.Delete("b"),
                new Mutation.RevokeLease(3)));
    assertEquals(batch.toString(), WriteBatch.decode(batch.encode()).toString());
  }
}
