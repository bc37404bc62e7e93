/**
 * Non-blocking network I/O on one thread: a selector loop with timers, HTTP client and server,
 * frames between controllers, and routines that end with their parent. Its {@code Target} is an
 * HTTP request target; the one of {@code probes} is a replica to probe.
 */
package io.saltflow.transport;
