package io.saltflow.records;

/** Recorded phase of a job. The names of the final phases are stored in end records. */
public enum JobPhase {
  /** The job was accepted and has not ended. */
  LIVE,
  DONE,
  CANCELLED
}
