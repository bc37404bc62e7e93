package io.saltflow.amqp;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A method with its arguments, to and from the payload of a method frame. */
public record Method(Kind kind, List<Object> arguments) {

  /** Arguments in the order of the wire: longs, texts, booleans and maps, as the kind says. */
  public static Method of(Kind kind, Object... arguments) {
    if (arguments.length != kind.arguments().size()) {
      throw new IllegalArgumentException(kind + " takes " + kind.arguments());
    }
    return new Method(kind, List.of(arguments));
  }

  public String text(int i) {
    return (String) arguments.get(i);
  }

  public long number(int i) {
    return ((Number) arguments.get(i)).longValue();
  }

  public boolean flag(int i) {
    return (Boolean) arguments.get(i);
  }

  @SuppressWarnings("unchecked")
  public Map<String, Object> table(int i) {
    return (Map<String, Object>) arguments.get(i);
  }

  /** Reads a method; a syntax error when it does not fill its payload exactly. */
  public static Method decode(ByteBuffer in) throws AmqpError {
    try {
      int classId = in.getShort() & 0xffff;
      int methodId = in.getShort() & 0xffff;
      Kind kind = Kind.of(classId, methodId);
      if (kind == null) {
        throw new AmqpError(
            Code.NOT_IMPLEMENTED, "class " + classId + ", method " + methodId + " is not served");
      }
      List<Object> arguments = new ArrayList<>(kind.arguments().size());
      int bits = 0;
      int bitsLeft = 0;
      for (Kind.Type type : kind.arguments()) {
        if (type == Kind.Type.BIT) {
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
        throw new AmqpError(Code.SYNTAX_ERROR, "bytes after the arguments of " + kind);
      }
      return new Method(kind, arguments);
    } catch (BufferUnderflowException e) {
      throw new AmqpError(Code.SYNTAX_ERROR, "a method is cut short");
    }
  }

  private static Object read(Kind.Type type, ByteBuffer in) throws AmqpError {
    return switch (type) {
      case OCTET -> in.get() & 0xffL;
      case SHORT -> in.getShort() & 0xffffL;
      case LONG -> in.getInt() & 0xffffffffL;
      case LONGLONG -> in.getLong();
      case SHORTSTR -> Fields.shortString(in);
      case LONGSTR -> Fields.longString(in);
      case TABLE -> Fields.table(in);
      case BIT -> throw new IllegalArgumentException("bits are packed");
    };
  }

  void encode(Bytes out) {
    out.u16(kind.classId()).u16(kind.methodId());
    int bits = 0;
    int count = 0;
    for (int i = 0; i < arguments.size(); i++) {
      Kind.Type type = kind.arguments().get(i);
      if (type == Kind.Type.BIT) {
        bits |= flag(i) ? 1 << count : 0;
        count++;
        boolean last = i + 1 == arguments.size() || kind.arguments().get(i + 1) != Kind.Type.BIT;
        if (last) {
          out.u8(bits);
          bits = 0;
          count = 0;
        }
        continue;
      }
      switch (type) {
        case OCTET -> out.u8((int) number(i));
        case SHORT -> out.u16((int) number(i));
        case LONG -> out.u32(number(i));
        case LONGLONG -> out.u64(number(i));
        case SHORTSTR -> Fields.shortString(out, text(i));
        case LONGSTR -> Fields.longString(out, text(i));
        default -> Fields.table(out, table(i));
      }
    }
  }
}
