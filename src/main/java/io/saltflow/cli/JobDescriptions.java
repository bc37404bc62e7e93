package io.saltflow.cli;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Revision;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.records.ServiceRepository;
import io.saltflow.services.ServiceController;
import java.util.function.Function;

/**
 * Provides emulated machines with job descriptions, read from the controllers' records. In
 * production, users upload them to an object store.
 *
 * @param lookup returns the value of a key in the key-value store, or {@code null}
 */
public record JobDescriptions(Function<String, MessageBody> lookup) {
  /** Returns the description of a live job, or {@code null} if there is none. */
  public JobSpec spec(JobId id) {
    MessageBody live = lookup.apply(JobRecordCodec.liveKey(id));
    try {
      return live == null ? null : JobRecordCodec.decode(live, Revision.ABSENT).spec();
    } catch (InvalidMessageException exception) {
      return null;
    }
  }

  /** Returns the parameters of a service's tasks, or {@code null} if the job is not a service. */
  ServiceController.TaskParameters serviceParameters(JobId id) {
    JobSpec spec = spec(id);
    if (spec == null || !spec.jobClass().startsWith(Wire.SERVICE_CLASS)) {
      return null;
    }
    String name = spec.jobClass().substring(Wire.SERVICE_CLASS.length());
    MessageBody record = lookup.apply(ServiceRepository.recordKey(name));
    try {
      return record == null ? null : ServiceController.taskParameters(record, id);
    } catch (InvalidMessageException exception) {
      return null;
    }
  }
}
