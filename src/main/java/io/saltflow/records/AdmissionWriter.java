package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.LivenessCheck;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Writes the records of new jobs. Each job is written under its own key while the write rate allows
 * it; otherwise many jobs are written under one key as a submission batch, so that a burst of
 * submissions is recorded before clients time out.
 */
final class AdmissionWriter extends Routine {
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.millis(50);
  private static final TimeSpan ADMISSION_TIMEOUT = TimeSpan.millis(3500);

  /** Minimum time after which an unanswered transaction is sent again. */
  private static final TimeSpan MIN_HEDGE_DELAY = TimeSpan.millis(60);

  /** Multiple of the smoothed latency after which an unanswered transaction is sent again. */
  private static final int HEDGE_LATENCY_FACTOR = 4;

  /** Weight of the previous value in the exponentially smoothed latency. */
  private static final double LATENCY_SMOOTHING = 0.8;

  /** Maximum number of times that one transaction is sent, including the first. */
  private static final int MAX_SENDS = 3;

  /** Smaller queues are written individually, which saves the leader from unpacking a batch. */
  private static final int MIN_BATCH_SIZE = 3;

  private static final int MAX_BATCH_SIZE = 32;

  /** JSON overhead of a batch (its braces) and of each record in it (a colon and a comma). */
  private static final int ENTRY_OVERHEAD_BYTES = 2;

  private static final AdmissionPosition LARGEST_POSITION =
      new AdmissionPosition(Long.MAX_VALUE, MAX_BATCH_SIZE);

  private record QueuedSubmission(
      JobId id, MessageBody record, int bytes, MonotonicTime deadline, Consumer<JobOutcome> then) {}

  private final EventLoop loop;
  private final KeyValueClient store;
  private final LivenessCheck livenessCheck;
  private final BiConsumer<JobId, Consumer<JobOutcome>> lookup;
  private final String processName;
  private final ArrayDeque<QueuedSubmission> queue = new ArrayDeque<>();
  private long sequence;

  /** Smoothed latency of answers, in ms. The initial value assumes a slow store. */
  private double smoothedLatencyMs = 100;

  private boolean drainScheduled;

  /**
   * Creates the writer of one node.
   *
   * @param processName globally unique name of this process, never reused
   * @param lookup looks up a job whose record already exists
   */
  AdmissionWriter(
      Routine parent,
      EventLoop loop,
      KeyValueClient store,
      LivenessCheck livenessCheck,
      BiConsumer<JobId, Consumer<JobOutcome>> lookup,
      String processName) {
    super(parent);
    this.loop = loop;
    this.store = store;
    this.livenessCheck = livenessCheck;
    this.lookup = lookup;
    this.processName = processName;
  }

  void add(JobId id, MessageBody record, Consumer<JobOutcome> then) {
    // Includes the admission position that is added when the record is unpacked from a batch.
    int bytes = JsonSize.of(JobRecordCodec.withPosition(record, LARGEST_POSITION));
    if (bytes > store.limits().maxValueBytes()) {
      rejectTooLarge(id, then);
      return;
    }
    queue.add(new QueuedSubmission(id, record, bytes, loop.now().plus(ADMISSION_TIMEOUT), then));
    if (!drainScheduled) {
      drainQueue();
    }
  }

  /** Rejects a record that is too large, unless the job was accepted under a higher limit. */
  private void rejectTooLarge(JobId id, Consumer<JobOutcome> then) {
    lookup.accept(
        id,
        found ->
            then.accept(found instanceof JobOutcome.Absent ? new JobOutcome.TooLarge() : found));
  }

  /** Returns the number of jobs whose guards fit: two for each job and one for the batch key. */
  private int maxBatchSize() {
    int byGuardLimit = (store.limits().maxGuards() - 1) / 2;
    return Math.min(MAX_BATCH_SIZE, Math.max(1, byGuardLimit));
  }

