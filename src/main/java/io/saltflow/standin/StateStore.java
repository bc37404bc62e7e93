package io.saltflow.standin;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Budget;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The state service's section of PROTOCOL: versions, guards, leases, kept changes and limits, on
 * one node. A deterministic core that is told the time; {@link StateFront} is its shell.
 */
public final class StateStore {
  private static final int MOST_KEPT_CHANGES = 10_000;
  private static final int MOST_ITEMS = 1000;
  private static final int MOST_LIST_BYTES = 512 * 1024;
  private static final int MOST_TXN_BYTES = 64 * 1024;
  private static final int MOST_KEY_BYTES = 200;
  private static final int GUARDS_PER_WRITE = 4;
  private static final long LEAST_TTL_MS = 100;
  private static final long MOST_TTL_MS = 600_000;

  /** What PROTOCOL's settings give: requests and changes a second, KiB a value, changes at once. */
  public record Limits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** A key's value, the revision of its last change, and its lease (0: none). */
  public record Value(Body data, long stamp, long lease) {}

  /** A change that watches are told of; data null: the key was deleted. */
  public record Change(String key, Body data, long stamp) {}

  /** What a request came to: a status and a body, or null for none. */
  public record Reply(int status, Body body) {
    static Reply of(int status) {
      return new Reply(status, null);
    }

    static Reply malformed(String why) {
      return new Reply(400, Body.of().with(Wire.ERROR, why));
    }
  }

  /** Where each change is made durable before it is answered. */
  public interface Journal {
    void append(long epoch, List<Write> writes) throws IOException;
  }

  /** A put (data not null) or a delete; ttl null: the key is under no lease. */
  public record Write(String key, Body data, long lease, Span ttl) {}

  private static final class Lease {
    final Span ttl;
    Time due;

    Lease(Span ttl, Time due) {
      this.ttl = ttl;
      this.due = due;
    }
  }

  private final Limits limits;
  private final Journal journal;
  private final NavigableMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new TreeMap<>();
  private final ArrayDeque<Change> kept = new ArrayDeque<>();
  private final Budget requests;
  private final Budget writes;
  private long epoch = 1;
  private long lastLease;
  private long forgottenUpTo;
  private boolean down;

  public StateStore(Limits limits, Journal journal, Time now) {
    this.limits = limits;
    this.journal = journal;
    requests = new Budget(limits.rps(), limits.rps(), now);
    writes = new Budget(limits.writeRps(), limits.writeRps(), now);
  }

  /** What a former process wrote down: leases have their full time again. */
  public void restore(long formerEpoch, List<Write> former, Time now) {
    for (Write w : former) {
      if (w.ttl() != null) {
        leases.computeIfAbsent(w.lease(), id -> new Lease(w.ttl(), now.plus(w.ttl())));
        lastLease = Math.max(lastLease, w.lease());
      }
      keys.put(w.key(), new Value(w.data(), formerEpoch, w.lease()));
    }
    epoch = Math.max(epoch, formerEpoch);
    forgottenUpTo = epoch;
  }

  /** Everything that a next process needs. */
  public List<Write> contents() {
    List<Write> out = new ArrayList<>(keys.size());
    keys.forEach((k, v) -> out.add(new Write(k, v.data, v.lease, ttl(v.lease))));
    return out;
  }

  private Span ttl(long lease) {
    return leases.containsKey(lease) ? leases.get(lease).ttl : null;
  }

  public long epoch() {
    return epoch;
  }

  /** The value of a key, or null. */
  public Value value(String key) {
    return keys.get(key);
  }

  public int size() {
    return keys.size();
  }

  /** An outage begins or ends; at its end every lease has its full time again. */
  public void setDown(boolean isDown, Time now) {
    if (down && !isDown) {
      leases.values().forEach(l -> l.due = now.plus(l.ttl));
    }
    down = isDown;
  }

  public boolean down() {
    return down;
  }

  /** Null when the request is within the rates and the service is up; else its answer. */
  public Reply refusal(int writeCount, Time now) {
    if (down) {
      return Reply.of(503);
    }
    if (!requests.take(1, now)) {
      return Reply.of(429);
    }
    return writeCount > 0 && !writes.take(writeCount, now) ? Reply.of(429) : null;
  }

  public Reply get(String key) {
    if (!validKey(key)) {
      return Reply.malformed(Wire.KEY);
    }
    Value v = keys.get(key);
    return v == null
        ? new Reply(404, Body.of().with(Wire.REVISION, epoch))
        : new Reply(200, item(key, v));
  }

  private static Body item(String key, Value v) {
    Body b = Body.of().with(Wire.KEY, key).with(Wire.VALUE, v.data).with(Wire.VERSION, v.stamp);
    return v.lease == 0 ? b : b.with(Wire.LEASE, v.lease);
  }

  /** A page of the keys with the prefix that come after the given one. */
  public Reply list(String prefix, String after, int page) {
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    for (Map.Entry<String, Value> e : keys.tailMap(from, !from.equals(after)).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      Body item = item(e.getKey(), e.getValue());
      bytes += JsonSize.of(item);
      if (items.size() >= Math.min(page, MOST_ITEMS)
          || (bytes > MOST_LIST_BYTES && !items.isEmpty())) {
        more = true;
        break;
      }
      items.add(item);
    }
    return new Reply(
        200, Body.of().with(Wire.ITEMS, items).with(Wire.MORE, more).with(Wire.REVISION, epoch));
  }

  /** How many changes a transaction asks for, which count against the rate even when it fails. */
  public static int writeCount(Body txn) {
    return txn.get(Wire.WRITES) instanceof List<?> l ? l.size() : 0;
  }

