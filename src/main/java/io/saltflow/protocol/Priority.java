package io.saltflow.protocol;

/** How urgent a job is, least urgent first. */
public enum Priority {
  LOW(Wire.URGENCY_LOW),
  NORMAL(Wire.URGENCY_NORMAL),
  HIGH(Wire.URGENCY_HIGH),
  CRITICAL(Wire.URGENCY_CRITICAL);

  private final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  /** The priority of that wire name, or null. */
  public static Priority of(String wireName) {
    for (Priority p : values()) {
      if (p.wireName.equals(wireName)) {
        return p;
      }
    }
    return null;
  }

  public boolean above(Priority other) {
    return compareTo(other) > 0;
  }
}
