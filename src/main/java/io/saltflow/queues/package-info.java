/**
 * Deterministic core of the work queues: messages, deliveries and their acknowledgement, results,
 * dead letters, and the log from which they are recovered. The core receives events with their
 * times, and returns entries to record and effects to carry out after they are recorded.
 */
package io.saltflow.queues;
