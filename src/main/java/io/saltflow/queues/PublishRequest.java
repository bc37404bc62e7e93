package io.saltflow.queues;

/**
 * A message to publish.
 *
 * @param queue the queue to publish to
 * @param id the publisher's id, which identifies a repeated publish, or null if there is none
 * @param ttlMs the time to live in milliseconds; negative to use the time to live of the queue
 * @param properties the message's encoded properties
 * @param body the message's body
 */
public record PublishRequest(
    QueueId queue, String id, long ttlMs, byte[] properties, byte[] body) {}
