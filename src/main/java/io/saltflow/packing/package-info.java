/**
 * Room that is left over in pieces: where a task leaves the most useful room, and which replicas to
 * move so that a large task fits. Pure: machines, tasks and times are passed in, a plan comes out;
 * who carries it out, and proves each step, is the core of coordination. {@code
 * docs/design/packing.md} has the ways weighed and what was published.
 */
package io.saltflow.packing;
