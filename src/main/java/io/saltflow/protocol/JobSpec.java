package io.saltflow.protocol;

import java.util.List;

/**
 * What a user asked for. {@code deadline} and {@code types} may be null: no deadline, any type.
 *
 * @param awaits the jobs that have to be done before any task of this one starts; in a job's record
 *     those of them that were not known to be done when it was accepted
 */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    boolean daemon,
    Priority priority,
    int tasks,
    Size size,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    String image,
    double imageGb,
    Span estimate,
    Span checkpoint,
    Span save,
    Span deadline,
    List<JobId> awaits) {

  /** The same job with other dependencies. */
  public JobSpec awaiting(List<JobId> others) {
    return new JobSpec(
        id,
        jobClass,
        team,
        daemon,
        priority,
        tasks,
        size,
        types,
        zone,
        oneZone,
        spread,
        spotAllowed,
        image,
        imageGb,
        estimate,
        checkpoint,
        save,
        deadline,
        List.copyOf(others));
  }

  public boolean checkpoints() {
    return checkpoint.ms() > 0;
  }

  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /** Whether the machine's own nature is allowed, other tasks of the job aside. */
  public boolean allows(String type, String inZone, boolean spot) {
    return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotAllowed || !spot);
  }

  /** The most tasks in one zone when the job must be spread. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }
}
