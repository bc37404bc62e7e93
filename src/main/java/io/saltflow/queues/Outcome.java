package io.saltflow.queues;

/** The final outcome of a message. */
public enum Outcome {
  DONE("done"),
  FAILED("failed"),
  EXPIRED("expired"),
  DEAD_LETTERED("dead-lettered"),
  /** The consumer was lost while it held the message, and the queue allows no redelivery. */
  UNKNOWN("unknown"),
  CANCELLED("cancelled");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Returns the outcome's name in results. */
  public String text() {
    return text;
  }
}
