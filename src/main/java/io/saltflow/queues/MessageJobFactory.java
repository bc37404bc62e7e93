package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;

/**
 * Creates a job from a message body, which is a job description or the parameters of the queue's
 * job template.
 */
public interface MessageJobFactory {
  /** Thrown if no job can be created from a message. The exception's message gives the reason. */
  final class InvalidJobException extends Exception {
    /** Creates an exception with the reason why no job can be created. */
    public InvalidJobException(String reason) {
      super(reason, null, false, false);
    }
  }

  /**
   * Returns the job for a message, with the given id.
   *
   * @throws InvalidJobException if the body is not a valid job
   */
  JobSpec createJob(QueuePolicy queue, JobId id, byte[] body) throws InvalidJobException;
}
