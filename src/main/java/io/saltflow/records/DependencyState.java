package io.saltflow.records;

/** The state of a job that another job depends on. */
enum DependencyState {
  /** The job was accepted and had not ended at some time after the lookup began. */
  LIVE,
  DONE,
  CANCELLED,
  /** No node had accepted the job at some time after the lookup began. */
  ABSENT,
  /** The store gave no conclusive answer; the lookup may be repeated. */
  UNKNOWN
}
