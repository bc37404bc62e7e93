package io.saltflow.bookkeeping;

import io.saltflow.coordination.Leader;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the ends of jobs that others wait for, and records that jobs are cancelled with one that
 * they need. Both go on until they are settled; a successor finds what is left in the live records
 * alone. Each write is guarded by the leader's key and by there being no end yet.
 */
public final class DependencyBooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyBooks.class);
  private static final Span TRY = Span.millis(1500);

  /** After an answer that settled nothing. */
  private static final Span AGAIN = Span.millis(300);

  /** A need that has neither ended nor a record of its own lies in a bundle, seldom for long. */
  private static final Span FIRST_PAUSE = Span.seconds(1);

  private static final Span LONGEST_PAUSE = Span.seconds(4);

  private static final int MOST_READS = 4;
  private static final int MOST_TRANSACTIONS = 2;
  private static final int WRITES_PER_CANCEL = 2;

  /** When a read that found no end is repeated, and how long is waited after that. */
  private record Retry(Time at, Span pause) {}

  private final StateClient state;
  private final JobStore jobs;
  private final Supplier<Txn> guarded;
  private final Supplier<Time> now;
  private final Map<JobId, Retry> retries = new HashMap<>();
  private final Set<JobId> reading = new HashSet<>();

  /** Cancellations that are on their way. */
  private final Set<JobId> cancelling = new HashSet<>();

  /** Cancellations without a clear answer: whether the jobs have ended is read first. */
  private final Set<JobId> unclear = new LinkedHashSet<>();

  private int transactions;
  private Time writeAfter = Time.LONG_AGO;
  private Leader leader;

  /**
   * @param guarded begins a transaction that fails when another leads
   */
  DependencyBooks(
      Routine parent, StateClient state, JobStore jobs, Supplier<Txn> guarded, Supplier<Time> now) {
    super(parent);
    this.state = state;
    this.jobs = jobs;
    this.guarded = guarded;
    this.now = now;
  }

  /** Whose jobs it is about from now on. */
  void serve(Leader core) {
    leader = core;
  }

  /** Goes on with whatever is open, as far as its bounds allow. */
  public void step() {
    readEnds();
    writeCancellations();
  }

  private void readEnds() {
    List<JobId> needed = leader.pipelines().endsToRead();
    List<JobId> forTimes = leader.pipelines().endsToReadForTimes();
    Set<JobId> open = new LinkedHashSet<>(unclear);
    open.addAll(needed);
    Set<JobId> urgent = Set.copyOf(open);
    open.addAll(forTimes);
    retries.keySet().retainAll(open);
    for (JobId id : open) {
      if (reading.size() >= MOST_READS) {
        return;
      }
      Retry retry = retries.get(id);
      if (!reading.contains(id) && (retry == null || !now.get().before(retry.at))) {
        // A launch waits for the ends that are needed, and cancel_s runs for the others.
        read(id, urgent.contains(id) ? StateClient.Rank.SAFETY : StateClient.Rank.BOOKS);
      }
    }
  }

  private void read(JobId id, StateClient.Rank rank) {
    reading.add(id);
    state.get(
        rank,
        Keys.over(id),
        TRY,
        e -> {
          reading.remove(id);
          if (cancelled()) {
            return;
          }
          if (e == null) {
            retries.put(id, new Retry(now.get().plus(AGAIN), FIRST_PAUSE));
            return;
          }
          if (e.value() == null) {
            absent(id);
          } else {
            ended(id, JobStore.endOf(id, e.value()));
          }
          step();
        });
  }

  /** Only an end that is recorded says anything: without one it is asked again. */
  private void absent(JobId id) {
    if (unclear.remove(id)) {
      return;
    }
    Retry last = retries.get(id);
    Span pause = last == null ? FIRST_PAUSE : last.pause;
    Span next = pause.times(2).longerThan(LONGEST_PAUSE) ? LONGEST_PAUSE : pause.times(2);
    retries.put(id, new Retry(now.get().plus(pause), next));
  }

  private void ended(JobId id, JobStore.Ended end) {
    if (end == null) {
      LOG.error("record {} can't be read: what needs that job stays pending", Keys.over(id));
      retries.put(id, new Retry(now.get().plus(LONGEST_PAUSE), LONGEST_PAUSE));
      return;
    }
    retries.remove(id);
    unclear.remove(id);
    if (end.phase() == JobStore.Phase.DONE) {
      long atMs = end.atMs() < 0 ? leader.wallMs(now.get()) : end.atMs();
      leader.doneRead(id, atMs, now.get());
    } else {
      leader.cancelledRead(id, now.get());
    }
  }

  private void writeCancellations() {
    List<JobId> open = new ArrayList<>();
    for (JobId id : leader.pipelines().toCancel()) {
      if (!cancelling.contains(id) && !unclear.contains(id)) {
        open.add(id);
      }
    }
    int each = Math.max(1, state.limits().operations() / WRITES_PER_CANCEL);
    int from = 0;
    while (from < open.size()
        && transactions < MOST_TRANSACTIONS
        && !now.get().before(writeAfter)) {
      int to = Math.min(open.size(), from + each);
      record(List.copyOf(open.subList(from, to)));
      from = to;
    }
  }

  private void record(List<JobId> some) {
    transactions++;
    cancelling.addAll(some);
    Txn txn = guarded.get();
    some.forEach(id -> jobs.cancelDependent(txn, id, leader.wallMs(now.get())));
    // Above what users ask for, or a wall of submissions would hold cancellations up past cancel_s.
    state.commit(
        StateClient.Rank.SAFETY,
        txn,
        TRY,
        a -> {
          transactions--;
          cancelling.removeAll(some);
          if (cancelled()) {
            return;
          }
          if (a.ok()) {
            some.forEach(this::confirmed);
          } else {
            refused(some, a);
          }
          step();
        });
  }

  private void confirmed(JobId id) {
    jobs.rememberCancelled(id);
    leader.cancelledRead(id, now.get());
  }

  private void refused(List<JobId> some, StateClient.Answer a) {
    writeAfter = now.get().plus(AGAIN);
    if (a.status() == 409 || a.status() == 0) {
      // An end came first, or the transaction may yet be carried out.
      unclear.addAll(some);
    }
  }
}
