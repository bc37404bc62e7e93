package io.saltflow.kv;

/**
 * The limits of the key-value store, as set by PROTOCOL's settings.
 *
 * @param maxValueKib the maximum size of a value as JSON, in KiB
 * @param maxTransactionWrites the maximum number of writes in a transaction
 */
public record KeyValueLimits(
    double requestsPerSecond,
    double writesPerSecond,
    double maxValueKib,
    int maxTransactionWrites) {}
