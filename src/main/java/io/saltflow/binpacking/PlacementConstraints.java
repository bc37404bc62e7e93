package io.saltflow.binpacking;

import io.saltflow.model.MachineId;

/** Constraints on moving a replica apart from free resources, and the time to fetch its image. */
public interface PlacementConstraints {
  /** Returns whether the replica may run on the machine. */
  boolean mayPlace(MovableReplica replica, MachineId to);

  /** Returns the time to fetch the replica's image on the machine, in seconds. */
  double fetchS(MovableReplica replica, MachineId to);
}
