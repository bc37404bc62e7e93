package io.saltflow.bookkeeping;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Accepts jobs that depend on others. Dependencies that are done are dropped from the record, those
 * that are live stay in it. A job that depends on a cancelled one is accepted and recorded as
 * cancelled at once; one that depends on a job that was never accepted is refused. Nothing is
 * decided while the state of a dependency isn't known, and a job that is known already is never
 * decided upon again.
 */
final class DependentAdmission extends Routine {
  /** A submission is awaited for 5 s, and the acceptance that follows may take 3.5 s of them. */
  private static final Span LOOKUP_PATIENCE = Span.millis(1200);

  private static final Span WRITE_PATIENCE = Span.millis(3000);
  private static final Span TIMEOUT = Span.millis(1500);
  private static final Span PAUSE = Span.millis(100);

  /** What becomes of a submission. */
  sealed interface Decision {
    /** To be recorded as waiting for these; empty: it may start. */
    record Accept(List<JobId> open) implements Decision {}

    /** To be recorded as cancelled. */
    record AcceptCancelled() implements Decision {}

    /** A dependency was never accepted, so the job can never run. */
    record Refuse(JobId neverAccepted) implements Decision {}

    /** The state of a dependency is not known now. */
    record Undecided() implements Decision {}
  }

  /** What this needs of the records of jobs. */
  interface Records {
    /** Whether this node has seen that the job was accepted. */
    boolean seen(JobId id);

    /** Looks a job up; absent only on definite knowledge. */
    void find(JobId id, Consumer<JobStore.Outcome> then);

    /** Records a job with those of its dependencies that are not over. */
    void accept(JobSpec spec, long wallMs, Consumer<JobStore.Outcome> then);

    /** The job was recorded as cancelled. */
    void cancelled(JobStore.Known end);
  }

  private final Loop loop;
  private final StateClient state;
  private final DependencyLookup lookup;
  private final Records records;

  DependentAdmission(
      Routine parent, Loop loop, StateClient state, DependencyLookup lookup, Records records) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.lookup = lookup;
    this.records = records;
  }

  /**
   * A dependency that was never accepted decides whatever the others are; any that isn't known may
   * be such a one.
   */
  static Decision decide(Map<JobId, DependencyState> states) {
    for (Map.Entry<JobId, DependencyState> e : states.entrySet()) {
      if (e.getValue() == DependencyState.ABSENT) {
        return new Decision.Refuse(e.getKey());
      }
    }
    if (states.containsValue(DependencyState.UNKNOWN)) {
      return new Decision.Undecided();
    }
    if (states.containsValue(DependencyState.CANCELLED)) {
      return new Decision.AcceptCancelled();
    }
    List<JobId> open = new ArrayList<>();
    states.forEach(
        (id, found) -> {
          if (found == DependencyState.LIVE) {
            open.add(id);
          }
        });
    return new Decision.Accept(open);
  }

  /** Writes a job down that names dependencies, or finds that it is known. */
  void admit(JobSpec spec, long wallMs, Consumer<JobStore.Outcome> then) {
    Lookup states = new Lookup(spec, wallMs, then);
    if (records.seen(spec.id())) {
      unlessKnown(spec.id(), then, states::start);
    } else {
      states.start();
    }
  }

  /** Goes on with a job that is not known; any other outcome is the answer. */
  private void unlessKnown(JobId id, Consumer<JobStore.Outcome> then, Runnable absent) {
    records.find(
        id,
        outcome -> {
          if (outcome instanceof JobStore.Outcome.Absent) {
            absent.run();
          } else {
            then.accept(outcome);
          }
        });
  }

  /** The states of one submission's dependencies, as they come in. */
  private final class Lookup {
    private final JobSpec spec;
    private final long wallMs;
    private final Consumer<JobStore.Outcome> then;

    /** In the order in which they are named, which the record keeps. */
    private final Map<JobId, DependencyState> states = new LinkedHashMap<>();

    private int unanswered;
    private boolean decided;

    Lookup(JobSpec spec, long wallMs, Consumer<JobStore.Outcome> then) {
      this.spec = spec;
      this.wallMs = wallMs;
      this.then = then;
    }

    void start() {
      loop.after(LOOKUP_PATIENCE, DependentAdmission.this, this::giveUp);
      spec.awaits().forEach(dependency -> states.put(dependency, DependencyState.UNKNOWN));
      unanswered = states.size();
      for (JobId dependency : spec.awaits()) {
        lookup.ask(dependency, found -> told(dependency, found));
      }
    }

    private void giveUp() {
      if (!decided) {
        decided = true;
        then.accept(new JobStore.Outcome.Unknown());
      }
    }

    private void told(JobId dependency, DependencyState found) {
      states.put(dependency, found);
      unanswered--;
      if (!decided && unanswered == 0) {
        decided = true;
        carryOut(decide(states));
      }
    }

    private void carryOut(Decision decision) {
      JobId id = spec.id();
      if (decision instanceof Decision.Accept accept) {
        records.accept(spec.awaiting(accept.open()), wallMs, then);
      } else if (decision instanceof Decision.AcceptCancelled) {
        // It may lie in a bundle since an earlier submission, where no guard on its records sees
        // it.
        Time deadline = loop.now().plus(WRITE_PATIENCE);
        unlessKnown(id, then, () -> recordCancelled(id, deadline, then));
      } else if (decision instanceof Decision.Refuse refuse) {
        JobStore.Outcome refused = new JobStore.Outcome.NeverAccepted(refuse.neverAccepted());
        unlessKnown(id, then, () -> then.accept(refused));
      } else {
        unlessKnown(id, then, () -> then.accept(new JobStore.Outcome.Unknown()));
      }
    }
  }

  private void recordCancelled(JobId id, Time deadline, Consumer<JobStore.Outcome> then) {
    JobStore.Known end = new JobStore.Known(id, JobStore.Phase.CANCELLED, 0);
    Txn txn = Admissions.absent(new Txn(), id).put(Keys.over(id), JobStore.ending(end));
    state.commit(
        StateClient.Rank.USER,
        txn,
        TIMEOUT,
        a -> {
          if (a.ok()) {
            records.cancelled(end);
            then.accept(new JobStore.Outcome.CreatedCancelled(id));
          } else if (a.status() == 409) {
            // Known meanwhile; perhaps by a try whose answer was lost.
            records.find(id, then);
          } else if (isRetryable(a) && loop.now().plus(PAUSE).plus(TIMEOUT).before(deadline)) {
            loop.after(PAUSE, this, () -> recordCancelled(id, deadline, then));
          } else {
            then.accept(new JobStore.Outcome.Unknown());
          }
        });
  }

  private static boolean isRetryable(StateClient.Answer a) {
    return a.status() == 0 || a.status() == 429;
  }
}
