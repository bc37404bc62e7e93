package io.saltflow.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.Reply;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the rules of the key-value store protocol. */
class EmulatedKeyValueStoreTest {
  private static final KeyValueLimits LIMITS = new KeyValueLimits(100, 10, 1, 4);
  private static final MessageBody DATA = MessageBody.of().with("x", 1L);

  private MonotonicTime now = new MonotonicTime(0);
  private EmulatedKeyValueStore store = new EmulatedKeyValueStore(LIMITS, batches -> {}, now);

  private static MessageBody put(String key, Object... lease) {
    MessageBody write = MessageBody.of().with("put", key).with("data", DATA);
    return lease.length == 0 ? write : write.with("tenancy", lease[0]);
  }

  private Reply commit(List<Object> guards, Object... writes) throws InvalidMessageException {
    MessageBody txn = MessageBody.of().with("guards", guards).with("writes", Arrays.asList(writes));
    return store.commit(MessagePackCodec.decode(MessagePackCodec.encode(txn)));
  }

  private static MessageBody guard(String key, long stamp) {
    return MessageBody.of().with("path", key).with("stamp", stamp);
  }

  private long lease(long ttlMs) throws InvalidMessageException {
    return (Long)
        store.grantLease(MessageBody.of().with("ttlMs", ttlMs), now).body().get("tenancy");
  }

  @Test
  void transactionAppliesAllWritesOrNone() throws InvalidMessageException {
    assertEquals(200, commit(List.of(guard("a", 0)), put("a"), put("b")).status());
    assertEquals(store.value("a").modRevision(), store.value("b").modRevision(), "one revision");
    Reply conflict = commit(List.of(guard("a", 0), guard("b", 9)), put("c"));
    assertEquals(409, conflict.status());
    assertEquals(List.of("a", "b"), conflict.body().get("failed"));
    assertNull(store.value("c"));
    assertEquals(200, commit(List.of(guard("a", store.value("a").modRevision()))).status());
    assertEquals(404, store.get("c").status());
    assertEquals(400, store.get("has space").status());
    assertEquals(400, commit(List.of(), put("k".repeat(201))).status());
  }

  @Test
  void oversizedTransactionsAndValuesAreRejected() throws InvalidMessageException {
    assertEquals(400, commit(List.of(), put("1"), put("2"), put("3"), put("4"), put("5")).status());
    MessageBody big =
        MessageBody.of()
            .with("put", "b")
            .with("data", MessageBody.of().with("t", "z".repeat(1016)));
    assertEquals(200, commit(List.of(), big).status(), "exactly 1024 bytes as JSON");
    big.with("data", MessageBody.of().with("t", "z".repeat(1017)));
    assertEquals(400, commit(List.of(), big).status());
  }

  @Test
  void rateLimitAllowsBurstOfOneSecond() {
    for (int i = 0; i < 10; i++) {
      assertNull(store.rejection(1, now));
    }
    assertEquals(429, store.rejection(1, now).status());
    assertNull(store.rejection(0, now), "reads do not count as writes");
    now = now.plus(TimeSpan.millis(100));
    assertNull(store.rejection(1, now));
    assertEquals(429, store.rejection(1, now).status());
  }

  @Test
  void leaseExpiresAfterItsDurationAndDeletesItsKeys() throws InvalidMessageException {
    long id = lease(1000);
    assertEquals(200, commit(List.of(), put("leased", id), put("free")).status());
    now = now.plus(TimeSpan.millis(900));
    assertEquals(200, store.renewLease(id, now).status());
    now = now.plus(TimeSpan.millis(1000));
    store.expireLeases(now);
    assertNotNull(store.value("leased"));
    now = now.plus(TimeSpan.millis(1));
    store.expireLeases(now);
    assertNull(store.value("leased"));
    assertNotNull(store.value("free"));
    assertEquals(404, store.renewLease(id, now).status());
    assertEquals("no such lease", commit(List.of(), put("leased", id)).body().get("error"));
    assertEquals(400, store.grantLease(MessageBody.of().with("ttlMs", 99L), now).status());
  }

  /** A put without a lease detaches the key, and an outage restarts the duration of every lease. */
  @Test
  void detachedKeysRemainAndOutageRenewsLeases() throws InvalidMessageException {
    long id = lease(1000);
    commit(List.of(), put("a", id), put("b", id));
    commit(List.of(), put("b"));
    store.setDown(true, now);
    assertEquals(503, store.rejection(0, now).status());
    now = now.plus(TimeSpan.seconds(30));
    store.expireLeases(now);
    store.setDown(false, now);
    now = now.plus(TimeSpan.millis(1000));
    store.expireLeases(now);
    assertNotNull(store.value("a"));
    assertEquals(200, store.revokeLease(id).status());
    assertNull(store.value("a"));
    assertNotNull(store.value("b"));
  }

  @Test
  void watchReturnsEveryChangeOrReportsGap() throws InvalidMessageException {
    long before = store.revision();
    commit(List.of(), put("c/1"), put("d/1"));
    commit(
        List.of(),
        MessageBody.of().with("delete", "c/1"),
        MessageBody.of().with("delete", "c/none"));
    Reply changes = store.changes("c/", before, false);
    assertEquals(2, ((List<?>) changes.body().get("news")).size());
    assertNull(store.changes("c/", store.revision(), false), "the watch waits");
    assertEquals(200, store.changes("c/", store.revision(), true).status());
    for (int i = 0; i < 10_001; i++) {
      commit(List.of(), put("many"));
    }
    assertEquals(410, store.changes("c/", before, true).status());
    assertEquals(200, store.changes("c/", store.revision() - 10_000, true).status());
  }

  @Test
  void listIsPaginated() throws InvalidMessageException {
    for (int i = 0; i < 5; i++) {
      commit(List.of(), put("p/" + i));
    }
    commit(List.of(), put("q"));
    MessageBody first = store.list("p/", "", 3).body();
    assertEquals(3, ((List<?>) first.get("pairs")).size());
    assertEquals(true, first.get("truncated"));
    MessageBody rest = store.list("p/", "p/2", 3).body();
    assertEquals(2, ((List<?>) rest.get("pairs")).size());
    assertEquals(false, rest.get("truncated"));
  }

  @Test
  void writeIsRejectedWhenJournalFails() throws InvalidMessageException {
    store =
        new EmulatedKeyValueStore(
            LIMITS,
            batches -> {
              throw new IOException("No space left on device");
            },
            now);
    assertEquals(503, commit(List.of(), put("a")).status());
    assertNull(store.value("a"));
  }
}
