package io.saltflow.model;

/** Job priorities in ascending order. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  CRITICAL;

  /** Returns whether this priority is higher than the other one. */
  public boolean higherThan(Priority other) {
    return compareTo(other) > 0;
  }
}
