package io.saltflow.protocol;

import java.util.List;

/** What a user asked for. {@code deadline} and the lists may be null: no deadline, any type. */
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
    Span deadline) {

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
