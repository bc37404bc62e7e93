package io.saltflow.amqp;

/**
 * The broker behind one connection. Answers that must wait until an entry is recorded are passed to
 * the {@link AmqpSession} later, with the ids given here.
 *
 * <p>A channel's id is never used again on its connection, unlike the number that the peer has for
 * it: an answer that comes after its channel was closed must not reach a channel opened later.
 */
public interface BrokerSession {
  /** The content of a published message. */
  record Content(MessageProperties properties, byte[] body) {}

  /** The numbers of waiting messages and of consumers of a queue. */
  record Status(int messages, int consumers) {}

  /** How a consumer settles a delivery. */
  enum Settlement {
    ACK,
    REJECT,
    REQUEUE
  }

  /** Returns the status of a queue, or {@code null} if the virtual host has no such queue. */
  Status status(String queue);

  /**
   * Publishes a message. The answer is {@link AmqpSession#confirmPublishes} or {@link
   * AmqpSession#rejectPublish}, also without confirm mode.
   */
  void publish(long channelId, long number, String queue, Content content);

  /**
   * Adds a consumer.
   *
   * @throws AmqpException the reply to the client if the queue cannot be consumed
   */
  void consume(long channelId, String tag, String queue, boolean noAck) throws AmqpException;

  /** Cancels a consumer. Its outstanding deliveries may still be settled. */
  void cancel(long channelId, String tag);

  /** Requests one message. The answer is {@link AmqpSession#answerGet}. */
  void get(long channelId, String queue, boolean noAck) throws AmqpException;

  /**
   * Sets the maximum number of unacknowledged deliveries, either for each later consumer of the
   * channel or for the whole channel.
   */
  void prefetch(long channelId, int count, boolean wholeChannel);

  /** Settles the delivery that was sent with this handle. */
  void settle(long channelId, Object handle, Settlement how);

  /** Removes a closed channel with its consumers, and releases unsettled deliveries. */
  void channelClosed(long channelId);

  /** Ends the session as {@link #channelClosed} does for each channel. Called once. */
  void connectionClosed();
}
