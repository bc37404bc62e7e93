package io.saltflow.queues;

/** One attempt at a message by one consumer: what an acknowledgement must match. */
public record DeliveryId(MessageNo message, int attempt, ConsumerId consumer) {}
