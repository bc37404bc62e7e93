package io.saltflow.records;

import io.saltflow.model.JobId;

/**
 * Status of a job as reported to users.
 *
 * @param doneCount recorded number of done tasks
 */
public record JobStatus(JobId id, JobPhase phase, int doneCount) {
  /** Returns the status of a live job whose number of done tasks is unknown. */
  static JobStatus live(JobId id) {
    return new JobStatus(id, JobPhase.LIVE, 0);
  }

  /** Returns the status of a job whose tasks are all done. */
  static JobStatus done(JobId id, int tasks) {
    return new JobStatus(id, JobPhase.DONE, tasks);
  }

  /** Returns the status of a job that was cancelled before any task was done. */
  static JobStatus cancelled(JobId id) {
    return new JobStatus(id, JobPhase.CANCELLED, 0);
  }
}
