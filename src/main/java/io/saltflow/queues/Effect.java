package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;

/** An effect for the caller to carry out. All entries that it depends on are durable. */
public sealed interface Effect {
  /** Acknowledges a publish. */
  record Confirm(PendingPublish publish) implements Effect {}

  /** Rejects a publish. */
  record Refuse(PendingPublish publish, PublishRejection reason) implements Effect {}

  /**
   * Delivers a message to a consumer. For a get, {@code left} is the number of messages that still
   * wait in the queue.
   */
  record Deliver(
      DeliveryId id,
      QueueId queue,
      boolean redelivered,
      boolean noAck,
      boolean get,
      int left,
      String messageId,
      byte[] properties,
      byte[] body)
      implements Effect {}

  /** Answers a get for which no message is available. */
  record GetEmpty(long session, long channel) implements Effect {}

  /** Closes the channel of a consumer that did not settle a delivery in time. */
  record Overdue(ConsumerId consumer, QueueId queue) implements Effect {}

  /** Admits a job unless it exists. Its state must be reported to the core. */
  record Admit(MessageNo message, JobSpec spec, long arrivedWallMs) implements Effect {}

  /** Cancels a job that has used all its attempts. */
  record Withdraw(JobId job) implements Effect {}
}
