package io.saltflow.kv;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Decides what each request does, in the order in which they come, and answers once that is
 * durable. One batch at a time is being written down; meanwhile the next gathers. Requests are
 * judged by what the store will be once all before them is durable; reads see only what is.
 *
 * <p>When a batch can't be written down, it and what was judged upon it never happened: all of it
 * is answered 503.
 */
public final class Pipeline {
  private static final int MOST_TXN_BYTES = 64 * 1024;
  private static final int GUARDS_PER_WRITE = 4;
  private static final long LEAST_TTL_MS = 100;
  private static final long MOST_TTL_MS = 600_000;

  /** What is not durable yet, beside what it builds upon. */
  private static final class Batch {
    final List<Step> steps = new ArrayList<>();
    final List<Runnable> answers = new ArrayList<>();
    final List<Consumer<Reply>> waiting = new ArrayList<>();
    final Map<String, KeyStore.Value> keys = new HashMap<>();
    final Map<Long, Span> leases = new LinkedHashMap<>();
  }

  private final KeyStore store;
  private Limits limits;
  private Batch writing;
  private Batch gathering = new Batch();
  private long epoch;
  private long lastLease;

  public Pipeline(KeyStore store, Limits limits) {
    this.store = store;
    this.limits = limits;
    reset();
  }

  /** What is asked for from now on is judged by these. */
  void limits(Limits now) {
    limits = now;
  }

  /** The store holds what a former process wrote down. */
  void restored() {
    reset();
  }

  private void reset() {
    epoch = store.epoch();
    lastLease = store.lastLease();
  }

  // ---- As it will be

  private KeyStore.Value value(String key) {
    if (gathering.keys.containsKey(key)) {
      return gathering.keys.get(key);
    }
    if (writing != null && writing.keys.containsKey(key)) {
      return writing.keys.get(key);
    }
    return store.value(key);
  }

  /** How long a lease lasts; null: there is none, or it ends with what is being written down. */
  private Span ttl(long lease) {
    if (gathering.leases.containsKey(lease)) {
      return gathering.leases.get(lease);
    }
    if (writing != null && writing.leases.containsKey(lease)) {
      return writing.leases.get(lease);
    }
    return store.ttl(lease);
  }

  // ---- Requests

  /** How many changes a transaction asks for, which count against the rate even when it fails. */
  public static int writeCount(Body txn) {
    return txn.get(Wire.WRITES) instanceof List<?> l ? l.size() : 0;
  }

  /** All of the writes or none, if every guard holds. */
  public void commit(Body txn, Consumer<Reply> answer) throws BadMessage {
    List<Body> guards = txn.get(Wire.GUARDS) == null ? List.of() : txn.maps(Wire.GUARDS);
    List<Body> asked = txn.get(Wire.WRITES) == null ? List.of() : txn.maps(Wire.WRITES);
    if (asked.size() > limits.txnOps() || guards.size() > limits.txnOps() * GUARDS_PER_WRITE) {
      answer.accept(Reply.malformed("more than a transaction may hold"));
      return;
    }
    if (JsonSize.of(txn) > MOST_TXN_BYTES) {
      answer.accept(Reply.malformed("the transaction is too large"));
      return;
    }
    List<Effect> effects = new ArrayList<>();
    for (Body w : asked) {
      String put = w.textOr(Wire.PUT, null);
      String key = put == null ? w.text(Wire.DELETE) : put;
      if (!KeyStore.valid(key)) {
        answer.accept(Reply.malformed(Wire.KEY));
        return;
      }
      long lease = put == null ? 0 : w.integerOr(Wire.LEASE, 0);
      Body data = put == null ? null : w.map(Wire.VALUE);
      if (data != null && JsonSize.of(data) > limits.valueKb() * 1024) {
        answer.accept(Reply.malformed(key + ": the value is too large"));
        return;
      }
      if (lease != 0 && ttl(lease) == null) {
        told(Reply.malformed(Wire.NO_SUCH_LEASE), answer);
        return;
      }
      effects.add(put == null ? new Effect.Delete(key) : new Effect.Put(key, data, lease));
    }
    List<String> failed = new ArrayList<>();
    for (Body g : guards) {
      String key = g.text(Wire.KEY);
      KeyStore.Value v = value(key);
      if ((v == null ? 0 : v.stamp()) != g.integer(Wire.VERSION)) {
        failed.add(key);
      }
    }
    if (!failed.isEmpty()) {
      told(new Reply(409, Body.of().with(Wire.FAILED, failed).with(Wire.REVISION, epoch)), answer);
      return;
    }
    if (!effects.isEmpty()) {
      add(effects, true);
    }
    told(new Reply(200, Body.of().with(Wire.REVISION, epoch)), answer);
  }

