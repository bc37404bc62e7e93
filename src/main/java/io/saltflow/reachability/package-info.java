/**
 * Detection of asymmetric partitions between a controller and a worker, in which heartbeats arrive
 * but answers and commands are lost. Such a worker appears healthy until its lease expires. Pure:
 * answers, heartbeats and times are passed in. {@code docs/design/answer-loss.md} compares the
 * alternatives.
 */
package io.saltflow.reachability;
