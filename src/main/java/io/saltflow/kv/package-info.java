/**
 * The key-value store of the state service as a deterministic core: keys with versions, leases,
 * transactions, watches and rate limits. A shell brings requests, persists what each step changes,
 * and sends the replies.
 */
package io.saltflow.kv;
