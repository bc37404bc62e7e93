package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.KeyValueClient.RequestPriority;
import io.saltflow.store.Keys;
import io.saltflow.store.LivenessCheck;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks up the status of individual jobs, which may be recorded in a submission batch, in a live
 * record or in an end record. Ends are final and cached; live jobs that this node has seen are
 * verified together by their revisions. Runs on the event loop.
 */
final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final int MAX_CACHED_ENDS = 4000;
  private static final int MAX_LOGGED_BATCHES = 100;

  private final KeyValueClient store;
  private final LivenessCheck livenessCheck;
  private final BatchedReads batchedReads;
  private final Set<String> loggedBatches = new HashSet<>();
  private final Map<JobId, JobStatus> cachedEnds =
      new LinkedHashMap<>(64, 0.75f, false) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, JobStatus> eldest) {
          return size() > MAX_CACHED_ENDS;
        }
      };

  /**
   * Creates a lookup.
   *
   * @param parent routine whose cancellation ends the batched requests
   */
  JobLookup(Routine parent, EventLoop loop, KeyValueClient store) {
    this.store = store;
    livenessCheck = new LivenessCheck(parent, loop, store);
    batchedReads = new BatchedReads(parent, loop, store, livenessCheck);
  }

  /** Returns the tracker of the live records that this node has seen. */
  LivenessCheck livenessCheck() {
    return livenessCheck;
  }

  /**
   * Returns the cached end of a job, or {@code null} if this node knows of none. The job may still
   * have ended elsewhere.
   */
  JobStatus cachedEnd(JobId id) {
    return cachedEnds.get(id);
  }

  /** Returns whether this node has seen that the job was accepted. */
  boolean isKnown(JobId id) {
    return cachedEnds.containsKey(id) || livenessCheck.isKnown(id);
  }

  /** Caches an end that was just recorded. */
  void onEndRecorded(JobStatus end) {
    livenessCheck.forget(end.id());
    cachedEnds.put(end.id(), end);
  }

  /** Runs the action if the job is not recorded, and passes any other outcome to the callback. */
  void ifAbsent(JobId id, Consumer<JobOutcome> then, Runnable action) {
    find(
        id,
        RequestPriority.USER,
        outcome -> {
          if (outcome instanceof JobOutcome.Absent) {
            action.run();
          } else {
            then.accept(outcome);
          }
        });
  }

  /**
   * Runs the action for a job that this node has not seen. A job that it has seen is looked up
   * first, because a refused transaction counts against the write rate like a committed one.
   */
  void unlessKnown(JobId id, Consumer<JobOutcome> then, Runnable action) {
    if (isKnown(id)) {
      ifAbsent(id, then, action);
    } else {
      action.run();
    }
  }

  /** Looks up a job. The outcome is absent only if the store has confirmed it. */
  void find(JobId id, RequestPriority priority, Consumer<JobOutcome> then) {
    JobStatus known = cachedEnds.get(id);
    if (known != null) {
      then.accept(new JobOutcome.Found(known));
      return;
    }
    checkOrRead(id, priority, outcome -> respondWithNewest(id, priority, outcome, then));
  }

  /**
   * Completes a lookup with the newest known outcome. The outcome read may be older than one that
   * this node returned since, because another request was answered first. A cached end is final and
   * takes precedence, and a job that was accepted or seen since is looked up again before it is
   * reported as absent.
   */
  void respondWithNewest(
      JobId id, RequestPriority priority, JobOutcome outcome, Consumer<JobOutcome> then) {
    JobStatus ended = cachedEnds.get(id);
    if (ended != null) {
      then.accept(new JobOutcome.Found(ended));
    } else if (outcome instanceof JobOutcome.Absent && livenessCheck.isKnown(id)) {
      find(id, priority, then);
    } else {
      then.accept(outcome);
    }
  }

  private void checkOrRead(JobId id, RequestPriority priority, Consumer<JobOutcome> then) {
    livenessCheck.check(
        id,
        priority,
        verdict -> {
          switch (verdict) {
            case LIVE -> then.accept(liveOutcome(id));
            case UNKNOWN -> then.accept(new JobOutcome.Unknown());
            case MUST_READ -> {
              if (priority == RequestPriority.STATUS_POLLS) {
                readBatched(id, then);
              } else {
                readLive(id, priority, then, () -> findInBatches(id, priority, then));
              }
            }
          }
        });
  }

  private static JobOutcome liveOutcome(JobId id) {
    return new JobOutcome.Found(JobStatus.live(id));
  }

  /** Reads a job together with other polls, which may also make its revision known. */
  private void readBatched(JobId id, Consumer<JobOutcome> then) {
    RequestPriority priority = RequestPriority.STATUS_POLLS;
    batchedReads.add(
        id,
        new BatchedReads.ReadListener() {
          @Override
          public void onLive() {
            then.accept(liveOutcome(id));
          }

          @Override
          public void onReadSeparately() {
            // A job listed in a batch now has a known revision, whose check shows that the job has
            // not ended.
            livenessCheck.check(
                id,
                priority,
                verdict -> {
                  switch (verdict) {
                    case LIVE -> onLive();
                    case UNKNOWN -> onUnknown();
                    case MUST_READ ->
                        readLive(id, priority, then, () -> findInBatches(id, priority, then));
                  }
                });
          }

          @Override
          public void onUnknown() {
            then.accept(new JobOutcome.Unknown());
          }
        });
  }

  /** Reads the live record, then the end record; jobs move in that order, so none is missed. */
  private void readLive(
      JobId id, RequestPriority priority, Consumer<JobOutcome> then, Runnable ifAbsent) {
    store.get(
        priority,
        Keys.liveJob(id),
        REQUEST_TIMEOUT,
        keyValue -> {
          if (keyValue == null) {
            then.accept(new JobOutcome.Unknown());
          } else if (keyValue.value() != null) {
            livenessCheck.remember(id, keyValue.revision());
            then.accept(
                new JobOutcome.Found(
                    new JobStatus(
                        id, JobPhase.LIVE, JobRecordCodec.decodeDoneCount(keyValue.value()))));
          } else {
            readEnd(id, priority, then, ifAbsent);
          }
        });
  }

  /**
   * Reads the end record of a job.
   *
   * @param ifAbsent runs if the store has confirmed that there is no such record
   */
  void readEnd(JobId id, RequestPriority priority, Consumer<JobOutcome> then, Runnable ifAbsent) {
    store.get(
        priority,
        Keys.finishedJob(id),
        REQUEST_TIMEOUT,
        keyValue -> {
          if (keyValue == null) {
            then.accept(new JobOutcome.Unknown());
          } else if (keyValue.value() == null) {
            ifAbsent.run();
          } else {
            JobStatus status = JobRecordCodec.decodeStatus(id, keyValue.value());
            if (status == null) {
              LOG.error("cannot read end record {}", Keys.finishedJob(id));
              then.accept(new JobOutcome.Unknown());
            } else {
              cachedEnds.put(id, status);
              then.accept(new JobOutcome.Found(status));
            }
          }
        });
  }

  /**
   * Searches the batches for a job that has no record of its own. Jobs move from batches to their
   * own records, so only a second read of the records after the batches proves a job's absence.
   */
  private void findInBatches(JobId id, RequestPriority priority, Consumer<JobOutcome> then) {
    store.list(
        priority,
        SubmissionBatch.PREFIX,
        batches -> {
          if (batches == null) {
            then.accept(new JobOutcome.Unknown());
            return;
          }
          boolean found = false;
          String unreadable = null;
          for (KeyValueClient.KeyValue batch : batches.entries()) {
            // An unreadable field does not affect the other jobs of its batch or other batches.
            unreadable = SubmissionBatch.isReadable(batch.value()) ? unreadable : batch.key();
            for (JobId jobId : SubmissionBatch.jobIds(batch.value())) {
              found |= jobId.equals(id);
              if (!cachedEnds.containsKey(jobId)) {
                livenessCheck.rememberInBatch(jobId, batch.key(), batch.revision());
              }
            }
          }
          if (!found && unreadable != null) {
            logUnreadableOnce(id, unreadable);
            then.accept(new JobOutcome.Unknown());
          } else if (found) {
            then.accept(liveOutcome(id));
          } else {
            readLive(id, priority, then, () -> then.accept(new JobOutcome.Absent()));
          }
        });
  }

  /** Logs the key that operators must repair, once per batch. */
  private void logUnreadableOnce(JobId id, String batchKey) {
    if (loggedBatches.size() < MAX_LOGGED_BATCHES && loggedBatches.add(batchKey)) {
      LOG.error(
          "cannot determine whether job {} was accepted: key {} has an unreadable field. Restore"
              + " the key from a backup, or delete the field and ask its users to submit again",
          id,
          batchKey);
    }
  }
}
