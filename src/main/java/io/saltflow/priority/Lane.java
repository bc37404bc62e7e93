package io.saltflow.priority;

import io.saltflow.model.Priority;
import io.saltflow.protocol.PriorityNames;

/**
 * A priority lane: the part of the queue in which a job waits.
 *
 * @param rank the position in service order; 0 is served first
 * @param name the configured name, or empty for a priority's default lane if no lanes are
 *     configured
 */
public record Lane(int rank, String name) {
  /** Returns the default lane of a priority, used if no lanes are configured. */
  public static Lane of(Priority priority) {
    return new Lane(Priority.values().length - 1 - priority.ordinal(), "");
  }

  boolean isNamed() {
    return !name.isEmpty();
  }

  @Override
  public String toString() {
    return isNamed()
        ? name
        : PriorityNames.of(Priority.values()[Priority.values().length - 1 - rank]);
  }
}
