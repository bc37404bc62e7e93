/**
 * The order of waiting jobs, as a function of what is recorded and of the time alone, so that every
 * controller that leads puts them in the same: a job's lane and its place within it are fixed when
 * it is accepted, what else moves it is recorded when it happens. Pure. {@code
 * docs/design/lanes.md} has the ways weighed.
 */
package io.saltflow.lanes;
