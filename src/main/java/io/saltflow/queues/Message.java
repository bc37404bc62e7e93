package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.List;

/** The leader's state of a message that is not completed. */
final class Message {
  static final long NEVER = Long.MAX_VALUE;

  /** Estimated memory of a message in addition to its body and properties. */
  static final int OVERHEAD_BYTES = 300;

  /** The state of a message. A change of state has no visible effect until it is recorded. */
  enum State {
    /** Its publish, or its move to this queue, is being recorded. */
    RECORDING,
    WAITING,
    /** Its delivery to a consumer is being recorded. */
    DELIVERING,
    DELIVERED,
    /** Its job runs on machines, or waits to. */
    RUNNING_AS_JOB,
    /** Its completion is being recorded. */
    COMPLETING
  }

  final MessageNo no;
  final QueueState queue;
  final MessageIdentity identity;
  final long arrivedWallMs;
  final long expiresWallMs;
  final byte[] properties;
  final byte[] body;
  private final MessageDigest128 digest;

  /** Publishes to confirm once it is recorded. */
  final List<PendingPublish> pendingPublishes = new ArrayList<>(1);

  State state = State.RECORDING;
  int attempts;

  /**
   * Whether a consumer may hold the message, or held it when it was completed. An entry that is
   * rewritten before the completion is recorded must preserve this.
   */
  boolean maybeDelivered;

  Consumer holder;
  MonotonicTime notBefore = MonotonicTime.LONG_AGO;

  /** When the delivery that was sent last must be settled. An unsent attempt has none. */
  MonotonicTime deliveryDeadline = MonotonicTime.LONG_AGO;

  JobId job;

  /** Number of the batch that holds the latest full entry, or 0 before it is recorded. */
  long batch;

  /** Failures of the job that earlier leaders recorded. */
  int failuresInEarlierTerms;

  /** Whether the job has used all its attempts and is being cancelled. */
  boolean attemptsExhausted;

  Message(Entry.Kept kept, QueueState queue) {
    this.no = kept.no();
    this.queue = queue;
    this.identity = kept.identity();
    this.arrivedWallMs = kept.arrivedWallMs();
    this.expiresWallMs = kept.expiresWallMs();
    this.properties = kept.properties();
    this.body = kept.body();
    this.digest = identity.repeatDigest(kept.queue());
    this.attempts = kept.attempts();
    this.maybeDelivered = kept.out();
  }

  Entry.Kept toEntry() {
    return new Entry.Kept(
        no,
        queue.policy.id(),
        identity.text(),
        identity.named(),
        arrivedWallMs,
        expiresWallMs,
        attempts,
        maybeDelivered,
        properties,
        body);
  }

  /**
   * Returns the digest that identifies a repeated publish, or {@code null} if the publisher gave no
   * id.
   */
  MessageDigest128 digest() {
    return digest;
  }

  /** Returns the id by which results and deliveries name the message. */
  String reportedId() {
    return queue.policy.internal() ? identity.text() : identity.reportedId(queue.policy.id());
  }

  int memoryBytes() {
    return body.length + properties.length + OVERHEAD_BYTES;
  }

  DeliveryId deliveryId() {
    return new DeliveryId(no, attempts, holder.id);
  }
}
