package io.saltflow.amqp;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A method with its arguments, as in the payload of a method frame. */
public record Method(MethodKind kind, List<Object> arguments) {

  /**
   * Returns a method with arguments in wire order: longs, strings, booleans and maps, as declared
   * by its kind.
   */
  public static Method of(MethodKind kind, Object... arguments) {
    if (arguments.length != kind.arguments().size()) {
      throw new IllegalArgumentException(kind + " requires the arguments " + kind.arguments());
    }
    return new Method(kind, List.of(arguments));
  }

  /** Returns the string argument at an index. */
  public String text(int index) {
    return (String) arguments.get(index);
  }

  /** Returns the integer argument at an index. */
  public long number(int index) {
    return ((Number) arguments.get(index)).longValue();
  }

  /** Returns the bit argument at an index. */
  public boolean flag(int index) {
    return (Boolean) arguments.get(index);
  }

  /** Returns the field table argument at an index. */
  @SuppressWarnings("unchecked")
  public Map<String, Object> table(int index) {
    return (Map<String, Object>) arguments.get(index);
  }

  /**
   * Returns the decoded method of a payload.
   *
   * @throws AmqpException if the method is unknown or does not fill the payload exactly
   */
  public static Method decode(ByteBuffer in) throws AmqpException {
    try {
      int classId = in.getShort() & 0xffff;
      int methodId = in.getShort() & 0xffff;
      MethodKind kind = MethodKind.of(classId, methodId);
      if (kind == null) {
        throw new AmqpException(
            ReplyCode.NOT_IMPLEMENTED,
            "class " + classId + ", method " + methodId + " is not served");
      }
      List<Object> arguments = new ArrayList<>(kind.arguments().size());
      int bits = 0;
      int bitsLeft = 0;
      for (MethodKind.Type type : kind.arguments()) {
        if (type == MethodKind.Type.BIT) {
          if (bitsLeft == 0) {
            bits = in.get();
            bitsLeft = 8;
          }
          arguments.add((bits & 1) != 0);
          bits >>= 1;
          bitsLeft--;
        } else {
          bitsLeft = 0;
          arguments.add(read(type, in));
        }
      }
      if (in.hasRemaining()) {
        throw new AmqpException(ReplyCode.SYNTAX_ERROR, "bytes after the arguments of " + kind);
      }
      return new Method(kind, arguments);
    } catch (BufferUnderflowException exception) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "a method is cut short");
    }
  }

  private static Object read(MethodKind.Type type, ByteBuffer in) throws AmqpException {
    return switch (type) {
      case OCTET -> in.get() & 0xffL;
      case SHORT -> in.getShort() & 0xffffL;
      case LONG -> in.getInt() & 0xffffffffL;
      case LONGLONG -> in.getLong();
      case SHORTSTR -> FieldTables.shortString(in);
      case LONGSTR -> FieldTables.longString(in);
      case TABLE -> FieldTables.table(in);
      case BIT -> throw new IllegalArgumentException("bits are decoded in packed form");
    };
  }

  void encode(ByteWriter out) {
    out.u16(kind.classId()).u16(kind.methodId());
    int bits = 0;
    int count = 0;
    for (int index = 0; index < arguments.size(); index++) {
      MethodKind.Type type = kind.arguments().get(index);
      if (type == MethodKind.Type.BIT) {
        bits |= flag(index) ? 1 << count : 0;
        count++;
        boolean last =
            index + 1 == arguments.size() || kind.arguments().get(index + 1) != MethodKind.Type.BIT;
        if (last) {
          out.u8(bits);
          bits = 0;
          count = 0;
        }
        continue;
      }
      switch (type) {
        case OCTET -> out.u8((int) number(index));
        case SHORT -> out.u16((int) number(index));
        case LONG -> out.u32(number(index));
        case LONGLONG -> out.u64(number(index));
        case SHORTSTR -> FieldTables.shortString(out, text(index));
        case LONGSTR -> FieldTables.longString(out, text(index));
        default -> FieldTables.table(out, table(index));
      }
    }
  }
}
