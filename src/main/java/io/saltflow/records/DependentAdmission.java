package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Admits jobs that depend on others. The job's record keeps its live dependencies and omits those
 * that are done. A job that depends on a cancelled job is accepted and immediately recorded as
 * cancelled; a job that depends on a job that was never accepted is refused. No decision is made
 * while the state of a dependency is unknown, and a job that is already recorded is never decided
 * again.
 */
final class DependentAdmission extends Routine {
  /** Leaves 3.5 s for the write that follows, as clients time out after 5 s. */
  private static final TimeSpan LOOKUP_TIMEOUT = TimeSpan.millis(1200);

  private static final TimeSpan WRITE_TIMEOUT = TimeSpan.millis(3000);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(100);

  /** Decision on a submission that follows from the states of its dependencies. */
  sealed interface AdmissionDecision {
    /**
     * The job is recorded as live.
     *
     * @param open dependencies that have not ended; if empty, the job may start
     */
    record Accept(List<JobId> open) implements AdmissionDecision {}

    /** The job is recorded as cancelled. */
    record AcceptCancelled() implements AdmissionDecision {}

    /** The job is refused, because a dependency was never accepted and the job could never run. */
    record Refuse(JobId neverAccepted) implements AdmissionDecision {}

    /** The state of a dependency is unknown. */
    record Undecided() implements AdmissionDecision {}
  }

  /** Records a job whose specification names only the dependencies that have not ended. */
  interface AdmissionRecorder {
    void record(JobSpec spec, long wallMs, Consumer<JobOutcome> then);
  }

  private final EventLoop loop;
  private final KeyValueClient store;
  private final DependencyLookup dependencyLookup;
  private final JobLookup jobLookup;
  private final AdmissionRecorder recorder;

  DependentAdmission(
      Routine parent,
      EventLoop loop,
      KeyValueClient store,
      DependencyLookup dependencyLookup,
      JobLookup jobLookup,
      AdmissionRecorder recorder) {
    super(parent);
    this.loop = loop;
    this.store = store;
    this.dependencyLookup = dependencyLookup;
    this.jobLookup = jobLookup;
    this.recorder = recorder;
  }

  /**
   * Decides on a submission by the states of all its dependencies. A dependency that was never
   * accepted takes precedence over all others. An unknown state comes next, because that dependency
   * may never have been accepted either.
   */
  static AdmissionDecision decide(Map<JobId, DependencyState> states) {
    for (Map.Entry<JobId, DependencyState> entry : states.entrySet()) {
      if (entry.getValue() == DependencyState.ABSENT) {
        return new AdmissionDecision.Refuse(entry.getKey());
      }
    }
    if (states.containsValue(DependencyState.UNKNOWN)) {
      return new AdmissionDecision.Undecided();
    }
    if (states.containsValue(DependencyState.CANCELLED)) {
      return new AdmissionDecision.AcceptCancelled();
    }
    List<JobId> open = new ArrayList<>();
    states.forEach(
        (id, state) -> {
          if (state == DependencyState.LIVE) {
            open.add(id);
          }
        });
    return new AdmissionDecision.Accept(open);
  }

  /**
   * Records a job that names dependencies, unless it is already recorded.
   *
   * @param wallMs wall-clock time of the submission
   */
  void admit(JobSpec spec, long wallMs, Consumer<JobOutcome> then) {
    DependencyCheck check = new DependencyCheck(spec, wallMs, then);
    jobLookup.unlessKnown(spec.id(), then, check::start);
  }

  /** Collects the states of one submission's dependencies, then decides. */
  private final class DependencyCheck {
    private final JobSpec spec;
    private final long wallMs;
    private final Consumer<JobOutcome> then;

    /** States in the order in which the submission names them, which the record preserves. */
    private final Map<JobId, DependencyState> states = new LinkedHashMap<>();

    private int unanswered;
    private boolean decided;

    DependencyCheck(JobSpec spec, long wallMs, Consumer<JobOutcome> then) {
      this.spec = spec;
      this.wallMs = wallMs;
      this.then = then;
    }

    void start() {
      loop.schedule(LOOKUP_TIMEOUT, DependentAdmission.this, this::giveUp);
      spec.dependencies().forEach(dependency -> states.put(dependency, DependencyState.UNKNOWN));
      unanswered = states.size();
      for (JobId dependency : spec.dependencies()) {
        dependencyLookup.lookUp(dependency, state -> onState(dependency, state));
      }
    }

    private void giveUp() {
      if (!decided) {
        decided = true;
        then.accept(new JobOutcome.Unknown());
      }
    }

    private void onState(JobId dependency, DependencyState state) {
      states.put(dependency, state);
      unanswered--;
      if (!decided && unanswered == 0) {
        decided = true;
        apply(decide(states));
      }
    }

    private void apply(AdmissionDecision decision) {
      JobId id = spec.id();
      if (decision instanceof AdmissionDecision.Accept accept) {
        recorder.record(spec.withDependencies(accept.open()), wallMs, then);
      } else if (decision instanceof AdmissionDecision.AcceptCancelled) {
        // An earlier submission may have put the job into a batch, which the guards do not cover.
        MonotonicTime deadline = loop.now().plus(WRITE_TIMEOUT);
        jobLookup.ifAbsent(id, then, () -> recordCancelled(id, deadline, then));
      } else if (decision instanceof AdmissionDecision.Refuse refuse) {
        JobOutcome refused = new JobOutcome.NeverAccepted(refuse.neverAccepted());
        jobLookup.ifAbsent(id, then, () -> then.accept(refused));
      } else {
        jobLookup.ifAbsent(id, then, () -> then.accept(new JobOutcome.Unknown()));
      }
    }
  }

  private void recordCancelled(JobId id, MonotonicTime deadline, Consumer<JobOutcome> then) {
    JobStatus end = JobStatus.cancelled(id);
    Transaction txn =
        AdmissionWriter.guardAbsent(new Transaction(), id)
            .put(Keys.finishedJob(id), JobRecordCodec.encodeEnd(end));
    store.commit(
        KeyValueClient.RequestPriority.USER,
        txn,
        REQUEST_TIMEOUT,
        answer -> {
          if (answer.isSuccess()) {
            jobLookup.onEndRecorded(end);
            then.accept(new JobOutcome.CreatedCancelled(id));
          } else if (answer.status() == 409) {
            // The job is already recorded, perhaps by an attempt whose answer was lost.
            jobLookup.find(id, KeyValueClient.RequestPriority.USER, then);
          } else if (isRetryable(answer)
              && loop.now().plus(RETRY_DELAY).plus(REQUEST_TIMEOUT).before(deadline)) {
            loop.schedule(RETRY_DELAY, this, () -> recordCancelled(id, deadline, then));
          } else {
            then.accept(new JobOutcome.Unknown());
          }
        });
  }

  private static boolean isRetryable(KeyValueClient.StoreResponse answer) {
    return answer.status() == 0 || answer.status() == 429;
  }
}
