package io.saltflow.records;

import io.saltflow.model.JobSpec;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;

/**
 * The stored record of a live job.
 *
 * @param arrivedWallMs wall-clock time of submission, in milliseconds
 * @param maybeStarted whether the record says that tasks may have been launched; only records of
 *     earlier versions do
 * @param lane priority lane in which the job was accepted
 */
public record LiveJobRecord(
    JobSpec spec,
    long arrivedWallMs,
    boolean maybeStarted,
    Lane lane,
    AdmissionPosition position) {}
