/**
 * The key-value store as a deterministic state machine, with versioned keys, leases, transactions,
 * watches and rate limits. The caller passes in requests, persists the resulting write batches, and
 * sends the replies.
 */
package io.saltflow.kv;
