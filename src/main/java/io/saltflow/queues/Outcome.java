package io.saltflow.queues;

/** How a message's work ended, for good. */
public enum Outcome {
  DONE("done"),
  FAILED("failed"),
  EXPIRED("expired"),
  DEAD_LETTERED("dead-lettered"),
  /** A consumer had it, is gone, and its class allows no repeat. */
  UNKNOWN("unknown"),
  CANCELLED("cancelled");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** As results say it. */
  public String text() {
    return text;
  }
}
