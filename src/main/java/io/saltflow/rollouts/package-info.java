/**
 * The states of a roll-out as a pure function: from its record and the observed replicas to its
 * next record. Its {@code Machine} is this state machine; the one of {@code coordination} is a
 * rented machine.
 */
package io.saltflow.rollouts;
