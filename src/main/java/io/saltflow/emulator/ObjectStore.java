package io.saltflow.emulator;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.TaskId;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Storage shared by all machines: job descriptions, task results and checkpoints. */
public final class ObjectStore {
  /**
   * Parameters that a service task receives in addition to its job description.
   *
   * @param port the first port of its version, or 0 if it does not listen
   * @param parameters the parameters of its version
   */
  public record ServiceParameters(int port, Map<String, String> parameters) {
    static final ServiceParameters NONE = new ServiceParameters(0, Map.of());

    /** Returns the behaviour that the parameters request for an emulated replica. */
    ReplicaBehaviour behaviour() {
      return ReplicaBehaviour.of(parameters.getOrDefault("behaves", "well"));
    }
  }

  private final Function<JobId, JobSpec> descriptions;
  private final Function<JobId, ServiceParameters> services;
  private final Set<TaskId> results = new HashSet<>();
  private final Map<TaskId, TimeSpan> checkpointedRunTime = new HashMap<>();

  /**
   * @param descriptions returns a job's description, or {@code null} if there is none
   */
  public ObjectStore(Function<JobId, JobSpec> descriptions) {
    this(descriptions, id -> null);
  }

  /**
   * @param descriptions returns a job's description, or {@code null} if there is none
   * @param services returns the parameters of a service's tasks, or {@code null} if the job does
   *     not belong to a service
   */
  public ObjectStore(
      Function<JobId, JobSpec> descriptions, Function<JobId, ServiceParameters> services) {
    this.descriptions = descriptions;
    this.services = services;
  }

  ServiceParameters serviceParameters(JobId id) {
    ServiceParameters parameters = services.apply(id);
    return parameters == null ? ServiceParameters.NONE : parameters;
  }

  JobSpec description(JobId id) {
    return descriptions.apply(id);
  }

  boolean hasResult(TaskId task) {
    return results.contains(task);
  }

  void saveResult(TaskId task) {
    results.add(task);
    checkpointedRunTime.remove(task);
  }

  TimeSpan checkpointedRunTime(TaskId task) {
    return checkpointedRunTime.getOrDefault(task, TimeSpan.millis(0));
  }

  void saveCheckpoint(TaskId task, TimeSpan runTime) {
    checkpointedRunTime.put(task, runTime);
  }
}
