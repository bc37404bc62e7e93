package io.saltflow.amqp;

/** What a peer did against the protocol, or what is refused to it, in the protocol's own words. */
public final class AmqpError extends Exception {
  private static final int MOST_TEXT = 200;

  private final Code code;

  public AmqpError(Code code, String why) {
    super(code + " - " + why, null, false, false);
    this.code = code;
  }

  public Code code() {
    return code;
  }

  /** The reply text, short enough for a short string. */
  String text() {
    String text = getMessage();
    return text.length() <= MOST_TEXT ? text : text.substring(0, MOST_TEXT);
  }
}
