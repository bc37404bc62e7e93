/**
 * Failure detection of the leader: whether its process has ended, from closed and refused
 * connections, silence, and workers that turn to other controllers. Pure: events and times are
 * passed in.
 */
package io.saltflow.failuredetector;
