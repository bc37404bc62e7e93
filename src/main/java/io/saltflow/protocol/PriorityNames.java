package io.saltflow.protocol;

import io.saltflow.model.Priority;

/** The names of priorities on the wire, in settings and in stored records. */
public final class PriorityNames {
  private PriorityNames() {}

  /** Returns the name of a priority. */
  public static String of(Priority priority) {
    return switch (priority) {
      case LOW -> Wire.PRIORITY_LOW;
      case NORMAL -> Wire.PRIORITY_NORMAL;
      case HIGH -> Wire.PRIORITY_HIGH;
      case CRITICAL -> Wire.PRIORITY_CRITICAL;
    };
  }

  /** Returns the priority with this name, or {@code null} if there is none. */
  public static Priority parse(String name) {
    for (Priority priority : Priority.values()) {
      if (of(priority).equals(name)) {
        return priority;
      }
    }
    return null;
  }
}
