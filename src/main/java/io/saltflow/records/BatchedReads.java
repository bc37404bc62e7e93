package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.LivenessCheck;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Batches status polls of jobs whose records this node has not seen. When many polls are waiting,
 * all live records are listed with one request instead of up to three reads for each job. Otherwise
 * a burst of polls, for example after a load balancer failover, could use the store's entire
 * request rate and cost the leader its lease.
 *
 * <p>The list is requested after the polls arrived, so every record in it existed when they were
 * answered.
 */
final class BatchedReads extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(BatchedReads.class);

  /** Time for which polls are collected. */
  private static final TimeSpan BATCH_INTERVAL = TimeSpan.millis(100);

  /** Minimum time between two lists, each of which costs a request per few hundred records. */
  private static final TimeSpan MIN_LIST_INTERVAL = TimeSpan.seconds(1);

  /** Minimum number of waiting polls for a list; fewer jobs are read individually. */
  private static final int LIST_THRESHOLD = 8;

  private static final int MAX_WAITING = 2000;

  /** Time after which a poll is answered as unknown, before its client times out after 2 s. */
  private static final TimeSpan POLL_TIMEOUT = TimeSpan.millis(1200);

  /** Receives the result of a poll. */
  interface ReadListener {
    /** The job's live record was listed. */
    void onLive();

    /** The job has no live record of its own or is in a batch, and must be read individually. */
    void onReadSeparately();

    /** The status could not be determined; the poll may be repeated. */
    void onUnknown();
  }

  private final EventLoop loop;
  private final KeyValueClient store;
  private final LivenessCheck livenessCheck;
  private Map<JobId, ReadListener> waiting = new LinkedHashMap<>();

  /** Polls that the list in flight will answer. */
  private Map<JobId, ReadListener> listedPolls = new LinkedHashMap<>();

  private boolean flushScheduled;
  private boolean listInFlight;
  private MonotonicTime lastListAt = MonotonicTime.LONG_AGO;

  BatchedReads(Routine parent, EventLoop loop, KeyValueClient store, LivenessCheck livenessCheck) {
    super(parent);
    this.loop = loop;
    this.store = store;
    this.livenessCheck = livenessCheck;
  }

  void add(JobId id, ReadListener listener) {
    if (waiting.size() >= MAX_WAITING || waiting.putIfAbsent(id, listener) != null) {
      // The queue is full, or the same job is already waiting; the client polls again.
      listener.onUnknown();
      return;
    }
    scheduleFlush(BATCH_INTERVAL);
    loop.schedule(POLL_TIMEOUT, this, () -> giveUp(id, listener));
  }

  private void giveUp(JobId id, ReadListener listener) {
    if (waiting.remove(id, listener) || listedPolls.remove(id, listener)) {
      listener.onUnknown();
    }
  }

  private void scheduleFlush(TimeSpan delay) {
    if (!flushScheduled && !listInFlight) {
      flushScheduled = true;
      loop.schedule(delay, this, this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    TimeSpan sinceLastList = loop.now().since(lastListAt);
    if (waiting.size() >= LIST_THRESHOLD && MIN_LIST_INTERVAL.longerThan(sinceLastList)) {
      scheduleFlush(MIN_LIST_INTERVAL.minus(sinceLastList));
      return;
    }
    Map<JobId, ReadListener> batch = waiting;
    waiting = new LinkedHashMap<>();
    if (batch.size() < LIST_THRESHOLD) {
      batch.values().forEach(ReadListener::onReadSeparately);
      return;
    }
    listInFlight = true;
    lastListAt = loop.now();
    listedPolls = batch;
    store.list(KeyValueClient.RequestPriority.STATUS_POLLS, Keys.LIVE_JOBS, this::onListed);
  }

  private void onListed(KeyValueClient.PrefixListing listed) {
    listInFlight = false;
    Map<JobId, ReadListener> batch = listedPolls;
    listedPolls = new LinkedHashMap<>();
    if (listed == null) {
      batch.values().forEach(ReadListener::onUnknown);
    } else {
      for (KeyValueClient.KeyValue entry : listed.entries()) {
        JobId id = JobRecordCodec.liveJobId(entry.key());
        if (id != null) {
          livenessCheck.remember(id, entry.revision());
          ReadListener listener = batch.remove(id);
          if (listener != null) {
            listener.onLive();
          }
        } else {
          rememberBatch(entry);
        }
      }
      batch.values().forEach(ReadListener::onReadSeparately);
    }
    if (!waiting.isEmpty()) {
      scheduleFlush(BATCH_INTERVAL);
    }
  }

  private void rememberBatch(KeyValueClient.KeyValue entry) {
    try {
      for (JobId id : SubmissionBatch.decode(entry.value()).keySet()) {
        if (!livenessCheck.isKnown(id)) {
          livenessCheck.rememberInBatch(id, entry.key(), entry.revision());
        }
      }
    } catch (InvalidMessageException exception) {
      LOG.error("cannot read batch {}: {}", entry.key(), exception.getMessage());
    }
  }
}