  private void drainQueue() {
    drainScheduled = false;
    MonotonicTime now = loop.now();
    while (!queue.isEmpty()) {
      if (now.plus(RETRY_INTERVAL).after(queue.peek().deadline)) {
        queue.poll().then.accept(new JobOutcome.Unknown());
      } else if (!store.canWriteNow()) {
        scheduleDrain();
        return;
      } else if (queue.size() < MIN_BATCH_SIZE) {
        writeSingle(queue.poll());
      } else {
        writeBatch(nextBatch());
      }
    }
  }

  private void scheduleDrain() {
    if (!drainScheduled) {
      drainScheduled = true;
      loop.schedule(RETRY_INTERVAL, this, this::drainQueue);
    }
  }

  /** Removes as many submissions from the queue as fit into one value. */
  private List<QueuedSubmission> nextBatch() {
    List<QueuedSubmission> batch = new ArrayList<>();
    for (int remaining = countFitting(queue); remaining > 0; remaining--) {
      batch.add(queue.poll());
    }
    return batch;
  }

  /** Returns how many submissions, starting with the first, fit into one batch. */
  private int countFitting(Collection<QueuedSubmission> submissions) {
    int count = 0;
    int bytes = ENTRY_OVERHEAD_BYTES;
    for (QueuedSubmission submission : submissions) {
      bytes += submission.bytes + JsonSize.of(submission.id.text()) + ENTRY_OVERHEAD_BYTES;
      if (count >= maxBatchSize() || (count > 0 && bytes > store.limits().maxValueBytes())) {
        break;
      }
      count++;
    }
    return count;
  }

  private void writeSingle(QueuedSubmission submission) {
    Transaction txn =
        guardAbsent(new Transaction(), submission.id)
            .put(Keys.liveJob(submission.id), submission.record);
    new WriteAttempt(List.of(submission), txn, null).send();
  }

  static Transaction guardAbsent(Transaction txn, JobId id) {
    return txn.guard(Keys.liveJob(id), Revision.ABSENT)
        .guard(Keys.finishedJob(id), Revision.ABSENT);
  }

  private void writeBatch(List<QueuedSubmission> submissions) {
    if (submissions.size() == 1) {
      writeSingle(submissions.get(0));
      return;
    }
    Map<JobId, MessageBody> records = new LinkedHashMap<>();
    Transaction txn = new Transaction();
    for (QueuedSubmission submission : submissions) {
      if (records.put(submission.id, submission.record) == null) {
        guardAbsent(txn, submission.id);
      }
    }
    String key = SubmissionBatch.key(processName + "-" + ++sequence);
    txn.guard(key, Revision.ABSENT).put(key, SubmissionBatch.encode(records));
    new WriteAttempt(submissions, txn, key).send();
  }

  /**
   * A transaction that is hedged, which means sent again while its answer is late, so that clients
   * do not wait for the whole timeout when an answer is lost. Repeating it is safe because its
   * guards allow only one execution.
   */
  private final class WriteAttempt {
    private final List<QueuedSubmission> submissions;
    private final Transaction txn;

    /** Key of the batch, or {@code null} for a single job. */
    private final String batchKey;

    private int sent;
    private int unanswered;
    private boolean settled;

    WriteAttempt(List<QueuedSubmission> submissions, Transaction txn, String batchKey) {
      this.submissions = submissions;
      this.txn = txn;
      this.batchKey = batchKey;
    }

    void send() {
      sent++;
      unanswered++;
      store.commit(KeyValueClient.RequestPriority.USER, txn, REQUEST_TIMEOUT, this::onAnswer);
      long hedgeDelayMs =
          (long) Math.max((double) MIN_HEDGE_DELAY.ms(), HEDGE_LATENCY_FACTOR * smoothedLatencyMs);
      loop.schedule(TimeSpan.millis(hedgeDelayMs), AdmissionWriter.this, this::hedge);
    }

    private void hedge() {
      boolean hedgeNeeded = !settled && unanswered > 0 && sent < MAX_SENDS;
      if (hedgeNeeded && queue.isEmpty() && store.hasSpareWriteCapacity()) {
        send();
      }
    }

