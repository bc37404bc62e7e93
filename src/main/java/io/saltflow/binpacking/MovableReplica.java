package io.saltflow.binpacking;

import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;

/**
 * A replica that may be moved.
 *
 * @param costS the cost of the replica's absence, in seconds, excluding the image fetch at its
 *     destination
 */
public record MovableReplica(TaskId task, Resources size, double costS) {}
