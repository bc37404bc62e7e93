package io.saltflow.cluster;

import io.saltflow.model.Priority;
import io.saltflow.model.Resources;

/**
 * The quota usage and demand of the messages of one work queue.
 *
 * @param team the team whose quota the messages count against
 * @param priority the priority of the queue's messages
 * @param held the resources used by messages that are being processed
 * @param wanted the resources that waiting messages would use if they were processed
 * @param arrivedWallMs the arrival time of the first waiting message, in wall-clock milliseconds
 */
public record QueueDemand(
    String team, Priority priority, Resources held, Resources wanted, long arrivedWallMs) {}
