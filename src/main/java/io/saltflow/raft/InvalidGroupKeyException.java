package io.saltflow.raft;

/** Signals that a secret is too short for a {@link GroupKey}. */
public final class InvalidGroupKeyException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidGroupKeyException(String message) {
    super(message);
  }
}
