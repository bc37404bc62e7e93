package io.saltflow.queues;

import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;

/**
 * Configuration of a queue. {@code results}, {@code deadLetters} and {@code timeToLive} are null if
 * they are not set.
 *
 * @param runsAsJobs whether each message runs as a job on machines instead of going to a consumer
 * @param size the resources that one delivery uses of its team's quota
 * @param maxAttempts the maximum number of deliveries, or of failures of a job
 * @param retryDelay the delay after the first failed attempt, doubled after each further one
 * @param redeliverable whether a message may be redelivered after a consumer may have started on it
 * @param deliveryTimeout the time within which a consumer must settle a delivery
 * @param maxMessages the maximum number of messages that are not completed
 * @param internal whether only the service itself publishes to the queue (results and dead letters)
 */
public record QueuePolicy(
    QueueId id,
    boolean runsAsJobs,
    String jobClass,
    String team,
    Priority priority,
    Resources size,
    int maxAttempts,
    TimeSpan retryDelay,
    boolean redeliverable,
    TimeSpan deliveryTimeout,
    QueueId deadLetters,
    QueueId results,
    int maxMessages,
    TimeSpan timeToLive,
    boolean internal) {

  private static final int MAX_DOUBLINGS = 10;

  /** Returns the policy of a queue for results or dead letters, which never expire. */
  public static QueuePolicy internal(QueueId id, TimeSpan delivery, int mostWaiting) {
    return new QueuePolicy(
        id,
        false,
        id.name(),
        "",
        Priority.NORMAL,
        Resources.ZERO,
        Integer.MAX_VALUE,
        TimeSpan.millis(0),
        true,
        delivery,
        null,
        null,
        mostWaiting,
        null,
        true);
  }

  /** Returns the retry delay after this number of attempts. */
  TimeSpan retryDelayAfter(int attempt) {
    return retryDelay.times(1 << Math.min(MAX_DOUBLINGS, Math.max(0, attempt - 1)));
  }
}
