/**
 * The server's side of AMQP 0-9-1 as a state machine: bytes and times in, bytes and calls to a
 * broker interface out. It has no sockets and no clock. {@code docs/AMQP.md} says which parts of
 * the standard are supported.
 */
package io.saltflow.amqp;
