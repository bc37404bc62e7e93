/**
 * Non-blocking network I/O on one thread: a selector loop with timers, HTTP client and server,
 * frames between controllers, and routines that end with their parent.
 */
package io.saltflow.transport;
