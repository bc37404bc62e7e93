package io.saltflow.records;

import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
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
 * Reads the end records of jobs that others depend on and records cascading cancellations. Both are
 * retried until they succeed; after a failover the next leader derives the remaining work from the
 * live records alone. Each write is guarded by the leader key and by the absence of an end record.
 * Runs on the leader's event loop.
 */
public final class DependencyRepository extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyRepository.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);

  /** Delay before a retry after an inconclusive answer. */
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);

  /** Delay before the second read; a dependency with no record is briefly in a batch. */
  private static final TimeSpan INITIAL_READ_DELAY = TimeSpan.seconds(1);

  private static final TimeSpan MAX_READ_DELAY = TimeSpan.seconds(4);

  private static final int MAX_READS = 4;
  private static final int MAX_TRANSACTIONS = 2;
  private static final int WRITES_PER_CANCEL = 2;

  /**
   * A pending retry of a read that found no end record.
   *
   * @param at earliest time of the retry
   * @param delay delay after that retry
   */
  private record ReadRetry(MonotonicTime at, TimeSpan delay) {}

  private final KeyValueClient store;
  private final JobRepository jobs;
  private final Supplier<Transaction> guardedTransaction;
  private final Supplier<MonotonicTime> now;
  private final Map<JobId, ReadRetry> retries = new HashMap<>();
  private final Set<JobId> reading = new HashSet<>();

  /** Cancellations whose write is in flight. */
  private final Set<JobId> cancelling = new HashSet<>();

  /** Cancellations without a conclusive answer, whose end records are read before a retry. */
  private final Set<JobId> unconfirmed = new LinkedHashSet<>();

  private int inFlightTransactions;
  private MonotonicTime writeAfter = MonotonicTime.LONG_AGO;
  private LeaderCore leader;

  /**
   * Creates the repository of one leader.
   *
   * @param guardedTransaction creates transactions that fail if another node is the leader
   */
  DependencyRepository(
      Routine parent,
      KeyValueClient store,
      JobRepository jobs,
      Supplier<Transaction> guardedTransaction,
      Supplier<MonotonicTime> now) {
    super(parent);
    this.store = store;
    this.jobs = jobs;
    this.guardedTransaction = guardedTransaction;
    this.now = now;
  }

  /** Sets the leader whose dependencies are handled. */
  void setLeader(LeaderCore core) {
    leader = core;
  }

  /** Starts the reads and writes that are due, within the limits on requests in flight. */
  public void advance() {
    readEnds();
    writeCancellations();
  }

  private void readEnds() {
    List<JobId> needed = leader.dependencies().completionsToRead();
    List<JobId> forTimes = leader.dependencies().completionsToReadForTimes();
    Set<JobId> open = new LinkedHashSet<>(unconfirmed);
    open.addAll(needed);
    Set<JobId> urgent = Set.copyOf(open);
    open.addAll(forTimes);
    retries.keySet().retainAll(open);
    for (JobId id : open) {
      if (reading.size() >= MAX_READS) {
        return;
      }
      ReadRetry retry = retries.get(id);
      if (!reading.contains(id) && (retry == null || !now.get().before(retry.at))) {
        // Launches wait for the needed ends, and unconfirmed cancellations are subject to the
        // cancel_s deadline. Reads for completion times can wait.
        read(
            id,
            urgent.contains(id)
                ? KeyValueClient.RequestPriority.SAFETY
                : KeyValueClient.RequestPriority.BACKGROUND);
      }
    }
  }

  private void read(JobId id, KeyValueClient.RequestPriority priority) {
    reading.add(id);
    store.get(
        priority,
        Keys.finishedJob(id),
        REQUEST_TIMEOUT,
        keyValue -> {
          reading.remove(id);
          if (cancelled()) {
            return;
          }
          if (keyValue == null) {
            retries.put(id, new ReadRetry(now.get().plus(RETRY_DELAY), INITIAL_READ_DELAY));
            return;
          }
          if (keyValue.value() == null) {
            onEndAbsent(id);
          } else {
            onEndRead(id, JobRecordCodec.decodeEnd(id, keyValue.value()));
          }
          advance();
        });
  }

  /** Schedules another read, because an absent end record does not show that a job is live. */
  private void onEndAbsent(JobId id) {
    if (unconfirmed.remove(id)) {
      return;
    }
    ReadRetry last = retries.get(id);
    TimeSpan delay = last == null ? INITIAL_READ_DELAY : last.delay;
    TimeSpan next = delay.times(2).longerThan(MAX_READ_DELAY) ? MAX_READ_DELAY : delay.times(2);
    retries.put(id, new ReadRetry(now.get().plus(delay), next));
  }

  private void onEndRead(JobId id, JobEnd end) {
    if (end == null) {
      LOG.error("cannot read end record {}; dependent jobs stay pending", Keys.finishedJob(id));
      retries.put(id, new ReadRetry(now.get().plus(MAX_READ_DELAY), MAX_READ_DELAY));
      return;
    }
    retries.remove(id);
    unconfirmed.remove(id);
    if (end.phase() == JobPhase.DONE) {
      long atMs = end.endedAtMs() < 0 ? leader.wallClockMs(now.get()) : end.endedAtMs();
      leader.jobs().onCompletionRead(id, atMs, now.get());
    } else {
      leader.jobs().onCancellationRead(id, now.get());
    }
  }

  private void writeCancellations() {
    List<JobId> open = new ArrayList<>();
    for (JobId id : leader.dependencies().jobsToCancel()) {
      if (!cancelling.contains(id) && !unconfirmed.contains(id)) {
        open.add(id);
      }
    }
    int perTransaction = Math.max(1, store.limits().maxOperations() / WRITES_PER_CANCEL);
    int from = 0;
    while (from < open.size()
        && inFlightTransactions < MAX_TRANSACTIONS
        && !now.get().before(writeAfter)) {
      int to = Math.min(open.size(), from + perTransaction);
      commitCancellations(List.copyOf(open.subList(from, to)));
      from = to;
    }
  }

  private void commitCancellations(List<JobId> jobIds) {
    inFlightTransactions++;
    cancelling.addAll(jobIds);
    Transaction txn = guardedTransaction.get();
    jobIds.forEach(id -> jobs.writeCancelled(txn, id, leader.wallClockMs(now.get())));
    // Ranks above user requests, or a burst of submissions would delay cancellations past cancel_s.
    store.commit(
        KeyValueClient.RequestPriority.SAFETY,
        txn,
        REQUEST_TIMEOUT,
        answer -> {
          inFlightTransactions--;
          cancelling.removeAll(jobIds);
          if (cancelled()) {
            return;
          }
          if (answer.isSuccess()) {
            jobIds.forEach(this::onCancelled);
          } else {
            onRefused(jobIds, answer);
          }
          advance();
        });
  }

  private void onCancelled(JobId id) {
    jobs.cacheCancelled(id);
    leader.jobs().onCancellationRead(id, now.get());
  }

  private void onRefused(List<JobId> jobIds, KeyValueClient.StoreResponse answer) {
    writeAfter = now.get().plus(RETRY_DELAY);
    if (answer.status() == 409 || answer.status() == 0) {
      // An end was recorded first, or the transaction may still be executed.
      unconfirmed.addAll(jobIds);
    }
  }
}
