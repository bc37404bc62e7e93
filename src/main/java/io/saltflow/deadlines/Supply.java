package io.saltflow.deadlines;

/**
 * What works for a queue.
 *
 * @param now cores that it gets as things go
 * @param pushed cores that it could get when it goes first: the fleet's, within its teams' limits
 */
public record Supply(double now, double pushed) {}
