/**
 * The scheduler: a deterministic core that is told what happened and when, and decides what to
 * start, stop, rent and return. It holds the leader's authority, the fencing of tasks on workers,
 * the rounds of the scheduler, and the size of the fleet.
 */
package io.saltflow.coordination;
