/**
 * Bin packing of tasks on machines: placement that limits fragmentation, and migration of replicas
 * so that a large task fits. Pure: machines, tasks and times are passed in, and a plan is returned;
 * the scheduler carries it out and verifies each step. {@code docs/design/bin-packing.md} compares
 * the alternatives and cites publications.
 */
package io.saltflow.binpacking;
