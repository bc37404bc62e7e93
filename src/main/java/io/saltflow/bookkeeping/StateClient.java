package io.saltflow.bookkeeping;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Budget;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Throttle;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpCaller;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Talks to the state service within this node's share of the rates. Leadership goes first: its
 * requests never wait for the budget.
 */
public final class StateClient extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
  private static final byte[] NOTHING = new byte[0];
  private static final Span PUMP = Span.millis(20);

  private static final Span POLL_WAITS = Span.millis(600);

  /** The part of its rate that a node's polls may always use. */
  private static final double LEAST_POLLS = 0.1;

  /** The part of a second's writes that is left alone by those that need not be. */
  private static final double SPARE = 0.75;

  /** What goes first. */
  public enum Rank {
    LEADERSHIP,
    /** What a launch waits for: the ledger, and the jobs that may have been started. */
    SAFETY,
    USER,
    /** Records of jobs that were accepted already, together with others. */
    UNPACKING,
    BOOKS,
    /** Questions where a job stands: there may be a wall of them, and whoever asks asks again. */
    POLLS
  }

  /** A key's value and version; value null: there is no such key. */
  public record Entry(String key, Body value, Stamp version) {}

  /** An answer; status 0: none came, and the request may yet be executed. */
  public record Answer(int status, Body body, Time sent) {
    public boolean ok() {
      return status == 200;
    }

    /** The same request will be refused again; what it was guarded by was not looked at. */
    boolean refusedForGood() {
      return status == 400 && (body == null || !Wire.NO_SUCH_LEASE.equals(body.get(Wire.ERROR)));
    }

    /** Certainly not executed, whatever it was guarded by. */
    boolean notExecuted() {
      return status == 400 || status == 429 || status == 503;
    }

    /** Whether a transaction was refused for that key: it was not of the guarded version. */
    public boolean refusedFor(String key) {
      return status == 409
          && body != null
          && body.get(Wire.FAILED) instanceof List<?> failed
          && failed.contains(key);
    }

    /**
     * What a watch tells of, in the order in which it happened. PROTOCOL promises no order, and its
     * example has the later change first: taken so, a job that was accepted and cancelled between
     * two answers would be gone before it was there, and live from then on.
     */
    public List<Body> events() throws BadMessage {
      List<Body> events = new ArrayList<>(body.maps(Wire.EVENTS));
      events.sort(
          Comparator.comparingLong(
              e -> e.get(Wire.VERSION) instanceof Long n ? n : Long.MAX_VALUE));
      return events;
    }

    public long revision() {
      return body != null && body.get(Wire.REVISION) instanceof Long n ? n : 0;
    }
  }

  private final Loop loop;
  private final HttpCaller client;
  private final HttpCaller watches;
  private final double wps;
  private final StateLimits limits;
  private final Budget requests;

  /** What polls may use of it: less when the service, which all nodes ask, says it is too much. */
  private final Throttle polls;

  private Budget writes;

  /** How many times its usual share of the changes this node may use. */
  private double share = 1;

  private final Map<Rank, ArrayDeque<Pending>> queues = new EnumMap<>(Rank.class);
  private boolean pumping;
  private Time lastGood;
  private Time firstBad = Time.NEVER;

  /**
   * @param rps requests a second of this node
   * @param wps changes a second of this node, where it has its usual share
   * @param limits of the service, for all that writes
   */
  public StateClient(
      Routine parent,
      Loop loop,
      HttpCaller client,
      HttpCaller watches,
      double rps,
      double wps,
      StateLimits limits) {
    super(parent);
    this.limits = limits;
    this.loop = loop;
    this.client = client;
    this.watches = watches;
    this.requests = new Budget(rps, rps, loop.now());
    this.polls = new Throttle(rps * LEAST_POLLS, rps, loop.now());
    this.wps = wps;
    this.writes = new Budget(wps, wps, loop.now());
    this.lastGood = loop.now();
    for (Rank rank : Rank.values()) {
      queues.put(rank, new ArrayDeque<>());
    }
  }

  /** What the service takes, as far as is known: asked for each write. */
  public StateLimits limits() {
    return limits;
  }

  /** How long ago the service last answered a request of ours. */
  public Span quiet() {
    return loop.now().since(lastGood);
  }

  /** Since when requests have failed, without one that succeeded. */
  public Span failingFor() {
    return firstBad == Time.NEVER ? new Span(0) : loop.now().since(firstBad);
  }

  /** A request that waits for the budget. */
  private record Pending(
      Rank rank,
      String method,
      String target,
      Body body,
      int writeCount,
      Time deadline,
      Span timeout,
      Consumer<Answer> then) {}

  public void call(
      Rank rank,
      String method,
      String target,
      Body body,
      int writeCount,
      Span timeout,
      Consumer<Answer> then) {
    Time now = loop.now();
    // Who polls waits 2 s: what does not go soon is refused while its user still listens.
    Span waits = rank == Rank.POLLS && timeout.longerThan(POLL_WAITS) ? POLL_WAITS : timeout;
    Pending p = new Pending(rank, method, target, body, writeCount, now.plus(waits), timeout, then);
    if (rank == Rank.LEADERSHIP) {
      requests.takeAnyway(1, now);
      writes.takeAnyway(writeCount, now);
      send(p);
      return;
    }
    queues.get(rank).add(p);
    pump();
  }

  /**
   * A leader writes most of what is written: it may use this many times a node's usual share of the
   * changes. What it can't have is refused to it as to anybody.
   */
  public void share(double times) {
    share = times;
    double rate = wps * share * limits.part(loop.now());
    writes = new Budget(rate, rate, loop.now());
  }

  /** Whether a write of a user's would go at once. */
  boolean mayWrite() {
    for (Rank rank : List.of(Rank.SAFETY, Rank.USER)) {
      for (Pending p : queues.get(rank)) {
        if (p.writeCount > 0) {
          return false;
        }
      }
    }
    return writes.has(1, loop.now());
  }

  /** Whether one would that need not be written: nearly all that may be written at once is left. */
  boolean maySpareWrites() {
    return mayWrite() && writes.has((int) Math.ceil(wps * SPARE), loop.now());
  }

  /**
   * Sends what the budget allows, by rank and in order. Nothing of a lower rank is written while
   * something of a higher one waits for the budget of writes, or a transaction of many writes would
   * be starved by many of one.
   */
  private void pump() {
    Time now = loop.now();
    writes.rate(wps * share * limits.part(now), now);
    List<Pending> ready = new ArrayList<>();
    List<Pending> late = new ArrayList<>();
    boolean writesBlocked = false;
    boolean left = false;
    for (ArrayDeque<Pending> queue : queues.values()) {
      for (Iterator<Pending> it = queue.iterator(); it.hasNext(); ) {
        Pending p = it.next();
        if (now.after(p.deadline)) {
          it.remove();
          late.add(p);
        } else if (mayGo(p, writesBlocked, now)) {
          it.remove();
          ready.add(p);
        } else {
          writesBlocked |= p.writeCount > 0;
          left = true;
        }
      }
    }
    if (left && !pumping) {
      pumping = true;
      loop.after(
          PUMP,
          this,
          () -> {
            pumping = false;
            pump();
          });
    }
    ready.forEach(this::send);
    late.forEach(p -> p.then.accept(new Answer(429, null, now)));
  }

  private boolean mayGo(Pending p, boolean writesBlocked, Time now) {
    if (p.writeCount > 0) {
      // Books that can wait leave room for what users and tasks wait for.
      int wanted = p.rank == Rank.BOOKS ? p.writeCount * 2 : p.writeCount;
      if (writesBlocked || !writes.has(wanted, now)) {
        return false;
      }
    }
    if (p.rank == Rank.POLLS && (!requests.has(1, now) || !polls.take(now))) {
      return false;
    }
    if (!requests.take(1, now)) {
      return false;
    }
    return p.writeCount == 0 || writes.take(p.writeCount, now);
  }

  private void send(Pending p) {
    client.call(
        p.method,
        p.target,
        p.body == null ? NOTHING : MsgPack.encode(p.body),
        p.timeout,
        a -> {
          if (a.status() == 429 && p.writeCount > 0) {
            limits.tooManyChanges(loop.now());
          }
          answered(a, p.then);
        });
  }

  private void answered(HttpClient.Answer a, Consumer<Answer> then) {
    if (a.status() == 429) {
      polls.refused(loop.now());
    }
    boolean good = a.status() != 0 && a.status() != 503;
    if (good) {
      if (firstBad != Time.NEVER && failingFor().longerThan(Span.seconds(1))) {
        LOG.info("the state service answers again, after {} s", failingFor().toSeconds());
      }
      lastGood = loop.now();
      firstBad = Time.NEVER;
    } else if (firstBad == Time.NEVER) {
      firstBad = loop.now();
      LOG.info("the state service does not serve us: status {}", a.status());
    }
    Body body = null;
    if (a.body().length > 0) {
      try {
        body = MsgPack.decode(a.body());
      } catch (BadMessage e) {
        LOG.error("the state service's answer can't be read: {}", e.getMessage());
        then.accept(new Answer(0, null, a.sent()));
        return;
      }
    }
    then.accept(new Answer(a.status(), body, a.sent()));
  }

  /** Reads a key; null when it can't be told. */
  public void get(Rank rank, String key, Span timeout, Consumer<Entry> then) {
    call(
        rank,
        "GET",
        Wire.PATH_KV + "/" + key,
        null,
        0,
        timeout,
        a -> {
          try {
            if (a.ok()) {
              then.accept(
                  new Entry(key, a.body.map(Wire.VALUE), new Stamp(a.body.integer(Wire.VERSION))));
            } else if (a.status == 404) {
              then.accept(new Entry(key, null, Stamp.ABSENT));
            } else {
              then.accept(null);
            }
          } catch (BadMessage e) {
            LOG.error("key {}: {}", key, e.getMessage());
            then.accept(null);
          }
        });
  }

  /** What is refused for good lowers the limits that are believed before it is told. */
  public void commit(Rank rank, Txn txn, Span timeout, Consumer<Answer> then) {
    call(
        rank,
        "POST",
        Wire.PATH_TXN,
        txn.body(),
        txn.writeCount(),
        timeout,
        a -> {
          if (a.refusedForGood()) {
            limits.refused(txn);
          } else if (a.ok()) {
            limits.taken(txn);
          }
          then.accept(a);
        });
  }

  /** A whole prefix, as of a revision. */
  public record Listing(List<Entry> entries, long revision) {}

  /** Reads every key of a prefix, page by page; null when that fails. */
  public void list(Rank rank, String prefix, Consumer<Listing> then) {
    page(rank, prefix, "", new ArrayList<>(), Long.MAX_VALUE, then);
  }

  private void page(
      Rank rank,
      String prefix,
      String after,
      List<Entry> sofar,
      long revision,
      Consumer<Listing> then) {
    String target =
        Wire.PATH_KV
            + "?"
            + Wire.PREFIX
            + "="
            + prefix
            + (after.isEmpty() ? "" : "&" + Wire.AFTER + "=" + after)
            + "&"
            + Wire.PAGE
            + "=500";
    call(
        rank,
        "GET",
        target,
        null,
        0,
        Span.seconds(3),
        a -> {
          try {
            if (!a.ok()) {
              then.accept(null);
              return;
            }
            for (Body pair : a.body.maps(Wire.ITEMS)) {
              sofar.add(
                  new Entry(
                      pair.text(Wire.KEY),
                      pair.map(Wire.VALUE),
                      new Stamp(pair.integer(Wire.VERSION))));
            }
            // Changes are watched from the first page's revision: later pages may be newer, and
            // seeing a change twice is harmless.
            long first = Math.min(revision, a.revision());
            if (a.body.flagOr(Wire.MORE, false) && !sofar.isEmpty()) {
              page(rank, prefix, sofar.get(sofar.size() - 1).key(), sofar, first, then);
            } else {
              then.accept(new Listing(sofar, first));
            }
          } catch (BadMessage e) {
            LOG.error("list of {}: {}", prefix, e.getMessage());
            then.accept(null);
          }
        });
  }

  /** Waits for changes; its answer shows everything up to when it was asked for. */
  public void watch(String prefix, long after, Span hold, Consumer<Answer> then) {
    requests.takeAnyway(1, loop.now());
    String target =
        Wire.PATH_WATCH
            + "?"
            + Wire.PREFIX
            + "="
            + prefix
            + "&"
            + Wire.AFTER
            + "="
            + after
            + "&"
            + Wire.HOLD_MS
            + "="
            + hold.ms();
    watches.call("GET", target, NOTHING, hold.plus(Span.seconds(2)), a -> answered(a, then));
  }
}
