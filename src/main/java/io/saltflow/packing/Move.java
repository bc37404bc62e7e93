package io.saltflow.packing;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.TaskId;

/** One replica goes from one machine to another. */
public record Move(TaskId task, MachineId from, MachineId to) {}
