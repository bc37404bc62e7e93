/**
 * Deterministic core of the leader, which combines the cluster state, fencing, scheduling and
 * autoscaling, processes events and returns their effects without sockets or a clock. Also contains
 * the leader lease, the recorded decisions and the health monitor.
 */
package io.saltflow.leader;
