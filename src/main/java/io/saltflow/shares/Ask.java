package io.saltflow.shares;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;

/**
 * What one job has and asks for.
 *
 * @param each the part of the fleet that one task takes, 0 to 1
 * @param pending tasks that could start now; beyond what the whole fleet holds it makes no
 *     difference
 * @param held tasks that have, or have been given, a machine
 * @param fits the part of the fleet on which its tasks may be, 0 to 1
 * @param leftS what is left of it, in seconds of the whole fleet
 * @param waits since its arrival
 */
public record Ask(
    JobId id,
    Party jobClass,
    Party team,
    Priority priority,
    double each,
    int pending,
    int held,
    double fits,
    double leftS,
    long arrivedWallMs,
    Span waits) {

  double wanted() {
    return Math.min(1, each * (pending + held));
  }
}
