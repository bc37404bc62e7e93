package io.saltflow.standin;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** What lies outside the machines: descriptions of jobs, results, and saved progress. */
public final class Depot {
  private final Function<JobId, JobSpec> descriptions;
  private final Set<TaskId> results = new HashSet<>();
  private final Map<TaskId, Span> progress = new HashMap<>();

  /**
   * @param descriptions the job's description, or null when there is none
   */
  public Depot(Function<JobId, JobSpec> descriptions) {
    this.descriptions = descriptions;
  }

  JobSpec description(JobId id) {
    return descriptions.apply(id);
  }

  boolean hasResult(TaskId task) {
    return results.contains(task);
  }

  void keepResult(TaskId task) {
    results.add(task);
    progress.remove(task);
  }

  Span progress(TaskId task) {
    return progress.getOrDefault(task, Span.millis(0));
  }

  void save(TaskId task, Span ran) {
    progress.put(task, ran);
  }
}
