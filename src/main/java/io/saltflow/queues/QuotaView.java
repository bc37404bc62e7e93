package io.saltflow.queues;

/** The team quotas that messages share with native jobs. */
public interface QuotaView {
  /**
   * Returns whether one more message of the queue may be delivered ahead of the waiting native
   * jobs.
   */
  boolean mayStart(QueuePolicy queue, long arrivedWallMs);
}
