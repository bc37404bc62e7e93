package io.saltflow.amqp;

/**
 * A message for a consumer.
 *
 * @param handle passed to the broker when the delivery is settled
 * @param queue the name of the message's queue
 * @param redelivered whether a consumer may have received the message before
 * @param noAck whether the delivery is settled as soon as it is sent
 * @param properties the encoded properties, as the publisher sent them
 */
public record OutgoingDelivery(
    Object handle,
    String queue,
    boolean redelivered,
    boolean noAck,
    byte[] properties,
    byte[] body) {}
