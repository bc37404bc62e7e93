/**
 * Failure detection of the leader, based on closed and refused connections, missing messages, and
 * workers that contact other controllers. Pure: events and times are passed in.
 */
package io.saltflow.failuredetector;
