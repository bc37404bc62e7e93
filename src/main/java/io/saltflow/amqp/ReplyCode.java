package io.saltflow.amqp;

/** The reply codes of AMQP 0-9-1 (reference, section 1.2) that this server uses. */
public enum ReplyCode {
  REPLY_SUCCESS(200, false),
  CONTENT_TOO_LARGE(311, false),
  NO_ROUTE(312, false),
  CONNECTION_FORCED(320, true),
  INVALID_PATH(402, true),
  ACCESS_REFUSED(403, false),
  NOT_FOUND(404, false),
  RESOURCE_LOCKED(405, false),
  PRECONDITION_FAILED(406, false),
  FRAME_ERROR(501, true),
  SYNTAX_ERROR(502, true),
  COMMAND_INVALID(503, true),
  CHANNEL_ERROR(504, true),
  UNEXPECTED_FRAME(505, true),
  RESOURCE_ERROR(506, true),
  NOT_ALLOWED(530, true),
  NOT_IMPLEMENTED(540, true),
  INTERNAL_ERROR(541, true);

  private final int number;
  private final boolean hard;

  ReplyCode(int number, boolean hard) {
    this.number = number;
    this.hard = hard;
  }

  /** Returns the code's number on the wire. */
  public int number() {
    return number;
  }

  /** Returns whether the error closes the connection instead of one channel. */
  public boolean hard() {
    return hard;
  }
}
