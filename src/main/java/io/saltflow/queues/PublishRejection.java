package io.saltflow.queues;

/** Why a publish was rejected. */
public enum PublishRejection {
  NO_SUCH_QUEUE,
  /** Only the service itself publishes to this queue. */
  INWARD,
  /** The queue, its results queue or the memory for messages is full. */
  FULL,
  TOO_LARGE,
  /** Entries cannot be recorded at the moment. */
  NOT_NOW
}
