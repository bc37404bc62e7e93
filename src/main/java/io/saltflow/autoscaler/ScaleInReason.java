package io.saltflow.autoscaler;

/** Reason for deleting a machine. */
enum ScaleInReason {
  ANSWERS_LOST("answers to their heartbeats are lost"),
  SILENT("silent"),
  UNKNOWN_TYPE("machine type unknown"),
  FAULTY("faulty"),
  BOOT_TIMEOUT("boot timeout"),
  RECLAIMED("about to be reclaimed by the cloud, empty"),
  EXPENSIVE("expensive and not needed"),
  IDLE("idle");

  private final String text;

  ScaleInReason(String text) {
    this.text = text;
  }

  /** Returns the reason as it appears in the log. */
  @Override
  public String toString() {
    return text;
  }
}
