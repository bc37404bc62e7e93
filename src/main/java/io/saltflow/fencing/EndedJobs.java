package io.saltflow.fencing;

import io.saltflow.cluster.Job;
import io.saltflow.model.JobId;
import java.util.HashMap;
import java.util.Map;

/**
 * Jobs that ended during a failover, before every machine was reconciled. A task launched in an
 * earlier term may still run on a machine whose heartbeats do not carry the new fencing token yet,
 * and these jobs determine how much of which team's limit it uses.
 *
 * <p>Jobs that ended before the failover are not needed, because the answer that carries the new
 * token to a machine also stops their tasks. The jobs are discarded once every machine is
 * reconciled.
 */
final class EndedJobs {
  private final Map<JobId, Job> jobs = new HashMap<>();

  /** Adds an ended job if earlier terms may have launched tasks of it. */
  void add(Job job) {
    if (job.mayHaveStartedInEarlierTerm) {
      jobs.put(job.id(), job);
    }
  }

  /** Returns the job, or {@code null} if it did not end during the failover. */
  Job find(JobId id) {
    return jobs.get(id);
  }

  void clear() {
    jobs.clear();
  }
}