  /** A lease of its own. */
  public void grant(Body request, Consumer<Reply> answer) throws BadMessage {
    long ttl = request.integer(Wire.TTL_MS);
    if (ttl < LEAST_TTL_MS || ttl > MOST_TTL_MS) {
      answer.accept(Reply.malformed(Wire.TTL_MS + ": out of range"));
      return;
    }
    // Written down, or a next process would give the same number to somebody else.
    add(List.of(new Effect.Grant(++lastLease, new Span(ttl))), false);
    told(new Reply(200, Body.of().with(Wire.LEASE, lastLease)), answer);
  }

  /** A lease has its full time again. Nothing is written down: a next process gives that to all. */
  public void extend(long lease, Time now, Consumer<Reply> answer) {
    if (ttl(lease) == null) {
      // Over, or ending with what is being written down: which of both is known then.
      told(Reply.of(404), answer);
    } else if (store.renew(lease, now)) {
      answer.accept(new Reply(200, Body.of().with(Wire.LEASE, lease)));
    } else {
      // Granted, and not durable yet: nobody can know of it.
      answer.accept(Reply.of(404));
    }
  }

  /** A lease ends at once. */
  public void release(long lease, Consumer<Reply> answer) {
    if (ttl(lease) == null) {
      told(Reply.of(404), answer);
    } else {
      end(lease);
      told(new Reply(200, Body.of()), answer);
    }
  }

  /** Leases that were not renewed end, and the keys attached to them are removed. */
  public void expire(Time now) {
    for (long lease : store.due(now)) {
      if (ttl(lease) != null) {
        end(lease);
      }
    }
  }

  private void end(long lease) {
    TreeSet<String> keys = new TreeSet<>(store.attached(lease));
    if (writing != null) {
      keys.addAll(writing.keys.keySet());
    }
    keys.addAll(gathering.keys.keySet());
    List<Effect> effects = new ArrayList<>();
    for (String key : keys) {
      KeyStore.Value v = value(key);
      if (v != null && v.lease() == lease) {
        effects.add(new Effect.Delete(key));
      }
    }
    boolean changes = !effects.isEmpty();
    effects.add(new Effect.End(lease));
    add(effects, changes);
  }

  private void add(List<Effect> effects, boolean changes) {
    epoch += changes ? 1 : 0;
    gathering.steps.add(new Step(epoch, effects));
    for (Effect e : effects) {
      if (e instanceof Effect.Put p) {
        gathering.keys.put(p.key(), new KeyStore.Value(p.data(), epoch, p.lease()));
      } else if (e instanceof Effect.Delete d) {
        gathering.keys.put(d.key(), null);
      } else if (e instanceof Effect.Grant g) {
        gathering.leases.put(g.lease(), g.ttl());
      } else if (e instanceof Effect.End n) {
        gathering.leases.put(n.lease(), null);
      }
    }
  }

  /** Told once all that it was judged upon is durable. */
  private void told(Reply reply, Consumer<Reply> answer) {
    Batch upon = gathering.steps.isEmpty() ? writing : gathering;
    if (upon == null) {
      answer.accept(reply);
    } else {
      upon.answers.add(() -> answer.accept(reply));
      upon.waiting.add(answer);
    }
  }

  // ---- Batches

  /** What is to be written down next, in order; empty: nothing is, or a batch is under way. */
  public List<Step> next() {
    if (writing != null || gathering.steps.isEmpty()) {
      return List.of();
    }
    writing = gathering;
    gathering = new Batch();
    return writing.steps;
  }

  /** How many answers wait. */
  int waiting() {
    return gathering.waiting.size() + (writing == null ? 0 : writing.waiting.size());
  }

  /** Whether nothing is to be written down, or being so. */
  public boolean idle() {
    return writing == null && gathering.steps.isEmpty();
  }

  /** The batch under way is durable: it happened, and is answered. */
  public void durable(Time now) {
    Batch done = writing;
    writing = null;
    done.steps.forEach(s -> store.apply(s, now));
    done.answers.forEach(Runnable::run);
  }

  /**
   * Whether the batch under way will happen is for others to say: who waits for it gets no answer,
   * which means just that. What gathered upon it will not happen.
   */
  void abandon() {
    List<Consumer<Reply>> unknown = writing == null ? List.of() : List.copyOf(writing.waiting);
    writing = null;
    failed();
    unknown.forEach(a -> a.accept(Reply.NONE));
  }

  /** The batch under way could not be written down, so nothing that gathered upon it holds. */
  public void failed() {
    List<Consumer<Reply>> refused = new ArrayList<>();
    if (writing != null) {
      refused.addAll(writing.waiting);
    }
    refused.addAll(gathering.waiting);
    writing = null;
    gathering = new Batch();
    reset();
    refused.forEach(a -> a.accept(Reply.of(503)));
  }
}
