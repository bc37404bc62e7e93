package io.saltflow.packing;

import io.saltflow.protocol.MachineId;
import java.util.List;

/**
 * Moves after which the waiting task fits on a machine.
 *
 * @param clear where it fits then
 * @param cost in seconds of replicas away
 */
public record Plan(MachineId clear, List<Move> moves, double cost) {}
