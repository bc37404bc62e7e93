package io.saltflow.kv;

import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;

/**
 * The reply to a request.
 *
 * @param status the HTTP status, or 0 for {@link #NONE}
 * @param body the body, or {@code null}
 */
public record Reply(int status, MessageBody body) {
  /** The absence of a reply, as the request may have been executed or may still be. */
  public static final Reply NONE = new Reply(0, null);

  /** Returns a reply without a body. */
  public static Reply of(int status) {
    return new Reply(status, null);
  }

  /** Returns a reply with status 400 and the reason. */
  public static Reply malformed(String reason) {
    return new Reply(400, MessageBody.of().with(Wire.ERROR, reason));
  }
}
