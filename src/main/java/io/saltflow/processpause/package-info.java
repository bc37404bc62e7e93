/**
 * Detection of process pauses, in which the process was frozen, its machine was suspended, or it
 * was not scheduled on a processor. Pure: readings of the monotonic clock and of the wall clock are
 * passed in.
 */
package io.saltflow.processpause;
