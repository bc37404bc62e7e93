package io.saltflow.amqp;

/**
 * The broker behind one connection: its queues, as the connection's session asks for them. Answers
 * that have to wait for a record come back to the session later, by the numbers that are given
 * here.
 */
public interface BrokerSession {
  /** A message as it was published. */
  record Content(MessageProperties properties, byte[] body) {}

  /** What passive declaration tells. */
  record Status(int messages, int consumers) {}

  /** What a consumer says of a delivery. */
  enum Settlement {
    ACK,
    REJECT,
    REQUEUE
  }

  /** Null when the virtual host has no such queue. */
  Status status(String queue);

  /**
   * Answered by {@link AmqpSession#confirmPublishes} or {@link AmqpSession#rejectPublish}, confirms
   * asked for or not.
   */
  void publish(int channel, long number, String queue, Content content);

  /** Adds a consumer; the error is the reply to the client. */
  void consume(int channel, String tag, String queue, boolean noAck) throws AmqpException;

  /** Cancels a consumer; what it holds may still be settled. */
  void cancel(int channel, String tag);

  /** Answered by {@link AmqpSession#answerGet}. */
  void get(int channel, String queue, boolean noAck) throws AmqpException;

  /** How many deliveries may be unacknowledged, of each consumer to come or of the channel. */
  void prefetch(int channel, int count, boolean wholeChannel);

  /** The handle is the one that came with the delivery. */
  void settle(int channel, Object handle, Settlement how);

  /** The channel has ended, with its consumers; deliveries not settled are given back. */
  void channelClosed(int channel);

  /** The connection has ended: as {@link #channelClosed} for each channel. Called once. */
  void connectionClosed();
}
