package io.saltflow.amqp;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * A message's properties. The encoded bytes are forwarded unchanged. {@code messageId} and {@code
 * expiration} are decoded from them, and are null if absent. An empty message id counts as absent.
 */
public record MessageProperties(byte[] bytes, String messageId, String expiration) {
  private static final int CONTENT_TYPE = 15;
  private static final int HEADERS = 13;
  private static final int DELIVERY_MODE = 12;
  private static final int PRIORITY = 11;
  private static final int CORRELATION_ID = 10;
  private static final int EXPIRATION = 8;
  private static final int MESSAGE_ID = 7;
  private static final int TIMESTAMP = 6;
  private static final int LOWEST_PROPERTY = 2;
  private static final int PERSISTENT = 2;

  /** Returns the properties decoded from the remaining bytes of a content header. */
  static MessageProperties decode(ByteBuffer in) throws AmqpException {
    byte[] bytes = new byte[in.remaining()];
    in.get(in.position(), bytes);
    Map<Integer, String> texts = new HashMap<>();
    try {
      int flags = in.getShort() & 0xffff;
      if ((flags & 1) != 0) {
        throw new AmqpException(ReplyCode.SYNTAX_ERROR, "unknown properties");
      }
      for (int bit = CONTENT_TYPE; bit >= LOWEST_PROPERTY; bit--) {
        if ((flags & 1 << bit) == 0) {
          continue;
        }
        switch (bit) {
          case HEADERS -> FieldTables.table(in);
          case DELIVERY_MODE, PRIORITY -> in.get();
          case TIMESTAMP -> in.getLong();
          case MESSAGE_ID -> texts.put(bit, FieldTables.identifier(in, "message-id"));
          default -> texts.put(bit, FieldTables.shortString(in));
        }
      }
    } catch (BufferUnderflowException exception) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "properties are cut short");
    }
    if (in.hasRemaining()) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "bytes after the properties");
    }
    String messageId = texts.get(MESSAGE_ID);
    return new MessageProperties(
        bytes, messageId == null || messageId.isEmpty() ? null : messageId, texts.get(EXPIRATION));
  }

  /**
   * Returns the encoded properties of a persistent JSON result, whose message and correlation ids
   * are the id of the completed message.
   */
  public static byte[] ofResult(String id) {
    ByteWriter out = new ByteWriter();
    out.u16(1 << CONTENT_TYPE | 1 << DELIVERY_MODE | 1 << CORRELATION_ID | 1 << MESSAGE_ID);
    FieldTables.shortString(out, "application/json");
    out.u8(PERSISTENT);
    FieldTables.shortString(out, id);
    FieldTables.shortString(out, id);
    return out.toByteArray();
  }
}
