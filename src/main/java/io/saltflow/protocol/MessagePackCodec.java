package io.saltflow.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes MessagePack bodies of maps with string keys, lists, strings, numbers,
 * booleans and null.
 */
public final class MessagePackCodec {
  private static final int MAX_DEPTH = 16;

  /**
   * Smaller buffers than the library's defaults of 8 and 16 KiB, because both are allocated for
   * each message. Strings that are longer than the decoder's buffer are read in pieces.
   */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(1024);

  private static final MessagePack.UnpackerConfig UNPACKER =
      new MessagePack.UnpackerConfig().withStringDecoderBufferSize(128);

  private MessagePackCodec() {}

  /** Encodes a body. */
  public static byte[] encode(MessageBody body) {
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      write(packer, body.fields());
      return packer.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("encoding in memory failed", exception);
    }
  }

  private static void write(MessageBufferPacker packer, Object value) throws IOException {
    if (value == null) {
      packer.packNil();
    } else if (value instanceof String text) {
      packer.packString(text);
    } else if (value instanceof Boolean flag) {
      packer.packBoolean(flag);
    } else if (value instanceof Double number) {
      packer.packDouble(number);
    } else if (value instanceof Number integer) {
      packer.packLong(integer.longValue());
    } else if (value instanceof MessageBody messageBody) {
      write(packer, messageBody.fields());
    } else if (value instanceof Map<?, ?> map) {
      packer.packMapHeader(map.size());
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        packer.packString((String) entry.getKey());
        write(packer, entry.getValue());
      }
    } else if (value instanceof List<?> list) {
      packer.packArrayHeader(list.size());
      for (Object item : list) {
        write(packer, item);
      }
    } else {
      throw new IllegalArgumentException("no wire form for " + value.getClass());
    }
  }

  /**
   * Decodes a body.
   *
   * @throws InvalidMessageException if the body has trailing bytes, an unknown type or deep nesting
   */
  public static MessageBody decode(byte[] bytes) throws InvalidMessageException {
    try (MessageUnpacker unpacker = UNPACKER.newUnpacker(bytes)) {
      Object value = read(unpacker, bytes.length, 0);
      if (unpacker.hasNext()) {
        throw new InvalidMessageException("the body has bytes after its map");
      }
      return MessageBody.asMap(value, "body");
    } catch (IOException | MessagePackException exception) {
      throw new InvalidMessageException("the body is not MessagePack");
    }
  }

  private static Object read(MessageUnpacker in, int limit, int depth)
      throws IOException, InvalidMessageException {
    if (depth > MAX_DEPTH) {
      throw new InvalidMessageException("the body is nested too deeply");
    }
    switch (in.getNextFormat().getValueType()) {
      case NIL:
        in.unpackNil();
        return null;
      case BOOLEAN:
        return in.unpackBoolean();
      case INTEGER:
        return readInteger(in);
      case FLOAT:
        return in.unpackDouble();
      case STRING:
        return in.unpackString();
      case ARRAY:
        {
          int size = checked(in.unpackArrayHeader(), limit);
          List<Object> list = new ArrayList<>(Math.min(size, 64));
          for (int i = 0; i < size; i++) {
            list.add(read(in, limit, depth + 1));
          }
          return list;
        }
      case MAP:
        {
          int size = checked(in.unpackMapHeader(), limit);
          Map<String, Object> map = new LinkedHashMap<>();
          for (int i = 0; i < size; i++) {
            if (!in.getNextFormat().getValueType().isStringType()) {
              throw new InvalidMessageException("a map key is not text");
            }
            map.put(in.unpackString(), read(in, limit, depth + 1));
          }
          return map;
        }
      default:
        throw new InvalidMessageException("the body holds a type that has no meaning here");
    }
  }

  /** Reads an integer below 2^64. Values from 2^63 on are returned as the same 64 bits. */
  private static Object readInteger(MessageUnpacker in) throws IOException {
    return in.getNextFormat() == MessageFormat.UINT64
        ? in.unpackBigInteger().longValue()
        : in.unpackLong();
  }

  /** Rejects a declared item count that exceeds the size of the message. */
  private static int checked(int count, int limit) throws InvalidMessageException {
    if (count < 0 || count > limit) {
      throw new InvalidMessageException("the body is truncated");
    }
    return count;
  }
}
