package io.saltflow.binpacking;

import io.saltflow.model.MachineId;
import java.util.List;

/**
 * Replica moves after which the waiting task fits on a machine.
 *
 * @param target the machine on which the task fits after the moves
 * @param costS the total cost of the replicas' absence, in seconds
 */
public record MigrationPlan(MachineId target, List<ReplicaMove> moves, double costS) {}
