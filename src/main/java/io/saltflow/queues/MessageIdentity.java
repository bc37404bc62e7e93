package io.saltflow.queues;

import io.saltflow.model.Term;
import java.util.regex.Pattern;

/**
 * The recorded identity of a message in its queue. The id of a message's job is derived from its
 * text.
 *
 * <p>The ids that publishers choose and those that leaders assign are kept apart by prefixes that
 * begin with a NUL character. The AMQP server refuses ids with that character, so that no publisher
 * can choose such a text.
 *
 * @param text the recorded text
 * @param named whether the publisher chose the id, which then identifies a repeated publish
 */
record MessageIdentity(String text, boolean named) {
  private static final String ASSIGNED_PREFIX = "\0unnamed-";
  private static final String CHOSEN_PREFIX = "\0named-";
  private static final String REPORTED_PREFIX = "unnamed-";

  /**
   * Form of the ids that earlier versions assigned, without a prefix: the leader's term and the
   * message's number. Jobs of such messages may exist for good.
   */
  private static final Pattern EARLIER_ASSIGNED = Pattern.compile("\\d{1,20}-\\d{1,19}");

  /** Returns the identity of a new message whose publisher gave no id. */
  static MessageIdentity assigned(Term term, MessageNo no) {
    return new MessageIdentity(ASSIGNED_PREFIX + term + "-" + no.number(), false);
  }

  /** Returns the identity of a new message of a queue for consumers with a publisher's id. */
  static MessageIdentity chosen(String id) {
    return new MessageIdentity(id, true);
  }

  /**
   * Returns the identity of a new message that becomes a job with a publisher's id. An id that an
   * earlier version may have assigned to another message gets a prefix, and so a job of its own.
   */
  static MessageIdentity chosenForJob(String id) {
    boolean ambiguous = EARLIER_ASSIGNED.matcher(id).matches();
    return new MessageIdentity(ambiguous ? CHOSEN_PREFIX + id : id, true);
  }

  /**
   * Returns another identity for this message, of which an earlier version recorded the same text
   * as of another message. A publisher's id stays the same.
   */
  MessageIdentity separated(Term term, MessageNo no) {
    return named ? new MessageIdentity(CHOSEN_PREFIX + chosenId(), true) : assigned(term, no);
  }

  /** Returns the id that the publisher chose. The message must be named. */
  String chosenId() {
    return text.startsWith(CHOSEN_PREFIX) ? text.substring(CHOSEN_PREFIX.length()) : text;
  }

  /**
   * Returns the id by which results name the message: the publisher's, or an id that no publisher
   * chooses by chance.
   */
  String reportedId(QueueId queue) {
    if (named) {
      return chosenId();
    }
    MessageDigest128 digest =
        MessageDigest128.of(ASSIGNED_PREFIX, queue.vhost(), queue.name(), text);
    return String.format("%s%016x%016x", REPORTED_PREFIX, digest.high(), digest.low());
  }

  /** Returns the digest that identifies a repeated publish, or {@code null} if there is none. */
  MessageDigest128 repeatDigest(QueueId queue) {
    return named ? MessageDigest128.of(queue, chosenId()) : null;
  }
}
