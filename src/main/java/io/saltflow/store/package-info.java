/**
 * The client of the key-value store: prioritized and rate-limited requests, guarded transactions,
 * watches, the limits that the store accepts, and compressed or packed values.
 */
package io.saltflow.store;
