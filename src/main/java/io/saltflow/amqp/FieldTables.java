package io.saltflow.amqp;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Codec of strings and field tables (AMQP 0-9-1, section 4.2.5), with the field types that brokers
 * use in practice. A length is checked against the remaining bytes before memory is allocated for
 * it.
 */
final class FieldTables {
  private static final int MAX_DEPTH = 8;
  private static final int MAX_SHORT_STRING = 255;

  private FieldTables() {}

  static String shortString(ByteBuffer in) throws AmqpException {
    return text(in, in.get() & 0xff);
  }

  /**
   * Returns a short string that identifies something. Text that is not UTF-8 is rejected, because
   * different ids would be decoded to the same text; so is NUL, which AMQP forbids in short strings
   * and with which the broker's own ids begin.
   */
  static String identifier(ByteBuffer in, String name) throws AmqpException {
    int length = in.get() & 0xff;
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    ByteBuffer bytes = in.slice(in.position(), length);
    in.position(in.position() + length);
    try {
      return requireIdentifier(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString(), name);
    } catch (CharacterCodingException exception) {
      throw new AmqpException(ReplyCode.PRECONDITION_FAILED, name + " is not UTF-8");
    }
  }

  /** Returns the text, or throws PRECONDITION_FAILED if it contains NUL. */
  static String requireIdentifier(String text, String name) throws AmqpException {
    if (text.indexOf('\0') >= 0) {
      throw new AmqpException(ReplyCode.PRECONDITION_FAILED, name + " contains NUL");
    }
    return text;
  }

  static String longString(ByteBuffer in) throws AmqpException {
    return text(in, length(in));
  }

  private static int length(ByteBuffer in) throws AmqpException {
    long length = in.getInt() & 0xffffffffL;
    if (length > in.remaining()) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "a length is more than what there is");
    }
    return (int) length;
  }

  private static String text(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  static Map<String, Object> table(ByteBuffer in) throws AmqpException {
    return table(in, 0);
  }

  private static Map<String, Object> table(ByteBuffer in, int depth) throws AmqpException {
    if (depth > MAX_DEPTH) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "a table is nested too deeply");
    }
    ByteBuffer inside = slice(in);
    Map<String, Object> out = new LinkedHashMap<>();
    while (inside.hasRemaining()) {
      out.put(shortString(inside), value(inside, depth));
    }
    return out;
  }

  private static ByteBuffer slice(ByteBuffer in) throws AmqpException {
    int length = length(in);
    ByteBuffer inside = in.slice(in.position(), length);
    in.position(in.position() + length);
    return inside;
  }

  private static Object value(ByteBuffer in, int depth) throws AmqpException {
    int type = in.get() & 0xff;
    return switch (type) {
      case 't' -> in.get() != 0;
      case 'b' -> (long) in.get();
      case 'B' -> in.get() & 0xffL;
      case 's' -> (long) in.getShort();
      case 'u' -> in.getShort() & 0xffffL;
      case 'I' -> (long) in.getInt();
      case 'i' -> in.getInt() & 0xffffffffL;
      case 'l', 'L', 'T' -> in.getLong();
      case 'f' -> (double) in.getFloat();
      case 'd' -> in.getDouble();
      case 'D' -> {
        int scale = in.get() & 0xff;
        yield in.getInt() / Math.pow(10, scale);
      }
      case 'S', 'x' -> longString(in);
      case 'A' -> list(in, depth);
      case 'F' -> table(in, depth + 1);
      case 'V' -> "";
      default -> throw new AmqpException(ReplyCode.SYNTAX_ERROR, "unknown field type " + type);
    };
  }

  private static List<Object> list(ByteBuffer in, int depth) throws AmqpException {
    if (depth > MAX_DEPTH) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "a list is nested too deeply");
    }
    ByteBuffer inside = slice(in);
    List<Object> out = new ArrayList<>();
    while (inside.hasRemaining()) {
      out.add(value(inside, depth + 1));
    }
    return out;
  }

  static void shortString(ByteWriter out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > MAX_SHORT_STRING) {
      throw new IllegalArgumentException("short string is longer than 255 bytes");
    }
    out.u8(bytes.length).write(bytes);
  }

  static void longString(ByteWriter out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.u32(bytes.length).write(bytes);
  }

  /**
   * Writes a table of strings, booleans, longs and nested tables, the types that the server sends.
   */
  static void table(ByteWriter out, Map<String, Object> table) {
    int lengthOffset = out.size();
    out.u32(0);
    for (Map.Entry<String, Object> entry : table.entrySet()) {
      shortString(out, entry.getKey());
      value(out, entry.getValue());
    }
    out.patchLength(lengthOffset);
  }

  @SuppressWarnings("unchecked")
  private static void value(ByteWriter out, Object value) {
    if (value instanceof Boolean bool) {
      out.u8('t').u8(bool ? 1 : 0);
    } else if (value instanceof Long number) {
      out.u8('l').u64(number);
    } else if (value instanceof Map<?, ?> map) {
      out.u8('F');
      table(out, (Map<String, Object>) map);
    } else {
      out.u8('S');
      longString(out, (String) value);
    }
  }
}
