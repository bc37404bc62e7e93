package io.saltflow.bookkeeping;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Looks up the jobs that submissions depend on, many with one request: a transaction without writes
 * asks whether there is neither a live record nor an end of each. The keys that it is refused for
 * are there, so a live job is told by the first answer. The state service decides after all
 * questions of the batch were asked, so no answer is stale.
 *
 * <p>A job without either record lies in a bundle or was never accepted. Jobs move from bundles to
 * live records to ends, each in one transaction, so the lookup goes on in that order: bundles are
 * listed after the first comparison, and what is in none of them is compared once more. Only a job
 * that is missing from all three is absent.
 */
final class DependencyLookup extends Routine {
  private static final Span TIMEOUT = Span.millis(1000);

  /** Questions are collected this long when the last batch was sent just before. */
  private static final Span BATCH_INTERVAL = Span.millis(50);

  /** Jobs that are looked up at a time; more are refused at once. */
  private static final int MAX_PENDING = 256;

  private static final int MAX_GUARDS = 64;
  private static final int GUARDS_PER_JOB = 2;

  /** The ends of jobs, as this node knows or reads them. */
  interface Ends {
    /** The end of a job where this node knows it already, else null. */
    JobStore.Known known(JobId id);

    /** Reads the end of a job that has one, and remembers it. */
    void read(JobId id, Consumer<JobStore.Outcome> then);
  }

  private final Loop loop;
  private final StateClient state;
  private final Ends ends;
  private Map<JobId, List<Consumer<DependencyState>>> unsent = new LinkedHashMap<>();
  private int inFlight;
  private Time lastSent = Time.LONG_AGO;
  private boolean planned;

  DependencyLookup(Routine parent, Loop loop, StateClient state, Ends ends) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.ends = ends;
  }

  private int jobsPerRequest() {
    return Math.max(1, Math.min(MAX_GUARDS, state.limits().conditions()) / GUARDS_PER_JOB);
  }

  /** Tells the state of a job as of a moment after this call. */
  void ask(JobId id, Consumer<DependencyState> then) {
    JobStore.Known known = ends.known(id);
    if (known != null) {
      then.accept(stateOf(known));
      return;
    }
    if (unsent.size() + inFlight >= MAX_PENDING) {
      then.accept(DependencyState.UNKNOWN);
      return;
    }
    // Never joined to a request that was sent before: its answer may be older than this question.
    unsent.computeIfAbsent(id, i -> new ArrayList<>(1)).add(then);
    if (!planned) {
      planned = true;
      Span sinceLast = loop.now().since(lastSent);
      boolean recent = BATCH_INTERVAL.longerThan(sinceLast);
      loop.after(recent ? BATCH_INTERVAL.minus(sinceLast) : new Span(0), this, this::flush);
    }
  }

  private void flush() {
    planned = false;
    lastSent = loop.now();
    Map<JobId, List<Consumer<DependencyState>>> all = unsent;
    unsent = new LinkedHashMap<>();
    inFlight += all.size();
    Map<JobId, List<Consumer<DependencyState>>> some = new LinkedHashMap<>();
    int jobsPerRequest = jobsPerRequest();
    for (Map.Entry<JobId, List<Consumer<DependencyState>>> e : all.entrySet()) {
      some.put(e.getKey(), e.getValue());
      if (some.size() == jobsPerRequest) {
        new Batch(some).start();
        some = new LinkedHashMap<>();
      }
    }
    if (!some.isEmpty()) {
      new Batch(some).start();
    }
  }

  private static DependencyState stateOf(JobStore.Known known) {
    return switch (known.phase()) {
      case LIVE -> DependencyState.LIVE;
      case DONE -> DependencyState.DONE;
      case CANCELLED -> DependencyState.CANCELLED;
    };
  }

  /** Jobs that are looked up with the same requests. */
  private final class Batch {
    private final Map<JobId, List<Consumer<DependencyState>>> askers;

    Batch(Map<JobId, List<Consumer<DependencyState>>> askers) {
      this.askers = askers;
    }

    void start() {
      compare(new ArrayList<>(askers.keySet()), this::listBundles);
    }

    /**
     * Tells of those that have a live record or an end.
     *
     * @param without takes those that had neither at one revision after this call
     */
    private void compare(List<JobId> ids, Consumer<List<JobId>> without) {
      Txn txn = new Txn();
      ids.forEach(id -> Admissions.absent(txn, id));
      state.commit(
          StateClient.Rank.USER,
          txn,
          TIMEOUT,
          a -> {
            if (a.ok()) {
              without.accept(ids);
            } else if (a.status() == 409) {
              tellNamed(a, ids, without);
            } else {
              tellAll(ids, DependencyState.UNKNOWN);
            }
          });
    }

    private void tellNamed(StateClient.Answer a, List<JobId> ids, Consumer<List<JobId>> without) {
      List<JobId> unnamed = new ArrayList<>();
      for (JobId id : ids) {
        if (a.refusedFor(Keys.over(id))) {
          readEnd(id);
        } else if (a.refusedFor(Keys.live(id))) {
          tell(id, DependencyState.LIVE);
        } else {
          unnamed.add(id);
        }
      }
      if (unnamed.size() == ids.size()) {
        tellAll(ids, DependencyState.UNKNOWN);
      } else if (!unnamed.isEmpty()) {
        // The service does not promise to name all keys that differ: the others are asked for anew.
        compare(unnamed, without);
      }
    }

    private void readEnd(JobId id) {
      ends.read(
          id,
          outcome ->
              tell(
                  id,
                  outcome instanceof JobStore.Outcome.Found found
                      ? stateOf(found.job())
                      : DependencyState.UNKNOWN));
    }

    private void listBundles(List<JobId> ids) {
      state.list(
          StateClient.Rank.USER,
          Bundles.PREFIX,
          listing -> {
            if (listing == null) {
              tellAll(ids, DependencyState.UNKNOWN);
              return;
            }
            Set<JobId> bundled = new HashSet<>();
            boolean readable = true;
            for (StateClient.Entry e : listing.entries()) {
              bundled.addAll(Bundles.ids(e.value()));
              readable &= Bundles.whole(e.value());
            }
            List<JobId> missing = new ArrayList<>();
            for (JobId id : ids) {
              if (bundled.contains(id)) {
                tell(id, DependencyState.LIVE);
              } else {
                missing.add(id);
              }
            }
            if (!readable) {
              // What can't be read may hold any of them.
              tellAll(missing, DependencyState.UNKNOWN);
            } else if (!missing.isEmpty()) {
              compare(missing, absent -> tellAll(absent, DependencyState.ABSENT));
            }
          });
    }

    private void tellAll(List<JobId> ids, DependencyState found) {
      ids.forEach(id -> tell(id, found));
    }

    private void tell(JobId id, DependencyState found) {
      inFlight--;
      // Its end may have been recorded by this node while the answer was on its way.
      JobStore.Known known = ends.known(id);
      DependencyState told = known == null ? found : stateOf(known);
      askers.get(id).forEach(asker -> asker.accept(told));
    }
  }
}
