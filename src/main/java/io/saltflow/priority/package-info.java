/**
 * The order of waiting jobs. It is a pure function of recorded data and the time, so that every
 * leader computes the same order: a job's lane and its position within it are fixed at admission,
 * and every other change of its place is recorded when it happens. {@code docs/design/lanes.md}
 * compares the alternatives.
 */
package io.saltflow.priority;
