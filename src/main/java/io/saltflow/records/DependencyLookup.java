package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Looks up the jobs that submissions depend on, many with one request. A transaction without writes
 * guards the absence of the live record and the end record of each job. The guards that fail name
 * the keys that exist, so one answer identifies live jobs. The key-value store evaluates the guards
 * after all lookups of the batch were requested, so no answer is stale.
 *
 * <p>A job with neither record is in a submission batch or was never accepted. Jobs move from
 * batches to live records to end records, each time in one transaction, so the lookup proceeds in
 * that order: the batches are listed after the first comparison, and jobs that are in none of them
 * are compared once more. Only a job that is missing in all three steps is absent.
 */
final class DependencyLookup extends Routine {
  private static final TimeSpan TIMEOUT = TimeSpan.millis(1000);

  /** Minimum time between two batches, during which lookups are collected. */
  private static final TimeSpan BATCH_INTERVAL = TimeSpan.millis(50);

  /** Maximum number of concurrent lookups; further ones return unknown immediately. */
  private static final int MAX_PENDING = 256;

  private static final int MAX_GUARDS = 64;
  private static final int GUARDS_PER_JOB = 2;

  private final EventLoop loop;
  private final KeyValueClient store;
  private final JobLookup jobLookup;
  private Map<JobId, List<Consumer<DependencyState>>> unsent = new LinkedHashMap<>();
  private int inFlight;
  private MonotonicTime lastSent = MonotonicTime.LONG_AGO;
  private boolean flushScheduled;

  DependencyLookup(Routine parent, EventLoop loop, KeyValueClient store, JobLookup jobLookup) {
    super(parent);
    this.loop = loop;
    this.store = store;
    this.jobLookup = jobLookup;
  }

  private int jobsPerRequest() {
    return Math.max(1, Math.min(MAX_GUARDS, store.limits().maxGuards()) / GUARDS_PER_JOB);
  }

  /** Looks up the state that a job has at some time after this call. */
  void lookUp(JobId id, Consumer<DependencyState> then) {
    JobStatus cachedEnd = jobLookup.cachedEnd(id);
    if (cachedEnd != null) {
      then.accept(stateOf(cachedEnd));
      return;
    }
    if (unsent.size() + inFlight >= MAX_PENDING) {
      then.accept(DependencyState.UNKNOWN);
      return;
    }
    // Never joins a request in flight, whose answer may be older than this call.
    unsent.computeIfAbsent(id, jobId -> new ArrayList<>(1)).add(then);
    if (!flushScheduled) {
      flushScheduled = true;
      TimeSpan sinceLast = loop.now().since(lastSent);
      boolean recent = BATCH_INTERVAL.longerThan(sinceLast);
      loop.schedule(recent ? BATCH_INTERVAL.minus(sinceLast) : new TimeSpan(0), this, this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    lastSent = loop.now();
    Map<JobId, List<Consumer<DependencyState>>> pending = unsent;
    unsent = new LinkedHashMap<>();
    inFlight += pending.size();
    Map<JobId, List<Consumer<DependencyState>>> batch = new LinkedHashMap<>();
    int jobsPerRequest = jobsPerRequest();
    for (Map.Entry<JobId, List<Consumer<DependencyState>>> entry : pending.entrySet()) {
      batch.put(entry.getKey(), entry.getValue());
      if (batch.size() == jobsPerRequest) {
        new LookupBatch(batch).start();
        batch = new LinkedHashMap<>();
      }
    }
    if (!batch.isEmpty()) {
      new LookupBatch(batch).start();
    }
  }

  private static DependencyState stateOf(JobStatus status) {
    return switch (status.phase()) {
      case LIVE -> DependencyState.LIVE;
      case DONE -> DependencyState.DONE;
      case CANCELLED -> DependencyState.CANCELLED;
    };
  }

  /** Jobs that are looked up with shared requests. */
  private final class LookupBatch {
    private final Map<JobId, List<Consumer<DependencyState>>> callbacks;

    LookupBatch(Map<JobId, List<Consumer<DependencyState>>> callbacks) {
      this.callbacks = callbacks;
    }

    void start() {
      compare(new ArrayList<>(callbacks.keySet()), this::listBatches);
    }

    /**
     * Resolves the jobs that have a live record or an end record.
     *
     * @param onAbsent receives the jobs that had neither at one revision after this call
     */
    private void compare(List<JobId> ids, Consumer<List<JobId>> onAbsent) {
      Transaction txn = new Transaction();
      ids.forEach(id -> AdmissionWriter.guardAbsent(txn, id));
      store.commit(
          KeyValueClient.RequestPriority.USER,
          txn,
          TIMEOUT,
          answer -> {
            if (answer.isSuccess()) {
              onAbsent.accept(ids);
            } else if (answer.status() == 409) {
              resolveReported(answer, ids, onAbsent);
            } else {
              respondAll(ids, DependencyState.UNKNOWN);
            }
          });
    }

    private void resolveReported(
        KeyValueClient.StoreResponse answer, List<JobId> ids, Consumer<List<JobId>> onAbsent) {
      List<JobId> unreported = new ArrayList<>();
      for (JobId id : ids) {
        if (answer.failedGuardOn(Keys.finishedJob(id))) {
          readEnd(id);
        } else if (answer.failedGuardOn(Keys.liveJob(id))) {
          respond(id, DependencyState.LIVE);
        } else {
          unreported.add(id);
        }
      }
      if (unreported.size() == ids.size()) {
        respondAll(ids, DependencyState.UNKNOWN);
      } else if (!unreported.isEmpty()) {
        // The store need not report every failed guard, so the other jobs are compared again.
        compare(unreported, onAbsent);
      }
    }

    private void readEnd(JobId id) {
      jobLookup.readEnd(
          id,
          KeyValueClient.RequestPriority.USER,
          outcome ->
              respond(
                  id,
                  outcome instanceof JobOutcome.Found found
                      ? stateOf(found.status())
                      : DependencyState.UNKNOWN),
          () -> respond(id, DependencyState.UNKNOWN));
    }

    private void listBatches(List<JobId> ids) {
      store.list(
          KeyValueClient.RequestPriority.USER,
          SubmissionBatch.PREFIX,
          listing -> {
            if (listing == null) {
              respondAll(ids, DependencyState.UNKNOWN);
              return;
            }
            Set<JobId> batched = new HashSet<>();
            boolean readable = true;
            for (KeyValueClient.KeyValue keyValue : listing.entries()) {
              batched.addAll(SubmissionBatch.jobIds(keyValue.value()));
              readable &= SubmissionBatch.isReadable(keyValue.value());
            }
            List<JobId> missing = new ArrayList<>();
            for (JobId id : ids) {
              if (batched.contains(id)) {
                respond(id, DependencyState.LIVE);
              } else {
                missing.add(id);
              }
            }
            if (!readable) {
              // Any of the missing jobs may be in an unreadable field.
              respondAll(missing, DependencyState.UNKNOWN);
            } else if (!missing.isEmpty()) {
              compare(missing, absent -> respondAll(absent, DependencyState.ABSENT));
            }
          });
    }

    private void respondAll(List<JobId> ids, DependencyState state) {
      ids.forEach(id -> respond(id, state));
    }

    private void respond(JobId id, DependencyState found) {
      inFlight--;
      // This node may have recorded the job's end while the request was in flight.
      JobStatus cachedEnd = jobLookup.cachedEnd(id);
      DependencyState state = cachedEnd == null ? found : stateOf(cachedEnd);
      callbacks.get(id).forEach(callback -> callback.accept(state));
    }
  }
}
