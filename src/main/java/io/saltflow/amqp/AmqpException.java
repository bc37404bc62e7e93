package io.saltflow.amqp;

/** What a peer did against the protocol, or what is refused to it, in the protocol's own words. */
public final class AmqpException extends Exception {
  private static final int MAX_TEXT_LENGTH = 200;

  private final ReplyCode code;

  /** Creates an error with the protocol's reply code and a reason for the peer. */
  public AmqpException(ReplyCode code, String why) {
    super(code + " - " + why, null, false, false);
    this.code = code;
  }

  /** The protocol's reply code. */
  public ReplyCode code() {
    return code;
  }

  /** The reply text, short enough for a short string. */
  String replyText() {
    String text = getMessage();
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
  }
}
