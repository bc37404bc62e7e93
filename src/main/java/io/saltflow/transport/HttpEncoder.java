package io.saltflow.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the head and the body of a message into one buffer. */
final class HttpEncoder {
  private HttpEncoder() {}

  static ByteBuffer join(CharSequence head, byte[] body) {
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer out = ByteBuffer.allocate(headBytes.length + body.length);
    return out.put(headBytes).put(body).flip();
  }
}
