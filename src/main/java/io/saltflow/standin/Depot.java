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
  /**
   * What a service's task is told besides its description.
   *
   * @param port the first port of its version; 0: it listens nowhere
   * @param parameters its version's
   */
  public record Told(int port, Map<String, String> parameters) {
    static final Told NOTHING = new Told(0, Map.of());

    /** How a stand-in replica is to behave: {@code dies 29}, {@code slow 300} and so on. */
    Behaviour behaviour() {
      return Behaviour.of(parameters.getOrDefault("behaves", "well"));
    }
  }

  private final Function<JobId, JobSpec> descriptions;
  private final Function<JobId, Told> services;
  private final Set<TaskId> results = new HashSet<>();
  private final Map<TaskId, Span> progress = new HashMap<>();

  /**
   * @param descriptions the job's description, or null when there is none
   */
  public Depot(Function<JobId, JobSpec> descriptions) {
    this(descriptions, id -> null);
  }

  /**
   * @param descriptions the job's description, or null when there is none
   * @param services what a service's tasks are told, or null when the job is none
   */
  public Depot(Function<JobId, JobSpec> descriptions, Function<JobId, Told> services) {
    this.descriptions = descriptions;
    this.services = services;
  }

  Told told(JobId id) {
    Told told = services.apply(id);
    return told == null ? Told.NOTHING : told;
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
