package io.saltflow.queues;

/**
 * Identifies one delivery attempt. An acknowledgement must match the message, the attempt and the
 * consumer.
 */
public record DeliveryId(MessageNo message, int attempt, ConsumerId consumer) {}
