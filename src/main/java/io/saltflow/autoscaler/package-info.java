/**
 * Scaling out and in, based on the backlog, pending capacity, and the number of machines that a
 * controller can serve. The code is deterministic: it performs no I/O and reads no clock.
 */
package io.saltflow.autoscaler;
