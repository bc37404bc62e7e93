package io.saltflow.probes;

/**
 * What is known of a replica now.
 *
 * @param latencyMs until its answer came; negative: it answered badly, or nobody could reach it
 */
public record ReplicaHealth(ReplicaProbe target, long latencyMs) {}
