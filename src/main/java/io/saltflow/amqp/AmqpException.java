package io.saltflow.amqp;

/**
 * A protocol error of the peer or a rejected request, with the reply code and text for the peer.
 */
public final class AmqpException extends Exception {
  private static final int MAX_TEXT_LENGTH = 200;

  private final ReplyCode code;

  /** Creates an exception with a reply code and a reason for the peer. */
  public AmqpException(ReplyCode code, String reason) {
    super(code + " - " + reason, null, false, false);
    this.code = code;
  }

  /** Returns the protocol's reply code. */
  public ReplyCode code() {
    return code;
  }

  /** Returns the reply text, truncated to fit into a short string. */
  String replyText() {
    String text = getMessage();
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
  }
}
