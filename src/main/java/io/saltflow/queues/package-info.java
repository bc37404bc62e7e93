/**
 * Work queues as a deterministic core: messages, deliveries and their acknowledgement, results,
 * dead letters, and the record that they are recovered from. The core is told what happened and
 * when, and answers with entries to record and effects to carry out once they are recorded.
 */
package io.saltflow.queues;
