package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Writes new jobs down: a key each while the rate of changes allows it, and when it is short many
 * under one key, a bundle. A burst of some hundred submissions took longer than its users wait when
 * each cost a change of the thirty that there are in a second.
 */
final class Admissions extends Routine {
  private static final Span TRY = Span.millis(1500);
  private static final Span PACE = Span.millis(50);
  private static final Span PATIENCE = Span.millis(3500);

  /** Fewer than so many are written with a key each: the leader would have to do it later. */
  private static final int FEW = 3;

  private static final int MOST_IN_A_BUNDLE = 32;

  private record Waiting(
      JobId id, Body record, int bytes, Time deadline, Consumer<JobStore.Outcome> then) {}

  private final Loop loop;
  private final StateClient state;
  private final LiveCheck live;
  private final BiConsumer<JobId, Consumer<JobStore.Outcome>> find;
  private final int valueBytes;
  private final int mostInABundle;
  private final String name;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private long sequence;
  private boolean planned;

  /**
   * @param name differs from that of every other process that was ever started
   * @param find looks up a job that was found to be known
   */
  Admissions(
      Routine parent,
      Loop loop,
      StateClient state,
      LiveCheck live,
      BiConsumer<JobId, Consumer<JobStore.Outcome>> find,
      int valueBytes,
      int txnOps,
      String name) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.live = live;
    this.find = find;
    this.valueBytes = valueBytes;
    // Two conditions a job and one for the bundle; a transaction takes four times as many as
    // writes.
    this.mostInABundle = Math.min(MOST_IN_A_BUNDLE, Math.max(1, (4 * txnOps - 1) / 2));
    this.name = name;
  }

  void add(JobId id, Body record, Consumer<JobStore.Outcome> then) {
    int bytes = MsgPack.encode(record).length;
    if (bytes * 5 / 4 > valueBytes) {
      then.accept(new JobStore.Outcome.TooLarge());
      return;
    }
    waiting.add(new Waiting(id, record, bytes, loop.now().plus(PATIENCE), then));
    if (!planned) {
      pump();
    }
  }

  private void pump() {
    planned = false;
    Time now = loop.now();
    while (!waiting.isEmpty()) {
      if (now.plus(PACE).after(waiting.peek().deadline)) {
        waiting.poll().then.accept(new JobStore.Outcome.Unknown());
      } else if (!state.mayWrite()) {
        later();
        return;
      } else if (waiting.size() < FEW) {
        alone(waiting.poll());
      } else {
        together(next());
      }
    }
  }

  private void later() {
    if (!planned) {
      planned = true;
      loop.after(PACE, this, this::pump);
    }
  }

  /** As many of those that wait as fit into one value. */
  private List<Waiting> next() {
    List<Waiting> some = new ArrayList<>();
    int bytes = 0;
    while (!waiting.isEmpty() && some.size() < mostInABundle) {
      // The text form, in which a value is measured, is longer by up to a half.
      bytes += waiting.peek().bytes * 3 / 2 + waiting.peek().id.text().length() + 4;
      if (!some.isEmpty() && bytes > valueBytes) {
        break;
      }
      some.add(waiting.poll());
    }
    return some;
  }

  private void alone(Waiting w) {
    Txn txn = absent(new Txn(), w.id).put(Keys.live(w.id), w.record);
    state.commit(
        StateClient.Rank.USER,
        txn,
        TRY,
        a -> {
          if (a.ok()) {
            live.seen(w.id, new Stamp(a.revision()));
            w.then.accept(new JobStore.Outcome.Created(w.id));
          } else if (a.status() == 409) {
            // Known already; perhaps by a try of ours whose answer was lost.
            find.accept(w.id, w.then);
          } else {
            again(a, List.of(w));
          }
        });
  }

  static Txn absent(Txn txn, JobId id) {
    return txn.guard(Keys.live(id), Stamp.ABSENT).guard(Keys.over(id), Stamp.ABSENT);
  }

  private void together(List<Waiting> some) {
    if (some.size() == 1) {
      alone(some.get(0));
      return;
    }
    Map<JobId, Body> records = new LinkedHashMap<>();
    Txn txn = new Txn();
    for (Waiting w : some) {
      if (records.put(w.id, w.record) == null) {
        absent(txn, w.id);
      }
    }
    String key = Bundles.key(name + "-" + ++sequence);
    txn.guard(key, Stamp.ABSENT).put(key, Bundles.encode(records));
    state.commit(
        StateClient.Rank.USER,
        txn,
        TRY,
        a -> {
          if (a.ok()) {
            for (Waiting w : some) {
              live.seenIn(w.id, key, new Stamp(a.revision()));
              w.then.accept(new JobStore.Outcome.Created(w.id));
            }
          } else if (a.status() == 409 || a.status() == 400) {
            // One is known already, or together they are too large: each for itself.
            some.forEach(this::alone);
          } else {
            again(a, some);
          }
        });
  }

  /** What got no clear answer is tried again at once, or given up on at once. */
  private void again(StateClient.Answer a, List<Waiting> some) {
    // One whose answer was lost may lie in two bundles then. That makes one job of it: the leader
    // gives a job a record of its own only where there is none and it has not ended.
    boolean worthIt = a.status() == 0 || a.status() == 429;
    for (int i = some.size() - 1; i >= 0; i--) {
      Waiting w = some.get(i);
      if (worthIt) {
        waiting.addFirst(w);
      } else {
        w.then.accept(new JobStore.Outcome.Unknown());
      }
    }
    later();
  }
}
