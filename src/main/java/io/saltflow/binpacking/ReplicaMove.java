package io.saltflow.binpacking;

import io.saltflow.model.MachineId;
import io.saltflow.model.TaskId;

/** Move of a replica from one machine to another. */
public record ReplicaMove(TaskId task, MachineId from, MachineId to) {}
