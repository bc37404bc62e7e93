/**
 * Jobs that depend on others: which of them may start, which are to be cancelled with a job that
 * they need, and which priority and latest completion they inherit from the jobs that need them.
 * Pure and deterministic: events in, effects out. {@code docs/design/pipelines.md} has the ways
 * weighed.
 */
package io.saltflow.pipelines;
