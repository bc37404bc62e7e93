package io.saltflow.shares;

import io.saltflow.protocol.Span;

/**
 * What operators may set.
 *
 * @param leastPart of an even share, what is given before priority and arrival are asked; 0: none
 * @param after who has waited for so long is given it
 * @param oldestPart of a least part, what goes to the job that has waited longest; the rest goes to
 *     those that can end soonest
 */
public record Rules(double leastPart, Span after, double oldestPart) {}