    private void onAnswer(KeyValueClient.StoreResponse answer) {
      unanswered--;
      if (answer.status() != 0) {
        long tookMs = loop.now().since(answer.sentAt()).ms();
        smoothedLatencyMs =
            LATENCY_SMOOTHING * smoothedLatencyMs + (1 - LATENCY_SMOOTHING) * tookMs;
      }
      if (settled) {
        return;
      }
      boolean conclusive = answer.isSuccess() || answer.status() == 409;
      if (!conclusive && unanswered > 0) {
        return;
      }
      settled = true;
      if (answer.isSuccess()) {
        onCommitted(new Revision(answer.revision()));
      } else if (batchKey != null) {
        onBatchNotCommitted(answer);
      } else if (answer.status() == 409) {
        // The job is already recorded, perhaps by an earlier attempt whose answer was lost.
        lookup.accept(submissions.get(0).id, submissions.get(0).then);
      } else if (answer.isPermanentlyRejected()
          && submissions.get(0).bytes > store.limits().maxValueBytes()) {
        rejectTooLarge(submissions.get(0).id, submissions.get(0).then);
      } else {
        retryOrGiveUp(answer, submissions);
      }
    }

    private void onCommitted(Revision version) {
      for (QueuedSubmission submission : submissions) {
        if (batchKey == null) {
          livenessCheck.remember(submission.id, version);
        } else {
          livenessCheck.rememberInBatch(submission.id, batchKey, version);
        }
        submission.then.accept(new JobOutcome.Created(submission.id));
      }
    }

    private void onBatchNotCommitted(KeyValueClient.StoreResponse answer) {
      if (answer.failedGuardOn(batchKey)) {
        // Only this transaction writes the key, so it was committed and its answer was lost.
        submissions.forEach(
            submission -> submission.then.accept(new JobOutcome.Created(submission.id)));
      } else if (answer.status() == 409) {
        separateRecorded(answer, submissions);
      } else if (answer.isPermanentlyRejected() && submissions.size() > countFitting(submissions)) {
        // The limits were lowered after the batch was built, so it is split.
        requeue(submissions);
        scheduleDrain();
      } else if (answer.status() == 400) {
        submissions.forEach(AdmissionWriter.this::writeSingle);
      } else {
        retryOrGiveUp(answer, submissions);
      }
    }
  }

  /**
   * Looks up the jobs that are already recorded, perhaps by an attempt whose answer was lost, and
   * queues the others for another batch. Writing them individually would exhaust the write rate for
   * seconds.
   */
  private void separateRecorded(
      KeyValueClient.StoreResponse answer, List<QueuedSubmission> submissions) {
    List<QueuedSubmission> recorded = new ArrayList<>();
    List<QueuedSubmission> others = new ArrayList<>();
    for (QueuedSubmission submission : submissions) {
      boolean alreadyRecorded =
          answer.failedGuardOn(Keys.liveJob(submission.id))
              || answer.failedGuardOn(Keys.finishedJob(submission.id));
      (alreadyRecorded ? recorded : others).add(submission);
    }
    if (recorded.isEmpty()) {
      submissions.forEach(this::writeSingle);
      return;
    }
    recorded.forEach(submission -> lookup.accept(submission.id, submission.then));
    requeue(others);
    scheduleDrain();
  }

  /** Returns submissions to the head of the queue in their original order. */
  private void requeue(List<QueuedSubmission> submissions) {
    for (int i = submissions.size() - 1; i >= 0; i--) {
      queue.addFirst(submissions.get(i));
    }
  }

  /** Queues submissions again if the failure is retryable, or reports an unknown outcome. */
  private void retryOrGiveUp(
      KeyValueClient.StoreResponse answer, List<QueuedSubmission> submissions) {
    // If the answer was lost, the job may end up in two batches. It remains one job, because the
    // leader unpacks it only if it has neither a live record nor an end record.
    if (answer.status() == 0 || answer.status() == 429) {
      requeue(submissions);
    } else {
      submissions.forEach(submission -> submission.then.accept(new JobOutcome.Unknown()));
    }
    scheduleDrain();
  }
}
