package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.Lane;
import io.saltflow.priority.LaneRules;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.KeyValueClient.RequestPriority;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Stores job records in the key-value store, under {@code live/ID} until a job ends and permanently
 * under {@code over/ID} afterwards. One transaction, guarded by the absence of an end record, moves
 * a job from one to the other. Every node may use it, on its event loop.
 */
public final class JobRepository extends Routine {
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(100);
  private static final TimeSpan CANCEL_TIMEOUT = TimeSpan.millis(3500);

  private final EventLoop loop;
  private final KeyValueClient store;
  private final LaneRules lanes;
  private final JobLookup lookup;
  private final AdmissionWriter admissionWriter;
  private final DependentAdmission dependentAdmission;
  private final OrphanLookup orphanLookup;

  /**
   * Creates the repository of one node.
   *
   * @param process globally unique name of this process, never reused
   * @param lanes rules that assign new jobs to priority lanes
   */
  public JobRepository(
      Routine parent, EventLoop loop, KeyValueClient store, String process, LaneRules lanes) {
    super(parent);
    this.lanes = lanes;
    this.loop = loop;
    this.store = store;
    lookup = new JobLookup(this, loop, store);
    admissionWriter =
        new AdmissionWriter(this, loop, store, lookup.livenessCheck(), this::find, process);
    DependencyLookup dependencyLookup = new DependencyLookup(this, loop, store, lookup);
    dependentAdmission =
        new DependentAdmission(this, loop, store, dependencyLookup, lookup, this::admitIndependent);
    orphanLookup = new OrphanLookup(store, dependencyLookup);
  }

  /**
   * Records a new job. The request is idempotent: if the job is already recorded, its record is
   * unchanged.
   *
   * @param wallMs wall-clock time of the submission in milliseconds
   */
  public void admit(JobSpec spec, long wallMs, Consumer<JobOutcome> then) {
    if (spec.dependencies().isEmpty()) {
      admitIndependent(spec, wallMs, then);
    } else {
      dependentAdmission.admit(spec, wallMs, then);
    }
  }

  private void admitIndependent(JobSpec spec, long wallMs, Consumer<JobOutcome> then) {
    JobId id = spec.id();
    lookup.unlessKnown(
        id,
        then,
        () ->
            admissionWriter.add(
                id,
                JobRecordCodec.encode(spec, wallMs, lanes.laneFor(spec)),
                outcome -> lookup.respondWithNewest(id, RequestPriority.USER, outcome, then)));
  }

  /**
   * Finds the live jobs that depend on cancelled ones.
   *
   * @param then receives the jobs, or {@code null} if they could not be determined
   */
  public void findOrphans(Consumer<Set<JobId>> then) {
    orphanLookup.find(then);
  }

  /** Looks up a job. The outcome is absent only if the store has confirmed it. */
  public void find(JobId id, Consumer<JobOutcome> then) {
    lookup.find(id, RequestPriority.USER, then);
  }

  /** Looks up a job with the lowest priority, for a polling client that will retry. */
  public void poll(JobId id, Consumer<JobOutcome> then) {
    lookup.find(id, RequestPriority.STATUS_POLLS, then);
  }

  /**
   * Returns the cached end of a job, or {@code null} if this node knows of none. The job may still
   * have ended elsewhere.
   */
  public JobStatus cachedEnd(JobId id) {
    return lookup.cachedEnd(id);
  }

  /** Cancels a live job. The outcome is the job's end, which may have another cause. */
  public void cancel(JobId id, Consumer<JobOutcome> then) {
    cancel(id, loop.now().plus(CANCEL_TIMEOUT), then);
  }

  private void cancel(JobId id, MonotonicTime deadline, Consumer<JobOutcome> then) {
    ifLive(id, then, found -> recordCancellation(found.status(), deadline, then));
  }

  private void recordCancellation(
      JobStatus live, MonotonicTime deadline, Consumer<JobOutcome> then) {
    JobId id = live.id();
    JobStatus ended = new JobStatus(id, JobPhase.CANCELLED, live.doneCount());
    Transaction txn =
        new Transaction()
            .guard(Keys.finishedJob(id), Revision.ABSENT)
            .put(Keys.finishedJob(id), JobRecordCodec.encodeEnd(ended))
            .delete(Keys.liveJob(id));
    store.commit(
        RequestPriority.USER,
        txn,
        REQUEST_TIMEOUT,
        answer -> {
          if (answer.isSuccess()) {
            lookup.onEndRecorded(ended);
            then.accept(new JobOutcome.Found(ended));
          } else {
            retryOrGiveUp(answer, deadline, () -> cancel(id, deadline, then), then);
          }
        });
  }