  /** All of the writes or none, if every guard holds. */
  public Reply commit(Body txn) throws BadMessage {
    List<Body> guards = txn.get(Wire.GUARDS) == null ? List.of() : txn.maps(Wire.GUARDS);
    List<Body> asked = txn.get(Wire.WRITES) == null ? List.of() : txn.maps(Wire.WRITES);
    if (asked.size() > limits.txnOps() || guards.size() > limits.txnOps() * GUARDS_PER_WRITE) {
      return Reply.malformed("more than a transaction may hold");
    }
    if (JsonSize.of(txn) > MOST_TXN_BYTES) {
      return Reply.malformed("the transaction is too large");
    }
    List<Write> changes = new ArrayList<>();
    for (Body w : asked) {
      String put = w.textOr(Wire.PUT, null);
      String key = put == null ? w.text(Wire.DELETE) : put;
      if (!validKey(key)) {
        return Reply.malformed(Wire.KEY);
      }
      long lease = put == null ? 0 : w.integerOr(Wire.LEASE, 0);
      Body data = put == null ? null : w.map(Wire.VALUE);
      if (data != null && JsonSize.of(data) > limits.valueKb() * 1024) {
        return Reply.malformed(key + ": the value is too large");
      }
      if (lease != 0 && !leases.containsKey(lease)) {
        return Reply.malformed(Wire.NO_SUCH_LEASE);
      }
      changes.add(new Write(key, data, lease, ttl(lease)));
    }
    List<String> failed = new ArrayList<>();
    for (Body g : guards) {
      String key = g.text(Wire.KEY);
      Value v = keys.get(key);
      if ((v == null ? 0 : v.stamp) != g.integer(Wire.VERSION)) {
        failed.add(key);
      }
    }
    if (!failed.isEmpty()) {
      return new Reply(409, Body.of().with(Wire.FAILED, failed).with(Wire.REVISION, epoch));
    }
    if (!changes.isEmpty() && !apply(changes)) {
      return Reply.of(503);
    }
    return new Reply(200, Body.of().with(Wire.REVISION, epoch));
  }

  /** False when it could not be made durable: then nothing has changed. */
  private boolean apply(List<Write> changes) {
    try {
      journal.append(epoch + 1, changes);
    } catch (IOException e) {
      return false;
    }
    epoch++;
    for (Write w : changes) {
      boolean there =
          w.data() == null
              ? keys.remove(w.key()) != null
              : keys.put(w.key(), new Value(w.data(), epoch, w.lease())) != null;
      if (there || w.data() != null) {
        kept.add(new Change(w.key(), w.data(), epoch));
      }
    }
    while (kept.size() > MOST_KEPT_CHANGES) {
      forgottenUpTo = kept.poll().stamp();
    }
    return true;
  }

  private static boolean validKey(String key) {
    int bytes = key.getBytes(StandardCharsets.UTF_8).length;
    return bytes >= 1 && bytes <= MOST_KEY_BYTES && key.indexOf(' ') < 0;
  }

  public Reply grant(Body request, Time now) throws BadMessage {
    long ttl = request.integer(Wire.TTL_MS);
    if (ttl < LEAST_TTL_MS || ttl > MOST_TTL_MS) {
      return Reply.malformed(Wire.TTL_MS + ": out of range");
    }
    Span span = new Span(ttl);
    leases.put(++lastLease, new Lease(span, now.plus(span)));
    return new Reply(200, Body.of().with(Wire.LEASE, lastLease));
  }

  public Reply extend(long id, Time now) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return Reply.of(404);
    }
    lease.due = now.plus(lease.ttl);
    return new Reply(200, Body.of().with(Wire.LEASE, id));
  }

  public Reply release(long id) {
    return leases.containsKey(id) && end(id) ? new Reply(200, Body.of()) : Reply.of(404);
  }

  /** Leases that were not renewed end, and the keys attached to them are removed. */
  public void expire(Time now) {
    if (down) {
      return;
    }
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (now.after(lease.due)) {
            ended.add(id);
          }
        });
    ended.forEach(this::end);
  }

  private boolean end(long id) {
    List<Write> removals = new ArrayList<>();
    keys.forEach(
        (k, v) -> {
          if (v.lease == id) {
            removals.add(new Write(k, null, 0, null));
          }
        });
    // A lease that could not be ended durably is still held: it is tried again.
    if (!removals.isEmpty() && !apply(removals)) {
      return false;
    }
    leases.remove(id);
    return true;
  }

  /**
   * Changes of the prefix after a revision; null when there are none yet, status 410 when some may
   * have been forgotten.
   */
  public Reply changes(String prefix, long after, boolean evenNone) {
    if (after < forgottenUpTo) {
      return Reply.of(410);
    }
    ArrayDeque<Object> news = new ArrayDeque<>();
    for (Iterator<Change> it = kept.descendingIterator(); it.hasNext(); ) {
      Change c = it.next();
      if (c.stamp() <= after) {
        break;
      }
      if (c.key().startsWith(prefix)) {
        Body b = Body.of();
        if (c.data() == null) {
          b.with(Wire.DELETE, c.key());
        } else {
          b.with(Wire.PUT, c.key()).with(Wire.VALUE, c.data());
        }
        news.addFirst(b.with(Wire.VERSION, c.stamp()));
      }
    }
    if (news.isEmpty() && !evenNone) {
      return null;
    }
    return new Reply(
        200, Body.of().with(Wire.REVISION, epoch).with(Wire.EVENTS, new ArrayList<>(news)));
  }
}
