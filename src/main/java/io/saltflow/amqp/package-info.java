/**
 * The server side of AMQP 0-9-1 as a state machine. It receives bytes with their times, sends
 * bytes, and calls a broker interface. It uses no sockets and no clock. {@code docs/AMQP.md} lists
 * the supported parts of the standard.
 */
package io.saltflow.amqp;
