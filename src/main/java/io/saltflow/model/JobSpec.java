package io.saltflow.model;

import java.util.List;

/**
 * The specification of a job as its user submitted it.
 *
 * @param machineTypes the machine types that the job may run on, or {@code null} for any type
 * @param deadline the deadline, or {@code null} if there is none
 * @param dependencies the jobs that must be done before any task of this job starts; a stored job
 *     record lists only those that were not known to be done when the job was accepted
 */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    boolean daemon,
    Priority priority,
    int tasks,
    Resources size,
    List<String> machineTypes,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    String image,
    double imageGb,
    TimeSpan estimate,
    TimeSpan checkpointInterval,
    TimeSpan checkpointWrite,
    TimeSpan deadline,
    List<JobId> dependencies) {

  /** Returns a copy of this job with other dependencies. */
  public JobSpec withDependencies(List<JobId> others) {
    return new JobSpec(
        id,
        jobClass,
        team,
        daemon,
        priority,
        tasks,
        size,
        machineTypes,
        zone,
        oneZone,
        spread,
        spotAllowed,
        image,
        imageGb,
        estimate,
        checkpointInterval,
        checkpointWrite,
        deadline,
        List.copyOf(others));
  }

  /** Returns whether the job's tasks write checkpoints. */
  public boolean checkpoints() {
    return checkpointInterval.ms() > 0;
  }

  /** Returns whether the job may run on a machine of this type. */
  public boolean allowsType(String type) {
    return machineTypes == null || machineTypes.contains(type);
  }

  /**
   * Returns whether the job may run on a machine of this type, zone and purchase option, regardless
   * of where its other tasks run.
   */
  public boolean allows(String type, String inZone, boolean spot) {
    return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotAllowed || !spot);
  }

  /** Returns the maximum number of tasks in one zone for a job that must be spread. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }
}
