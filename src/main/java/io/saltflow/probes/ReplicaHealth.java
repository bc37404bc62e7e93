package io.saltflow.probes;

/**
 * The result of a replica's probe.
 *
 * @param latencyMs the response time in milliseconds, or a negative code if the replica is
 *     unhealthy or unreachable
 */
public record ReplicaHealth(ReplicaProbe probe, long latencyMs) {}
