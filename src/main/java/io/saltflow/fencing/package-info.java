/**
 * Tracks the proven state of each task: where an attempt is or may still be running, how worker
 * heartbeats reconcile with launches, and the outcomes of tasks. A task placement ends only on
 * proof. Deterministic, without sockets or a clock.
 */
package io.saltflow.fencing;
