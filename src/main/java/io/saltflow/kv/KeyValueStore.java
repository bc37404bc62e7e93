package io.saltflow.kv;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The durable contents of the key-value store, consisting of versioned keys, leases, and a bounded
 * change history for watches. {@link CommitPipeline} evaluates requests and applies the resulting
 * batches.
 */
public final class KeyValueStore {
  private static final int MAX_CHANGE_HISTORY = 10_000;
  private static final int MAX_LIST_ITEMS = 1000;
  private static final int MAX_LIST_BYTES = 512 * 1024;
  private static final int MAX_KEY_BYTES = 200;

  /**
   * The value of a key.
   *
   * @param modRevision the revision of the key's last change, which is its version
   * @param leaseId the lease that the key is attached to, or 0 if there is none
   */
  public record Value(MessageBody data, long modRevision, long leaseId) {}

  /** A change reported to watches. Its data is {@code null} if the key was deleted. */
  private record Change(String key, MessageBody data, long revision) {}

  private static final class Lease {
    final TimeSpan ttl;
    final Set<String> keys = new TreeSet<>();
    MonotonicTime expiresAt;

    Lease(TimeSpan ttl, MonotonicTime expiresAt) {
      this.ttl = ttl;
      this.expiresAt = expiresAt;
    }
  }

  private final NavigableMap<String, Value> values = new TreeMap<>();
  private final Map<Long, Lease> leases = new TreeMap<>();
  private final ArrayDeque<Change> changeHistory = new ArrayDeque<>();
  private long revision = 1;
  private long lastLeaseId;
  private long compactedRevision;
  private SnapshotIterator activeSnapshot;

  /** Returns the store's revision, which is that of the last change. */
  public long revision() {
    return revision;
  }

  /** Returns the value of a key, or {@code null} if it does not exist. */
  public Value value(String key) {
    return values.get(key);
  }

  /** Returns the number of keys. */
  public int size() {
    return values.size();
  }

  long lastLeaseId() {
    return lastLeaseId;
  }

  /** Returns a lease's time to live, or {@code null} if the lease does not exist. */
  TimeSpan leaseTtl(long leaseId) {
    Lease lease = leases.get(leaseId);
    return lease == null ? null : lease.ttl;
  }

  /** Returns the keys attached to a lease. */
  Set<String> attachedKeys(long leaseId) {
    Lease lease = leases.get(leaseId);
    return lease == null ? Set.of() : lease.keys;
  }

  /** Renews a lease and returns whether it exists. */
  boolean renew(long leaseId, MonotonicTime now) {
    Lease lease = leases.get(leaseId);
    if (lease != null) {
      lease.expiresAt = now.plus(lease.ttl);
    }
    return lease != null;
  }

  /** Renews all leases, for example after an outage or a restart. */
  public void renewAllLeases(MonotonicTime now) {
    leases.values().forEach(lease -> lease.expiresAt = now.plus(lease.ttl));
  }