  /** Retries a request without a conclusive answer if enough time is left until its deadline. */
  private void retryOrGiveUp(
      KeyValueClient.StoreResponse answer,
      MonotonicTime deadline,
      Runnable retry,
      Consumer<JobOutcome> then) {
    boolean retryable = answer.status() == 0 || answer.status() == 429 || answer.status() == 409;
    // A rate-limited request was not executed, and its retry is answered quickly.
    TimeSpan expected = answer.status() == 429 ? RETRY_DELAY : REQUEST_TIMEOUT;
    if (retryable && loop.now().plus(RETRY_DELAY).plus(expected).before(deadline)) {
      loop.schedule(RETRY_DELAY, this, retry);
    } else {
      then.accept(new JobOutcome.Unknown());
    }
  }

  /** Runs the action if the job is live, and passes any other outcome to the callback. */
  private void ifLive(JobId id, Consumer<JobOutcome> then, Consumer<JobOutcome.Found> action) {
    find(
        id,
        outcome -> {
          if (outcome instanceof JobOutcome.Found found
              && found.status().phase() == JobPhase.LIVE) {
            action.accept(found);
          } else {
            then.accept(outcome);
          }
        });
  }

  /** Adds the end of a job whose tasks are all done to a leader's transaction. */
  void writeDone(Transaction txn, JobId id, int tasks, long wallMs) {
    writeEnd(txn, JobStatus.done(id, tasks), wallMs);
  }

  /**
   * Adds the cancellation of a job, caused by the cancellation of a dependency, to a leader's
   * transaction. No task of the job was ever launched.
   */
  void writeCancelled(Transaction txn, JobId id, long wallMs) {
    writeEnd(txn, JobStatus.cancelled(id), wallMs);
  }

  private static void writeEnd(Transaction txn, JobStatus ended, long wallMs) {
    txn.guard(Keys.finishedJob(ended.id()), Revision.ABSENT)
        .put(Keys.finishedJob(ended.id()), JobRecordCodec.encodeEnd(ended, wallMs))
        .delete(Keys.liveJob(ended.id()));
  }

  /** Caches the recorded end of a job whose tasks are all done. */
  void cacheDone(JobId id, int tasks) {
    lookup.onEndRecorded(JobStatus.done(id, tasks));
  }

  /** Caches the recorded cancellation of a job that was caused by a dependency. */
  void cacheCancelled(JobId id) {
    lookup.onEndRecorded(JobStatus.cancelled(id));
  }

  /**
   * Records an operator's override of a live job's position in the queue. Any node may write it.
   *
   * @param lane lane to which the job moves, or {@code null} for the front of its own lane
   * @param then receives the live job if the override was recorded, an unknown outcome if that is
   *     uncertain, and any other outcome if the job is not live
   */
  public void overrideOrder(JobId id, Lane lane, Consumer<JobOutcome> then) {
    ifLive(
        id,
        then,
        found ->
            store.get(
                RequestPriority.USER,
                Keys.operatorOverride(id),
                REQUEST_TIMEOUT,
                before -> {
                  if (before == null) {
                    then.accept(new JobOutcome.Unknown());
                  } else {
                    recordOverride(found, lane, before.revision(), then);
                  }
                }));
  }

  /**
   * Records an override, guarded by the revision that it replaces. Without the guard, an unanswered
   * override that is executed late would revert a newer one.
   */
  private void recordOverride(
      JobOutcome.Found found, Lane lane, Revision replaced, Consumer<JobOutcome> then) {
    JobId id = found.status().id();
    Transaction txn =
        new Transaction()
            .guard(Keys.finishedJob(id), Revision.ABSENT)
            .guard(Keys.operatorOverride(id), replaced)
            .put(Keys.operatorOverride(id), QueueOrderCodec.encode(lane));
    store.commit(
        RequestPriority.USER,
        txn,
        REQUEST_TIMEOUT,
        answer -> then.accept(answer.isSuccess() ? found : new JobOutcome.Unknown()));
  }

  /** Lists the records of all live jobs, including batches, and the revision to watch from. */
  public void listLive(Consumer<KeyValueClient.PrefixListing> then) {
    store.list(RequestPriority.LEADERSHIP, Keys.LIVE_JOBS, then);
  }

  /**
   * Waits for changes of the live jobs.
   *
   * @param after revision after which changes are reported
   * @param hold time for which the store holds the request while there are no changes
   */
  public void watchLive(long after, TimeSpan hold, Consumer<KeyValueClient.StoreResponse> then) {
    store.watch(Keys.LIVE_JOBS, after, hold, then);
  }
}
