package io.saltflow.packing;

import io.saltflow.protocol.Size;
import io.saltflow.protocol.TaskId;

/**
 * A replica that may be moved.
 *
 * @param cost what its absence costs, in seconds, without the fetch where it goes
 */
public record Piece(TaskId task, Size size, double cost) {}
