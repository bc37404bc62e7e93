/**
 * Dependencies between jobs: which jobs may start, which are cancelled by cascade, and which
 * priority and latest completion they inherit from their dependents. Pure and deterministic: events
 * are passed in, and effects are returned. {@code docs/design/job-dependencies.md} compares the
 * alternatives.
 */
package io.saltflow.dependencies;
