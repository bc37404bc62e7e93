package io.saltflow.kvserver;

/**
 * Signals that a committed log entry or an installed snapshot cannot be decoded. The member stops
 * participating in the group, because its contents would diverge if it skipped the entry.
 */
final class UnreadableStateException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  UnreadableStateException(String element, Throwable cause) {
    super(element + " cannot be decoded; this node stops participating in the group", cause);
  }
}
