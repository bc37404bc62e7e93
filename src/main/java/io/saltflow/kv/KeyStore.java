package io.saltflow.kv;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
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
 * The contents of PROTOCOL's state service as far as they are durable: keys with their versions,
 * leases, and the changes that watches may still ask for. A deterministic core that is told what
 * happened and when; {@link Pipeline} decides what happens.
 */
public final class KeyStore {
  private static final int MOST_KEPT_CHANGES = 10_000;
  private static final int MOST_ITEMS = 1000;
  private static final int MOST_LIST_BYTES = 512 * 1024;
  private static final int MOST_KEY_BYTES = 200;

  /** A key's value, the revision of its last change, and its lease (0: none). */
  public record Value(Body data, long stamp, long lease) {}

  /** A change that watches are told of; data null: the key was deleted. */
  private record Change(String key, Body data, long stamp) {}

  private static final class Lease {
    final Span ttl;
    final Set<String> keys = new TreeSet<>();
    Time due;

    Lease(Span ttl, Time due) {
      this.ttl = ttl;
      this.due = due;
    }
  }

  private final NavigableMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new TreeMap<>();
  private final ArrayDeque<Change> kept = new ArrayDeque<>();
  private long epoch = 1;
  private long lastLease;
  private long forgottenUpTo;
  private Copy copy;

  /** The revision of the last change. */
  public long epoch() {
    return epoch;
  }

  /** The value of a key, or null. */
  public Value value(String key) {
    return keys.get(key);
  }

  /** How many keys there are. */
  public int size() {
    return keys.size();
  }

  long lastLease() {
    return lastLease;
  }

  /** How long a lease lasts; null: there is none of that number. */
  Span ttl(long lease) {
    Lease l = leases.get(lease);
    return l == null ? null : l.ttl;
  }

  /** The keys that go with a lease. */
  Set<String> attached(long lease) {
    Lease l = leases.get(lease);
    return l == null ? Set.of() : l.keys;
  }

  /** The lease lasts for its full time again; false: there is none. */
  boolean renew(long lease, Time now) {
    Lease l = leases.get(lease);
    if (l != null) {
      l.due = now.plus(l.ttl);
    }
    return l != null;
  }

  /** An outage is over, or this is another process: every lease has its full time again. */
  public void renewAll(Time now) {
    leases.values().forEach(l -> l.due = now.plus(l.ttl));
  }

  /** Leases whose time is over. */
  List<Long> due(Time now) {
    List<Long> out = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (now.after(lease.due)) {
            out.add(id);
          }
        });
    return out;
  }

  /** What happened, durably. */
  public void apply(Step step, Time now) {
    epoch = step.epoch();
    for (Effect e : step.effects()) {
      if (e instanceof Effect.Put p) {
        set(p.key(), new Value(p.data(), epoch, p.lease()));
      } else if (e instanceof Effect.Delete d) {
        set(d.key(), null);
      } else if (e instanceof Effect.Grant g) {
        leases.put(g.lease(), new Lease(g.ttl(), now.plus(g.ttl())));
        lastLease = Math.max(lastLease, g.lease());
      } else if (e instanceof Effect.End n) {
        leases.remove(n.lease());
      }
    }
    while (kept.size() > MOST_KEPT_CHANGES) {
      forgottenUpTo = kept.poll().stamp();
    }
  }

  private void set(String key, Value value) {
    Value before = value == null ? keys.remove(key) : keys.put(key, value);
    if (copy != null) {
      copy.replaced(key, before);
    }
    if (before != null && leases.containsKey(before.lease)) {
      leases.get(before.lease).keys.remove(key);
    }
    if (value != null && leases.containsKey(value.lease)) {
      leases.get(value.lease).keys.add(key);
    }
    if (before != null || value != null) {
      kept.add(new Change(key, value == null ? null : value.data, epoch));
    }
  }

  // ---- What is answered

  /** One key. */
  public Reply get(String key) {
    if (!valid(key)) {
      return Reply.malformed(Wire.KEY);
    }
    Value v = keys.get(key);
    return v == null
        ? new Reply(404, Body.of().with(Wire.REVISION, epoch))
        : new Reply(200, item(key, v));
  }

  static boolean valid(String key) {
    int bytes = key.getBytes(StandardCharsets.UTF_8).length;
    return bytes >= 1 && bytes <= MOST_KEY_BYTES && key.indexOf(' ') < 0;
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

  // ---- Snapshots

  /**
   * The contents as they are now, to be taken out in parts while the store goes on changing: what
   * is replaced before its turn is kept as it was. One at a time.
   */
  public Copy copy() {
    copy = new Copy();
    return copy;
  }

  /** A copy that is being taken out. */
  public final class Copy {
    private final TreeMap<String, Value> before = new TreeMap<>();
    private final List<Step> head = new ArrayList<>();
    private final long at = epoch;
    private String last = "";

    private Copy() {
      List<Effect> granted = new ArrayList<>();
      leases.forEach((id, l) -> granted.add(new Effect.Grant(id, l.ttl)));
      if (lastLease > 0 && !leases.containsKey(lastLease)) {
        // Over by now, but its number must not be given out again.
        granted.add(new Effect.Grant(lastLease, new Span(1)));
        granted.add(new Effect.End(lastLease));
      }
      // Also when there is none: keys that are gone may have been the last change, and no key that
      // is left bears the revision then.
      head.add(new Step(at, granted));
    }

    private void replaced(String key, Value value) {
      if (key.compareTo(last) > 0 && !before.containsKey(key)) {
        before.put(key, value);
      }
    }

    /**
     * The next part of so many keys, the first with the revision and the leases; empty: that was
     * all, and the copy is over.
     */
    public List<Step> next(int most) {
      if (!head.isEmpty()) {
        List<Step> out = List.copyOf(head);
        head.clear();
        return out;
      }
      List<Step> out = new ArrayList<>();
      Iterator<String> live = keys.tailMap(last, false).keySet().iterator();
      Iterator<String> old = before.tailMap(last, false).keySet().iterator();
      String l = following(live);
      String o = following(old);
      while (out.size() < most && (l != null || o != null)) {
        String key = o == null || (l != null && l.compareTo(o) <= 0) ? l : o;
        Value v = before.containsKey(key) ? before.get(key) : keys.get(key);
        if (v != null) {
          out.add(new Step(v.stamp, List.of(new Effect.Put(key, v.data, v.lease))));
        }
        l = key.equals(l) ? following(live) : l;
        o = key.equals(o) ? following(old) : o;
        last = key;
      }
      before.headMap(last, true).clear();
      if (out.isEmpty()) {
        end();
      }
      return out;
    }

    /** Nobody takes any more of it out: what is replaced from now on is not kept for it. */
    public void end() {
      if (copy == this) {
        copy = null;
      }
    }

    private static String following(Iterator<String> it) {
      return it.hasNext() ? it.next() : null;
    }

    /** The revision that it is of. */
    public long epoch() {
      return at;
    }
  }

  /** A copy was read in whole: what came before its revision is not kept for watches. */
  public void restored(long atEpoch) {
    epoch = atEpoch;
    kept.clear();
    forgottenUpTo = atEpoch;
  }
}
