package io.saltflow.scheduler;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.QueueOrderInputs;
import java.util.Map;
import java.util.Set;

/**
 * Learns the inputs of the queue order that are not part of the jobs' records. Uses only the
 * recorded values, so that the first round of a new leader has the same order as the last round of
 * its predecessor. Before the first record of a new cluster, the learned values are used directly.
 */
public final class RecordedOrderInputs {
  /** Minimum time between two writes: at most a tenth of a write per second. */
  private static final TimeSpan MIN_WRITE_INTERVAL = TimeSpan.seconds(10);

  private QueueOrderInputs recorded;
  private QueueOrderInputs learned = QueueOrderInputs.NONE;
  private boolean hasLearned;
  private boolean writeInFlight;
  private MonotonicTime lastWriteAt = MonotonicTime.LONG_AGO;

  /** Restores the inputs that an earlier leader recorded, or {@code null} if there are none. */
  public void restore(QueueOrderInputs earlier) {
    recorded = earlier;
  }

  /** Returns the inputs that the queue order uses now. */
  QueueOrderInputs current() {
    return recorded == null ? learned : recorded;
  }

  /** Measures the fleet before a round, for as long as no inputs are recorded. */
  void updateFleet(double cores, Map<String, Double> corrections) {
    if (recorded == null) {
      learned =
          new QueueOrderInputs(Math.max(1, cores), corrections, learned.shortestFirstClasses());
    }
  }

  /**
   * Updates the learned inputs after a round. Does nothing before reconciliation, as the leader
   * then knows less than the record.
   */
  void observe(
      double cores,
      Map<String, Double> corrections,
      Set<String> shortestFirstClasses,
      boolean reconciled) {
    if (reconciled) {
      learned = current().updatedWith(cores, corrections, shortestFirstClasses);
      hasLearned = true;
    }
  }

  /** Returns the inputs to write now, or {@code null} if there is nothing to write. */
  public QueueOrderInputs takeToRecord(MonotonicTime now) {
    if (!hasLearned
        || writeInFlight
        || learned.equals(recorded)
        || MIN_WRITE_INTERVAL.longerThan(now.since(lastWriteAt))) {
      return null;
    }
    writeInFlight = true;
    lastWriteAt = now;
    return learned;
  }

  /** Handles the result of a write. A write that may have failed is repeated after the interval. */
  public void onWritten(QueueOrderInputs inputs, boolean succeeded) {
    writeInFlight = false;
    if (succeeded) {
      recorded = inputs;
    }
  }
}
