package io.saltflow.protocol;

/** A message that breaks the protocol; the text is fit to be sent back. */
public final class BadMessage extends Exception {
  public BadMessage(String message) {
    super(message, null, false, false);
  }
}
