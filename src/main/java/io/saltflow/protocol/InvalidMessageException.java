package io.saltflow.protocol;

/** Signals that a message violates the protocol. Its text may be sent to the peer. */
public final class InvalidMessageException extends Exception {
  /** Creates an exception whose message may be sent to the peer; it has no stack trace. */
  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
