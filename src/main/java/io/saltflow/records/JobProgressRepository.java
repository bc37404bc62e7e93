package io.saltflow.records;

import io.saltflow.cluster.Job;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.PackedRecords;
import io.saltflow.store.RecordFormat;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Routine;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the progress of jobs under {@code progress/}. Each entry holds the done tasks of one job
 * and is written before the job's first task may be launched, so that the next leader knows to look
 * for running tasks of the job.
 */
final class JobProgressRepository {
  private static final Logger LOG = LoggerFactory.getLogger(JobProgressRepository.class);

  /** JSON overhead of a page entry, a colon and a comma. */
  private static final int ENTRY_OVERHEAD_BYTES = 2;

  /** JSON overhead of a page, its braces. */
  private static final int PAGE_OVERHEAD_BYTES = 2;

  private final KeyValueClient store;
  private final PackedRecords<Job> pages;
  private LeaderCore leader;

  /**
   * Creates the repository of one leader.
   *
   * @param guardedTransaction creates transactions that fail if another node is the leader
   * @param pageInterval minimum time between two writes of one page
   */
  JobProgressRepository(
      Routine parent,
      KeyValueClient store,
      Supplier<Transaction> guardedTransaction,
      Supplier<TimeSpan> pageInterval,
      Supplier<MonotonicTime> now) {
    this.store = store;
    pages =
        new PackedRecords<>(
            parent,
            store,
            guardedTransaction,
            Keys.JOB_PROGRESS,
            pageInterval,
            now,
            new JobProgressCodec());
  }

  /** Encodes the done tasks of a job as a page entry. */
  private final class JobProgressCodec implements RecordFormat<Job> {
    private int maxTextLength(Job job) {
      int overhead =
          JsonSize.of(name(job)) + JsonSize.of("") + ENTRY_OVERHEAD_BYTES + PAGE_OVERHEAD_BYTES;
      int available = store.limits().maxValueBytes() - overhead;
      return Math.min(DoneTasksCodec.maxLength(job.spec().tasks()), available);
    }

    @Override
    public String name(Job job) {
      return job.id().text();
    }

    @Override
    public Object encode(Job job) {
      return DoneTasksCodec.encode(job.doneTasks(), maxTextLength(job));
    }

    @Override
    public int maxEncodedBytes(Job job) {
      return JsonSize.of(name(job)) + JsonSize.of("") + maxTextLength(job) + ENTRY_OVERHEAD_BYTES;
    }

    @Override
    public boolean retainsAll(Job job, Object value) {
      boolean fitsWhole = DoneTasksCodec.maxLength(job.spec().tasks()) <= maxTextLength(job);
      return fitsWhole || job.recordedWithin(decode(job, value));
    }

    private static BitSet decode(Job job, Object value) {
      try {
        return DoneTasksCodec.decode((String) value, job.spec().tasks());
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(
            "cannot decode done tasks that were just written", exception);
      }
    }

    @Override
    public void onWritten(List<Job> items, List<Object> values, boolean ok) {
      if (!ok) {
        return;
      }
      for (int i = 0; i < items.size(); i++) {
        Job job = items.get(i);
        // Uses the written value, because a long set of done tasks may have been truncated.
        leader.jobs().onProgressRecorded(job, decode(job, values.get(i)));
      }
    }
  }

  /** Sets the leader whose jobs are recorded. */
  void setLeader(LeaderCore core) {
    leader = core;
  }

  /** Records that tasks of jobs are about to be launched. */
  void recordLaunchIntents() {
    for (Job job : leader.jobs().toMarkStarted()) {
      pages.markChanged(job, true);
    }
    pages.flush(false);
  }

  /** Records the done tasks of live jobs and removes the entries of jobs that have ended. */
  void recordProgress() {
    pages.retainOnly(job -> leader.jobs().find(job.id()) == job);
    for (Job job : leader.jobs().toRecord()) {
      leader.jobs().onRecordingStarted(job);
      pages.markChanged(job, false);
    }
    pages.flush(true);
  }

  /** Restores a page that an earlier leader wrote. */
  void restore(InheritedRecords inherited, KeyValueClient.KeyValue page) {
    pages.restorePage(page.key(), page.revision());
    for (Map.Entry<String, Object> entry : page.value().fields().entrySet()) {
      if (JobId.valid(entry.getKey()) && entry.getValue() instanceof String text) {
        inherited.addProgress(new JobId(entry.getKey()), page.key(), text);
      } else {
        LOG.error("progress page {}: cannot read entry {}", page.key(), entry.getKey());
        inherited.markProgressIncomplete();
      }
    }
  }

  /** Assigns the jobs that are still live to the pages on which they were found. */
  void adopt(InheritedRecords inherited) {
    for (Job job : leader.jobs().scheduled()) {
      for (String page : inherited.progressPages(job.id())) {
        pages.restoreRecord(page, job);
      }
    }
  }
}
