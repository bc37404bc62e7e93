/**
 * Non-blocking network I/O on one thread: an event loop with timers, an HTTP client and server, a
 * frame mesh between controllers, and routines that are cancelled with their parent.
 */
package io.saltflow.transport;
