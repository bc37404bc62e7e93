package io.saltflow.bookkeeping;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Says of many jobs with one request that they are still live: a transaction without writes
 * compares the versions of their records with those that this node has seen. It is carried out at
 * one revision after all of them were asked about, so its answer is never older than a read's would
 * be. With a read each, the polls of some five hundred jobs used the whole rate of the state
 * service, and submissions were refused for it.
 */
final class LiveCheck extends Routine {
  /** What was found. */
  enum Verdict {
    LIVE,
    /** The record is not what it was, or was never seen here: it has to be read. */
    TO_READ,
    /** It could not be told: to be asked again. */
    UNKNOWN
  }

  private static final Span TRY = Span.millis(1500);

  /** So long questions are collected when the last request was sent just before. */
  private static final Span PACE = Span.millis(100);

  private static final int MOST_GUARDS = 64;
  private static final int MOST_KNOWN = 8000;

  /** A record as it was seen: versions of keys that all hold as long as the job is live. */
  private record Seen(List<Guard> guards) {}

  private record Guard(String key, Stamp version) {}

  private final Loop loop;
  private final StateClient state;
  private final Map<JobId, Seen> seen =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Seen> eldest) {
          return size() > MOST_KNOWN;
        }
      };
  private Map<JobId, List<Consumer<Verdict>>> asked = new LinkedHashMap<>();

  /** The highest rank of those who ask. */
  private StateClient.Rank rank = StateClient.Rank.POLLS;

  private Time lastSent = Time.LONG_AGO;
  private boolean planned;

  LiveCheck(Routine parent, Loop loop, StateClient state) {
    super(parent);
    this.loop = loop;
    this.state = state;
  }

  /** The job's own record was of this version. */
  void seen(JobId id, Stamp version) {
    seen.put(id, new Seen(List.of(new Guard(Keys.live(id), version))));
  }

  /** The job stands in a bundle of this version, and had not ended. */
  void seenIn(JobId id, String bundle, Stamp version) {
    seen.put(
        id, new Seen(List.of(new Guard(bundle, version), new Guard(Keys.over(id), Stamp.ABSENT))));
  }

  boolean knows(JobId id) {
    return seen.containsKey(id);
  }

  void forget(JobId id) {
    seen.remove(id);
  }

  void ask(JobId id, StateClient.Rank by, Consumer<Verdict> then) {
    if (!seen.containsKey(id)) {
      then.accept(Verdict.TO_READ);
      return;
    }
    asked.computeIfAbsent(id, i -> new ArrayList<>(1)).add(then);
    rank = by.compareTo(rank) < 0 ? by : rank;
    if (planned) {
      return;
    }
    Span sinceLast = loop.now().since(lastSent);
    if (sinceLast.compareTo(PACE) >= 0) {
      flush();
    } else {
      planned = true;
      loop.after(PACE.minus(sinceLast), this, this::flush);
    }
  }

  private int mostGuards() {
    return Math.min(MOST_GUARDS, state.limits().conditions());
  }

  private void flush() {
    planned = false;
    lastSent = loop.now();
    Map<JobId, List<Consumer<Verdict>>> all = asked;
    asked = new LinkedHashMap<>();
    StateClient.Rank as = rank;
    rank = StateClient.Rank.POLLS;
    Map<JobId, List<Consumer<Verdict>>> some = new LinkedHashMap<>();
    int guards = 0;
    for (Map.Entry<JobId, List<Consumer<Verdict>>> e : all.entrySet()) {
      Seen s = seen.get(e.getKey());
      if (s == null) {
        answer(e.getValue(), Verdict.TO_READ);
        continue;
      }
      if (guards + s.guards.size() > mostGuards()) {
        compare(as, some);
        some = new LinkedHashMap<>();
        guards = 0;
      }
      guards += s.guards.size();
      some.put(e.getKey(), e.getValue());
    }
    if (!some.isEmpty()) {
      compare(as, some);
    }
  }

  private void compare(StateClient.Rank as, Map<JobId, List<Consumer<Verdict>>> some) {
    Map<String, Stamp> versions = new LinkedHashMap<>();
    Map<JobId, Seen> compared = new LinkedHashMap<>();
    for (JobId id : some.keySet()) {
      compared.put(id, seen.get(id));
      seen.get(id).guards.forEach(g -> versions.put(g.key, g.version));
    }
    Txn txn = new Txn();
    versions.forEach(txn::guard);
    state.commit(
        as,
        txn,
        TRY,
        a -> {
          if (a.status() == 409) {
            moved(as, a, some, compared);
          } else if (a.refusedForGood() && some.size() > 1) {
            // More conditions than are taken now: each part is asked for by itself.
            halves(some).forEach(half -> compare(as, half));
          } else {
            Verdict verdict = a.ok() ? Verdict.LIVE : Verdict.UNKNOWN;
            some.values().forEach(askers -> answer(askers, verdict));
          }
        });
  }

  /**
   * Some records of the batch are not what they were. Those that the answer names are read; it does
   * not promise to name all, so the others are compared again without them.
   */
  private void moved(
      StateClient.Rank as,
      StateClient.Answer a,
      Map<JobId, List<Consumer<Verdict>>> some,
      Map<JobId, Seen> compared) {
    Map<JobId, List<Consumer<Verdict>>> rest = new LinkedHashMap<>(some);
    compared.forEach(
        (id, s) -> {
          if (s.guards.stream().anyMatch(g -> a.refusedFor(g.key))) {
            rest.remove(id);
            seen.remove(id, s);
          }
        });
    if (rest.size() == some.size()) {
      rest.clear();
    }
    // One that was forgotten meanwhile, as its end was recorded here, is read: left out, its poll
    // was never answered, and counted for ever among those that are under way.
    rest.keySet().retainAll(seen.keySet());
    some.forEach(
        (id, askers) -> {
          if (!rest.containsKey(id)) {
            answer(askers, Verdict.TO_READ);
          }
        });
    if (!rest.isEmpty()) {
      compare(as, rest);
    }
  }

  private static List<Map<JobId, List<Consumer<Verdict>>>> halves(
      Map<JobId, List<Consumer<Verdict>>> all) {
    Map<JobId, List<Consumer<Verdict>>> first = new LinkedHashMap<>();
    Map<JobId, List<Consumer<Verdict>>> second = new LinkedHashMap<>();
    all.forEach((id, askers) -> (first.size() < all.size() / 2 ? first : second).put(id, askers));
    return List.of(first, second);
  }

  private static void answer(List<Consumer<Verdict>> askers, Verdict verdict) {
    askers.forEach(asker -> asker.accept(verdict));
  }
}
