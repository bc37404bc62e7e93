package io.saltflow.queues;

/** Encodes the result message of a completed message. */
public interface ResultEncoder {
  /** Returns the body of the result. {@code reason} may be null. */
  byte[] body(String id, Outcome outcome, int attempts, String reason);

  /** Returns the encoded properties of the result. */
  byte[] properties(String id);
}
