package io.saltflow.queues;

/**
 * An entry of the durable log of messages. Entries are replayed in order, and a later entry
 * replaces an earlier one of the same message.
 */
public sealed interface Entry {
  /**
   * The full state of a message. It is written when the message is published or moved to another
   * queue, or when an earlier batch is cleaned.
   *
   * @param id the text of the message's {@link MessageIdentity}
   * @param named whether the publisher chose the id, which then identifies a repeated publish
   * @param expiresWallMs the expiry time, or {@link Message#NEVER}
   * @param out whether a consumer may hold the message
   */
  record Kept(
      MessageNo no,
      QueueId queue,
      String id,
      boolean named,
      long arrivedWallMs,
      long expiresWallMs,
      int attempts,
      boolean out,
      byte[] properties,
      byte[] body)
      implements Entry {
    MessageIdentity identity() {
      return new MessageIdentity(id, named);
    }

    /** Returns a copy with another identity and without attempts. */
    Kept withIdentity(MessageIdentity identity) {
      return new Kept(
          no,
          queue,
          identity.text(),
          identity.named(),
          arrivedWallMs,
          expiresWallMs,
          0,
          out,
          properties,
          body);
    }
  }

  /** An attempt has started. From then on a consumer may hold the message. */
  record Started(MessageNo no, int attempt) implements Entry {}

  /** The message waits again after this number of attempts, and no consumer holds it. */
  record Returned(MessageNo no, int attempts) implements Entry {}

  /** The message is completed. Its result and dead letter are other entries of the same unit. */
  record Ended(MessageNo no) implements Entry {}

  /** A message whose id has this digest is completed. */
  record Known(MessageDigest128 digest, long wallMs) implements Entry {}
}
