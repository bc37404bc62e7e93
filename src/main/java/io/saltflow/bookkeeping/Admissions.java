package io.saltflow.bookkeeping;

import io.saltflow.lanes.Place;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
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

  /** An answer that takes so long, and several times as long as usual, is not waited for alone. */
  private static final Span HEDGE_AFTER = Span.millis(60);

  private static final int HEDGE_TIMES = 4;

  /** How slowly what is taken for usual follows what is seen. */
  private static final double USUAL_KEPT = 0.8;

  /** So often at most is one transaction sent within its timeout. */
  private static final int MOST_SENT = 3;

  /** Fewer than so many are written with a key each: the leader would have to do it later. */
  private static final int FEW = 3;

  private static final int MOST_IN_A_BUNDLE = 32;

  /** A bundle's braces, and the colon and the comma of each of its records, in JSON. */
  private static final int FRAME = 2;

  private static final Place LAST_PLACE = new Place(Long.MAX_VALUE, MOST_IN_A_BUNDLE);

  private record Waiting(
      JobId id, Body record, int bytes, Time deadline, Consumer<JobStore.Outcome> then) {}

  private final Loop loop;
  private final StateClient state;
  private final LiveCheck live;
  private final BiConsumer<JobId, Consumer<JobStore.Outcome>> find;
  private final String name;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private long sequence;

  /** How long answers take, smoothed, in milliseconds; the service is taken for slow at first. */
  private double usualMs = 100;

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
      String name) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.live = live;
    this.find = find;
    this.name = name;
  }

  void add(JobId id, Body record, Consumer<JobStore.Outcome> then) {
    // With the place that its own record says once it is taken out of a bundle.
    int bytes = JsonSize.of(JobStore.withPlace(record, LAST_PLACE));
    if (bytes > state.limits().valueBytes()) {
      tooLarge(id, then);
      return;
    }
    waiting.add(new Waiting(id, record, bytes, loop.now().plus(PATIENCE), then));
    if (!planned) {
      pump();
    }
  }

  /** One that was accepted while larger values were taken is known all the same. */
  private void tooLarge(JobId id, Consumer<JobStore.Outcome> then) {
    find.accept(
        id,
        found ->
            then.accept(
                found instanceof JobStore.Outcome.Absent
                    ? new JobStore.Outcome.TooLarge()
                    : found));
  }

  /** Two conditions a job, and one for the bundle. */
  private int mostInABundle() {
    int byConditions = (state.limits().conditions() - 1) / 2;
    return Math.min(MOST_IN_A_BUNDLE, Math.max(1, byConditions));
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
    for (int n = fitting(waiting); n > 0; n--) {
      some.add(waiting.poll());
    }
    return some;
  }

  /** How many of these, from the first on, may lie in one bundle. */
  private int fitting(Collection<Waiting> all) {
    int count = 0;
    int bytes = FRAME;
    for (Waiting w : all) {
      bytes += w.bytes + JsonSize.of(w.id.text()) + FRAME;
      if (count >= mostInABundle() || (count > 0 && bytes > state.limits().valueBytes())) {
        break;
      }
      count++;
    }
    return count;
  }

  private void alone(Waiting w) {
    Txn txn = absent(new Txn(), w.id).put(Keys.live(w.id), w.record);
    new Attempt(List.of(w), txn, null).send();
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
    new Attempt(some, txn, key).send();
  }

  /**
   * One transaction, sent again while its answer stays away: of those whose answers are lost or
   * come seconds late, users of jobs that are long on record waited for the whole timeout. It may
   * be sent as often as one likes, since its guards let it be carried out once.
   */
  private final class Attempt {
    private final List<Waiting> some;
    private final Txn txn;

    /** The key of the bundle; null: a single job. */
    private final String bundle;

    private int sent;
    private int unanswered;
    private boolean settled;

    Attempt(List<Waiting> some, Txn txn, String bundle) {
      this.some = some;
      this.txn = txn;
      this.bundle = bundle;
    }

    void send() {
      sent++;
      unanswered++;
      state.commit(StateClient.Rank.USER, txn, TRY, this::answered);
      long patienceMs = (long) Math.max((double) HEDGE_AFTER.ms(), HEDGE_TIMES * usualMs);
      loop.after(Span.millis(patienceMs), Admissions.this, this::hedge);
    }

    private void hedge() {
      boolean wanted = !settled && unanswered > 0 && sent < MOST_SENT;
      if (wanted && waiting.isEmpty() && state.maySpareWrites()) {
        send();
      }
    }

    private void answered(StateClient.Answer a) {
      unanswered--;
      if (a.status() != 0) {
        long tookMs = loop.now().since(a.sent()).ms();
        usualMs = USUAL_KEPT * usualMs + (1 - USUAL_KEPT) * tookMs;
      }
      if (settled) {
        return;
      }
      boolean clear = a.ok() || a.status() == 409;
      if (!clear && unanswered > 0) {
        return;
      }
      settled = true;
      if (a.ok()) {
        created(new Stamp(a.revision()));
      } else if (bundle != null) {
        bundleRefused(a);
      } else if (a.status() == 409) {
        // Known already; perhaps by a try of ours whose answer was lost.
        find.accept(some.get(0).id, some.get(0).then);
      } else if (a.refusedForGood() && some.get(0).bytes > state.limits().valueBytes()) {
        tooLarge(some.get(0).id, some.get(0).then);
      } else {
        again(a, some);
      }
    }

    private void created(Stamp version) {
      for (Waiting w : some) {
        if (bundle == null) {
          live.seen(w.id, version);
        } else {
          live.seenIn(w.id, bundle, version);
        }
        w.then.accept(new JobStore.Outcome.Created(w.id));
      }
    }

    private void bundleRefused(StateClient.Answer a) {
      if (a.refusedFor(bundle)) {
        // The key is of this transaction alone: it was carried out, and its answer was lost.
        some.forEach(w -> w.then.accept(new JobStore.Outcome.Created(w.id)));
      } else if (a.status() == 409) {
        withoutTheKnown(a, some);
      } else if (a.refusedForGood() && some.size() > fitting(some)) {
        // Together they are more than is taken now: in smaller bundles.
        putBack(some);
        later();
      } else if (a.status() == 400) {
        some.forEach(Admissions.this::alone);
      } else {
        again(a, some);
      }
    }
  }

  /**
   * Some are known already, perhaps by a try of ours whose answer was lost. The others go together
   * once more: each for itself they would use up the rate of changes for seconds.
   */
  private void withoutTheKnown(StateClient.Answer a, List<Waiting> some) {
    List<Waiting> known = new ArrayList<>();
    List<Waiting> others = new ArrayList<>();
    for (Waiting w : some) {
      boolean named = a.refusedFor(Keys.live(w.id)) || a.refusedFor(Keys.over(w.id));
      (named ? known : others).add(w);
    }
    if (known.isEmpty()) {
      some.forEach(this::alone);
      return;
    }
    known.forEach(w -> find.accept(w.id, w.then));
    putBack(others);
    later();
  }

  /** They go before those that came after them. */
  private void putBack(List<Waiting> some) {
    for (int i = some.size() - 1; i >= 0; i--) {
      waiting.addFirst(some.get(i));
    }
  }

  /** What got no clear answer is tried again at once, or given up on at once. */
  private void again(StateClient.Answer a, List<Waiting> some) {
    // One whose answer was lost may lie in two bundles then. That makes one job of it: the leader
    // gives a job a record of its own only where there is none and it has not ended.
    if (a.status() == 0 || a.status() == 429) {
      putBack(some);
    } else {
      some.forEach(w -> w.then.accept(new JobStore.Outcome.Unknown()));
    }
    later();
  }
}
