package io.saltflow.records;

import io.saltflow.model.JobId;

/** Outcome of a request about one job. It is unknown if the key-value store gave no answer. */
public sealed interface JobOutcome {
  /** A new record was written. */
  record Created(JobId id) implements JobOutcome {}

  /** The job was accepted and immediately cancelled, because it depends on a cancelled job. */
  record CreatedCancelled(JobId id) implements JobOutcome {}

  /** The job is recorded. */
  record Found(JobStatus status) implements JobOutcome {}

  /** The store has confirmed that the job is not recorded. */
  record Absent() implements JobOutcome {}

  /** The store gave no conclusive answer; the request may be repeated. */
  record Unknown() implements JobOutcome {}

  /** The record would exceed the key-value store's limit. */
  record TooLarge() implements JobOutcome {}

  /** The job was refused, because it depends on a job that was never accepted. */
  record NeverAccepted(JobId dependency) implements JobOutcome {}
}
