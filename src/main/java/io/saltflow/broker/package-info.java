/**
 * The AMQP server of a node, and the work queues while the node leads. Connects the state machines
 * of {@code amqp} and {@code queues} to sockets and the key-value store.
 */
package io.saltflow.broker;
