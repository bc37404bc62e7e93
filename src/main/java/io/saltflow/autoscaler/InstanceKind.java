package io.saltflow.autoscaler;

import io.saltflow.cluster.Job;
import io.saltflow.model.MachineType;

/** A kind of instance that the cloud can create: a machine type in a zone, spot or on-demand. */
public record InstanceKind(MachineType type, String zone, boolean spot) {
  /** Returns whether tasks of the job may run on machines of this kind. */
  boolean accepts(Job job) {
    return job.spec.allows(type.name(), zone, spot);
  }

  @Override
  public String toString() {
    return type.name() + "/" + zone + (spot ? "/spot" : "/ordinary");
  }
}
