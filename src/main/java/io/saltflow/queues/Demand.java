package io.saltflow.queues;

import io.saltflow.model.Priority;
import io.saltflow.model.Resources;

/**
 * The team quota that a queue's messages use and request. {@code held} is the quota of delivered
 * messages, {@code wanted} that of waiting messages that consumers could take, and {@code
 * arrivedWallMs} the arrival time of the first waiting message.
 */
public record Demand(
    String team, Priority priority, Resources held, Resources wanted, long arrivedWallMs) {}
