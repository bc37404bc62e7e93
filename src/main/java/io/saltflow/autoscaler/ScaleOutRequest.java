package io.saltflow.autoscaler;

import io.saltflow.cluster.Machine;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;

/**
 * A request to the cloud for machines. It stays open until {@link ScaleOutPlanner#onAnswered} is
 * called.
 *
 * @param name the idempotency key, never reused for another request
 * @param instanceKind the kind of instance requested
 * @param count the number of machines requested
 * @param requestedAt the time at which the request was planned
 */
public record ScaleOutRequest(
    String name, InstanceKind instanceKind, int count, MonotonicTime requestedAt) {
  /** Returns the name of the machine type. */
  public String type() {
    return instanceKind.type().name();
  }

  /** Returns the zone in which the machines are to be created. */
  public String zone() {
    return instanceKind.zone();
  }

  /** Returns whether spot instances are requested. */
  public boolean spot() {
    return instanceKind.spot();
  }

  /** Returns a new machine that the cloud created for this request. */
  public Machine createdMachine(MachineId id) {
    return new Machine(id, instanceKind.type(), type(), zone(), spot(), requestedAt);
  }
}
