/**
 * Daily deadlines: the jobs of a queue, which is a named set of job classes and teams, are due each
 * day by a set time in its time zone. The package computes the next deadline, forecasts which jobs
 * complete by then, and selects the jobs to run first so that the fewest are late. All functions
 * are pure: times and work are passed in. {@code docs/design/daily-deadlines.md} compares the
 * alternatives and cites publications.
 */
package io.saltflow.deadlines;
