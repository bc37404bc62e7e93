package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import io.saltflow.model.Revision;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Unpacks submission batches for a leader. Each job is moved to its own record in order of
 * descending priority, and a batch is deleted once every job in it has its own record or has ended.
 * This class performs no I/O: {@link #next} returns the writes to commit, and {@link #onCommitted},
 * {@link #onRefused} and {@link #onRejected} receive the result.
 */
public final class BatchUnpacker {
  private static final Logger LOG = LoggerFactory.getLogger(BatchUnpacker.class);

  /** A job in a submission batch. */
  public record BatchedJob(
      JobId id,
      MessageBody record,
      Priority priority,
      AdmissionPosition position,
      String batchKey) {}

  /** Writes of one transaction, consisting of job records and deletions of empty batches. */
  public record UnpackStep(List<BatchedJob> jobs, List<String> emptyBatches) {
    int writes() {
      return jobs.size() + emptyBatches.size();
    }

    /**
     * Adds the writes to a transaction. Each job is guarded by the absence of a live record and an
     * end record, because it may be in two batches.
     */
    public Transaction addTo(Transaction txn) {
      for (BatchedJob job : jobs) {
        AdmissionWriter.guardAbsent(txn, job.id)
            .put(Keys.liveJob(job.id), JobRecordCodec.withPosition(job.record, job.position));
      }
      emptyBatches.forEach(txn::delete);
      return txn;
    }
  }

  private static final Comparator<BatchedJob> HIGHEST_PRIORITY_FIRST =
      Comparator.comparing(BatchedJob::priority)
          .reversed()
          .thenComparing(BatchedJob::position)
          .thenComparing(BatchedJob::id);

  private final TreeSet<BatchedJob> remaining = new TreeSet<>(HIGHEST_PRIORITY_FIRST);
  private final Map<String, Integer> remainingCounts = new HashMap<>();
  private final List<String> emptyBatches = new ArrayList<>();
  private final Set<String> knownBatches = new HashSet<>();
  private final Set<BatchedJob> rejectedJobs = new HashSet<>();
  private boolean oneByOne;

  /**
   * Adds a batch that was read from the store. A batch that was added before is ignored.
   *
   * @param version revision of the batch, at which all its jobs were accepted
   */
  public void addBatch(String key, MessageBody batch, Revision version) {
    if (!knownBatches.add(key)) {
      return;
    }
    try {
      Map<JobId, MessageBody> records = SubmissionBatch.decode(batch);
      remainingCounts.put(key, records.size());
      int index = 0;
      for (Map.Entry<JobId, MessageBody> entry : records.entrySet()) {
        AdmissionPosition position = new AdmissionPosition(version.number(), index++);
        remaining.add(
            new BatchedJob(
                entry.getKey(), entry.getValue(), priority(entry.getValue()), position, key));
      }
      if (records.isEmpty()) {
        emptyBatches.add(key);
      }
    } catch (InvalidMessageException exception) {
      // Its jobs were accepted, so the batch is kept for a version that can read it.
      LOG.error("cannot read batch {}: {}", key, exception.getMessage());
    }
  }

  private static Priority priority(MessageBody record) {
    try {
      return JobRecordCodec.decode(record, Revision.ABSENT).spec().priority();
    } catch (InvalidMessageException exception) {
      return Priority.NORMAL;
    }
  }

  /** Returns whether no batch is left to unpack. */
  public boolean isEmpty() {
    return remaining.isEmpty() && emptyBatches.isEmpty();
  }

  /**
   * Returns the writes of the next transaction, which is as large as the limits allow. Records that
   * the store would never accept are omitted.
   */
  public UnpackStep next(StoreLimits limits) {
    int maxOperations = limits.maxOperations();
    List<BatchedJob> jobs = new ArrayList<>();
    for (BatchedJob job : remaining) {
      if (jobs.size() >= (oneByOne ? 1 : maxOperations)) {
        break;
      }
      // A job that is in two batches is unpacked from only one of them per transaction.
      boolean notChosen = jobs.stream().noneMatch(chosen -> chosen.id.equals(job.id));
      if (notChosen && !rejectedJobs.contains(job) && fits(job, limits)) {
        jobs.add(job);
      }
    }
    List<String> emptied =
        new ArrayList<>(
            emptyBatches.subList(0, Math.min(emptyBatches.size(), maxOperations - jobs.size())));
    return new UnpackStep(jobs, emptied);
  }

  /** Returns whether a record fits; one that is too large would block all others. */
  private static boolean fits(BatchedJob job, StoreLimits limits) {
    MessageBody record = JobRecordCodec.withPosition(job.record, job.position);
    if (limits.fits(record)) {
      return true;
    }
    limits.warnTooLarge(
        Keys.liveJob(job.id),
        JsonSize.of(record),
        "the job stays in " + job.batchKey + " until the limit is raised");
    return false;
  }

  /** Handles a permanent rejection. A job that was rejected on its own is not retried. */
  void onRejected(UnpackStep step, StoreLimits limits) {
    boolean overLimit = step.writes() > limits.maxOperations();
    if (!overLimit && step.jobs.size() == 1 && fits(step.jobs.get(0), limits)) {
      rejectedJobs.add(step.jobs.get(0));
    }
    oneByOne = !overLimit;
  }

  /** Handles the commit of a step's transaction. */
  public void onCommitted(UnpackStep step) {
    oneByOne = false;
    step.jobs.forEach(this::settle);
    emptyBatches.removeAll(step.emptyBatches);
  }

  /** Handles failed guards. A job whose key was reported is already recorded or has ended. */
  void onRefused(UnpackStep step, KeyValueClient.StoreResponse answer) {
    boolean anyRecorded = false;
    for (BatchedJob job : step.jobs) {
      if (answer.failedGuardOn(Keys.liveJob(job.id))
          || answer.failedGuardOn(Keys.finishedJob(job.id))) {
        settle(job);
        anyRecorded = true;
      }
    }
    oneByOne = !anyRecorded;
  }

  private void settle(BatchedJob job) {
    if (remaining.remove(job) && remainingCounts.merge(job.batchKey, -1, Integer::sum) == 0) {
      remainingCounts.remove(job.batchKey);
      emptyBatches.add(job.batchKey);
    }
  }
}
