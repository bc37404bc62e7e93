package io.saltflow.raft;

/**
 * Signals that an operation would break one of Raft's safety properties (figure 3 of the paper). It
 * is never thrown while all members follow the protocol.
 */
public final class SafetyViolationException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  SafetyViolationException(String message) {
    super(message);
  }
}
