package io.saltflow.store;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks with one request whether many jobs are still live. A transaction without writes compares
 * the revisions of their records with those that this node has read. It is executed after all of
 * the checks were requested, so its result is at least as recent as separate reads would be.
 * Batching keeps status polls from using up the request rate of the key-value store. Runs on the
 * event loop.
 */
public final class LivenessCheck extends Routine {
  /** Result of a check. */
  public enum Liveness {
    /** The record is unchanged. */
    LIVE,
    /** The record has changed or its revision is not cached, so it must be read. */
    MUST_READ,
    /** The store gave no definite response; the check may be retried. */
    UNKNOWN
  }

  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);

  /** Minimum time between two requests, during which checks are collected. */
  private static final TimeSpan BATCH_INTERVAL = TimeSpan.millis(100);

  private static final int STATUS_CONFLICT = 409;
  private static final int MAX_GUARDS = 64;
  private static final int MAX_KNOWN_RECORDS = 8000;

  /** Revisions of keys, all of which stay unchanged while the job is live. */
  private record KnownRecord(List<RevisionGuard> guards) {}

  private record RevisionGuard(String key, Revision revision) {}

  private final EventLoop loop;
  private final KeyValueClient client;
  private final Map<JobId, KnownRecord> knownRecords =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, KnownRecord> eldest) {
          return size() > MAX_KNOWN_RECORDS;
        }
      };
  private Map<JobId, List<Consumer<Liveness>>> pending = new LinkedHashMap<>();

  /** The highest priority of the pending checks. */
  private KeyValueClient.RequestPriority highestPriority =
      KeyValueClient.RequestPriority.STATUS_POLLS;

  private MonotonicTime lastSentAt = MonotonicTime.LONG_AGO;
  private boolean flushScheduled;

  /** Creates a check without cached records. */
  public LivenessCheck(Routine parent, EventLoop loop, KeyValueClient client) {
    super(parent);
    this.loop = loop;
    this.client = client;
  }

  /** Caches the revision of a job that has a separate record. */
  public void remember(JobId id, Revision revision) {
    knownRecords.put(id, new KnownRecord(List.of(new RevisionGuard(Keys.liveJob(id), revision))));
  }

  /** Caches the revision of the submission batch that holds a job that has not ended. */
  public void rememberInBatch(JobId id, String batchKey, Revision revision) {
    knownRecords.put(
        id,
        new KnownRecord(
            List.of(
                new RevisionGuard(batchKey, revision),
                new RevisionGuard(Keys.finishedJob(id), Revision.ABSENT))));
  }

  /** Returns whether the job can be checked without a read. */
  public boolean isKnown(JobId id) {
    return knownRecords.containsKey(id);
  }

  /** Discards the cached revision of a job whose record has changed. */
  public void forget(JobId id) {
    knownRecords.remove(id);
  }

  /** Checks whether a job is live. Runs the callback once, possibly before this method returns. */
  public void check(
      JobId id, KeyValueClient.RequestPriority priority, Consumer<Liveness> callback) {
    if (!knownRecords.containsKey(id)) {
      callback.accept(Liveness.MUST_READ);
      return;
    }
    pending.computeIfAbsent(id, ignored -> new ArrayList<>(1)).add(callback);
    highestPriority = priority.compareTo(highestPriority) < 0 ? priority : highestPriority;
    if (flushScheduled) {
      return;
    }
    TimeSpan sinceLast = loop.now().since(lastSentAt);
    if (sinceLast.compareTo(BATCH_INTERVAL) >= 0) {
      flush();
    } else {
      flushScheduled = true;
      loop.schedule(BATCH_INTERVAL.minus(sinceLast), this, this::flush);
    }
  }

  private int maxGuards() {
    return Math.min(MAX_GUARDS, client.limits().maxGuards());
  }

  private void flush() {
    flushScheduled = false;
    lastSentAt = loop.now();
    Map<JobId, List<Consumer<Liveness>>> all = pending;
    pending = new LinkedHashMap<>();
    KeyValueClient.RequestPriority priority = highestPriority;
    highestPriority = KeyValueClient.RequestPriority.STATUS_POLLS;
    Map<JobId, List<Consumer<Liveness>>> batch = new LinkedHashMap<>();
    int guards = 0;
    for (Map.Entry<JobId, List<Consumer<Liveness>>> entry : all.entrySet()) {
      KnownRecord known = knownRecords.get(entry.getKey());
      if (known == null) {
        complete(entry.getValue(), Liveness.MUST_READ);
        continue;
      }
      if (guards + known.guards.size() > maxGuards()) {
        compare(priority, batch);
        batch = new LinkedHashMap<>();
        guards = 0;
      }
      guards += known.guards.size();
      batch.put(entry.getKey(), entry.getValue());
    }
    if (!batch.isEmpty()) {
      compare(priority, batch);
    }
  }

  /**
   * Compares the cached revisions of a batch with the store. Jobs that were forgotten since their
   * check began must be read: if they were left out, their polls would never be answered and would
   * count as in flight indefinitely.
   */
  private void compare(
      KeyValueClient.RequestPriority priority, Map<JobId, List<Consumer<Liveness>>> checks) {
    Map<JobId, List<Consumer<Liveness>>> batch = new LinkedHashMap<>();
    Map<JobId, KnownRecord> compared = new LinkedHashMap<>();
    List<Consumer<Liveness>> forgotten = new ArrayList<>();
    checks.forEach(
        (id, callbacks) -> {
          KnownRecord known = knownRecords.get(id);
          if (known == null) {
            forgotten.addAll(callbacks);
          } else {
            batch.put(id, callbacks);
            compared.put(id, known);
          }
        });
    if (!batch.isEmpty()) {
      compare(priority, batch, compared);
    }
    complete(forgotten, Liveness.MUST_READ);
  }

  private void compare(
      KeyValueClient.RequestPriority priority,
      Map<JobId, List<Consumer<Liveness>>> batch,
      Map<JobId, KnownRecord> compared) {
    Map<String, Revision> revisions = new LinkedHashMap<>();
    compared
        .values()
        .forEach(known -> known.guards.forEach(guard -> revisions.put(guard.key, guard.revision)));
    Transaction transaction = new Transaction();
    revisions.forEach(transaction::guard);
    client.commit(
        priority,
        transaction,
        REQUEST_TIMEOUT,
        response -> {
          if (response.status() == STATUS_CONFLICT) {
            onConflict(priority, response, batch, compared);
          } else if (response.isPermanentlyRejected() && batch.size() > 1) {
            // The store accepts fewer guards than assumed: compare each half separately.
            halves(batch).forEach(half -> compare(priority, half));
          } else {
            Liveness liveness = response.isSuccess() ? Liveness.LIVE : Liveness.UNKNOWN;
            batch.values().forEach(callbacks -> complete(callbacks, liveness));
          }
        });
  }

  /**
   * Handles a batch in which some records have changed. Jobs named in the response must be read.
   * The response may not name all failed guards, so the others are compared again.
   */
  private void onConflict(
      KeyValueClient.RequestPriority priority,
      KeyValueClient.StoreResponse response,
      Map<JobId, List<Consumer<Liveness>>> batch,
      Map<JobId, KnownRecord> compared) {
    Map<JobId, List<Consumer<Liveness>>> unchanged = new LinkedHashMap<>(batch);
    compared.forEach(
        (id, known) -> {
          if (known.guards.stream().anyMatch(guard -> response.failedGuardOn(guard.key))) {
            unchanged.remove(id);
            knownRecords.remove(id, known);
          }
        });
    if (unchanged.size() == batch.size()) {
      unchanged.clear();
    }
    batch.forEach(
        (id, callbacks) -> {
          if (!unchanged.containsKey(id)) {
            complete(callbacks, Liveness.MUST_READ);
          }
        });
    compare(priority, unchanged);
  }

  private static List<Map<JobId, List<Consumer<Liveness>>>> halves(
      Map<JobId, List<Consumer<Liveness>>> all) {
    Map<JobId, List<Consumer<Liveness>>> first = new LinkedHashMap<>();
    Map<JobId, List<Consumer<Liveness>>> second = new LinkedHashMap<>();
    all.forEach(
        (id, callbacks) -> (first.size() < all.size() / 2 ? first : second).put(id, callbacks));
    return List.of(first, second);
  }

  private static void complete(List<Consumer<Liveness>> callbacks, Liveness liveness) {
    callbacks.forEach(callback -> callback.accept(liveness));
  }
}
