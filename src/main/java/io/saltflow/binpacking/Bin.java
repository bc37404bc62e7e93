package io.saltflow.binpacking;

import io.saltflow.model.MachineId;
import io.saltflow.model.Resources;
import java.util.List;

/**
 * A machine as input to the planner.
 *
 * @param free the resources that are neither used nor reserved
 * @param eligible whether the waiting task may run there
 * @param movable the replicas that may be moved to other machines
 */
public record Bin(MachineId id, Resources free, boolean eligible, List<MovableReplica> movable) {}