  /** Returns the ids of the expired leases. */
  List<Long> expiredLeases(MonotonicTime now) {
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (now.after(lease.expiresAt)) {
            expired.add(id);
          }
        });
    return expired;
  }

  /** Applies a durable write batch. */
  public void apply(WriteBatch batch, MonotonicTime now) {
    revision = batch.revision();
    for (Mutation mutation : batch.mutations()) {
      if (mutation instanceof Mutation.Put put) {
        set(put.key(), new Value(put.data(), revision, put.leaseId()));
      } else if (mutation instanceof Mutation.Delete delete) {
        set(delete.key(), null);
      } else if (mutation instanceof Mutation.GrantLease grant) {
        leases.put(grant.leaseId(), new Lease(grant.ttl(), now.plus(grant.ttl())));
        lastLeaseId = Math.max(lastLeaseId, grant.leaseId());
      } else if (mutation instanceof Mutation.RevokeLease revoke) {
        leases.remove(revoke.leaseId());
      }
    }
    while (changeHistory.size() > MAX_CHANGE_HISTORY) {
      compactedRevision = changeHistory.poll().revision();
    }
  }

  private void set(String key, Value value) {
    Value before = value == null ? values.remove(key) : values.put(key, value);
    if (activeSnapshot != null) {
      activeSnapshot.preserve(key, before);
    }
    if (before != null && leases.containsKey(before.leaseId)) {
      leases.get(before.leaseId).keys.remove(key);
    }
    if (value != null && leases.containsKey(value.leaseId)) {
      leases.get(value.leaseId).keys.add(key);
    }
    if (before != null || value != null) {
      changeHistory.add(new Change(key, value == null ? null : value.data, revision));
    }
  }

  // ---- Reads

  /** Returns the reply to a read of one key, which has status 404 if the key does not exist. */
  public Reply get(String key) {
    if (!isValidKey(key)) {
      return Reply.malformed(Wire.KEY);
    }
    Value value = values.get(key);
    return value == null
        ? new Reply(404, MessageBody.of().with(Wire.REVISION, revision))
        : new Reply(200, item(key, value));
  }

  static boolean isValidKey(String key) {
    int bytes = key.getBytes(StandardCharsets.UTF_8).length;
    return bytes >= 1 && bytes <= MAX_KEY_BYTES && key.indexOf(' ') < 0;
  }

  private static MessageBody item(String key, Value value) {
    MessageBody item =
        MessageBody.of()
            .with(Wire.KEY, key)
            .with(Wire.VALUE, value.data)
            .with(Wire.VERSION, value.modRevision);
    return value.leaseId == 0 ? item : item.with(Wire.LEASE, value.leaseId);
  }

  /** Returns the reply with a page of the keys that have a prefix and sort after a given key. */
  public Reply list(String prefix, String after, int pageSize) {
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    for (Map.Entry<String, Value> entry : values.tailMap(from, !from.equals(after)).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      MessageBody item = item(entry.getKey(), entry.getValue());
      bytes += JsonSize.of(item);
      if (items.size() >= Math.min(pageSize, MAX_LIST_ITEMS)
          || (bytes > MAX_LIST_BYTES && !items.isEmpty())) {
        more = true;
        break;
      }
      items.add(item);
    }
    return new Reply(
        200,
        MessageBody.of()
            .with(Wire.ITEMS, items)
            .with(Wire.TRUNCATED, more)
            .with(Wire.REVISION, revision));
  }

  /**
   * Returns the reply with the changes to keys with a prefix after a revision. It has status 410 if
   * the history no longer holds all of them.
   *
   * @param evenIfNone whether to return a reply if there are no changes, instead of {@code null}
   */
  public Reply changesSince(String prefix, long after, boolean evenIfNone) {
    if (after < compactedRevision) {
      return Reply.of(410);
    }
    ArrayDeque<Object> events = new ArrayDeque<>();
    for (Iterator<Change> newestFirst = changeHistory.descendingIterator();
        newestFirst.hasNext(); ) {
      Change change = newestFirst.next();
      if (change.revision() <= after) {
        break;
      }
      if (change.key().startsWith(prefix)) {
        MessageBody event = MessageBody.of();
        if (change.data() == null) {
          event.with(Wire.DELETE, change.key());
        } else {
          event.with(Wire.PUT, change.key()).with(Wire.VALUE, change.data());
        }
        events.addFirst(event.with(Wire.VERSION, change.revision()));
      }
    }
    if (events.isEmpty() && !evenIfNone) {
      return null;
    }
    return new Reply(
        200,
        MessageBody.of().with(Wire.REVISION, revision).with(Wire.EVENTS, new ArrayList<>(events)));
  }

  // ---- Snapshots

  /**
   * Begins a snapshot by returning an iterator over the current contents. Values that change before
   * the iterator reaches them are preserved for it. Only one snapshot can be active at a time.
   */
  public SnapshotIterator snapshot() {
    activeSnapshot = new SnapshotIterator();
    return activeSnapshot;
  }

  /** Iterates over a snapshot of the store in parts while the store may change. */
  public final class SnapshotIterator {
    private final TreeMap<String, Value> preserved = new TreeMap<>();
    private final List<WriteBatch> leaseBatches = new ArrayList<>();
    private final long snapshotRevision = revision;
    private String lastKey = "";

    private SnapshotIterator() {
      List<Mutation> leaseMutations = new ArrayList<>();
      leases.forEach((id, lease) -> leaseMutations.add(new Mutation.GrantLease(id, lease.ttl)));
      if (lastLeaseId > 0 && !leases.containsKey(lastLeaseId)) {
        // The lease is gone, but its id must not be granted again.
        leaseMutations.add(new Mutation.GrantLease(lastLeaseId, new TimeSpan(1)));
        leaseMutations.add(new Mutation.RevokeLease(lastLeaseId));
      }
      // Added even without leases, since no remaining key has the store's revision if the last
      // change was a delete.
      leaseBatches.add(new WriteBatch(snapshotRevision, leaseMutations));
    }

    private void preserve(String key, Value value) {
      if (key.compareTo(lastKey) > 0 && !preserved.containsKey(key)) {
        preserved.put(key, value);
      }
    }

    /**
     * Returns the next part. The first part holds the revision and the leases, and later parts hold
     * up to {@code maxKeys} keys each. An empty part ends the snapshot.
     */
    public List<WriteBatch> next(int maxKeys) {
      if (!leaseBatches.isEmpty()) {
        List<WriteBatch> batches = List.copyOf(leaseBatches);
        leaseBatches.clear();
        return batches;
      }
      List<WriteBatch> part = new ArrayList<>();
      Iterator<String> currentKeys = values.tailMap(lastKey, false).keySet().iterator();
      Iterator<String> preservedKeys = preserved.tailMap(lastKey, false).keySet().iterator();
      String currentKey = nextOrNull(currentKeys);
      String preservedKey = nextOrNull(preservedKeys);
      while (part.size() < maxKeys && (currentKey != null || preservedKey != null)) {
        String key =
            preservedKey == null || (currentKey != null && currentKey.compareTo(preservedKey) <= 0)
                ? currentKey
                : preservedKey;
        Value value = preserved.containsKey(key) ? preserved.get(key) : values.get(key);
        if (value != null) {
          part.add(
              new WriteBatch(
                  value.modRevision, List.of(new Mutation.Put(key, value.data, value.leaseId))));
        }
        currentKey = key.equals(currentKey) ? nextOrNull(currentKeys) : currentKey;
        preservedKey = key.equals(preservedKey) ? nextOrNull(preservedKeys) : preservedKey;
        lastKey = key;
      }
      preserved.headMap(lastKey, true).clear();
      if (part.isEmpty()) {
        close();
      }
      return part;
    }

    /** Ends the snapshot early, so that values are no longer preserved for it. */
    public void close() {
      if (activeSnapshot == this) {
        activeSnapshot = null;
      }
    }

    private static String nextOrNull(Iterator<String> iterator) {
      return iterator.hasNext() ? iterator.next() : null;
    }

    /** Returns the store's revision at the start of the snapshot. */
    public long revision() {
      return snapshotRevision;
    }
  }

  /** Sets the revision after a snapshot was restored, and discards the change history before it. */
  public void onRestored(long atRevision) {
    revision = atRevision;
    changeHistory.clear();
    compactedRevision = atRevision;
  }
}
