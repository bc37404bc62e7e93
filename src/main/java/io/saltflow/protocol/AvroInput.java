package io.saltflow.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.DecoderFactory;

/**
 * Reads Avro's binary encoding from untrusted bytes. The Avro library allocates any declared
 * length, up to two gigabytes for a message of five bytes; this class first checks the length
 * against the size of the message.
 */
public final class AvroInput {

  private interface Read<T> {
    T run() throws IOException;
  }

  private final BinaryDecoder decoder;
  private final int size;

  /** Reads from the start of a message. */
  public AvroInput(byte[] bytes) {
    decoder = DecoderFactory.get().binaryDecoder(bytes, null);
    size = bytes.length;
  }

  private static <T> T checked(Read<T> read) throws InvalidMessageException {
    try {
      return read.run();
    } catch (IOException | AvroRuntimeException | UnsupportedOperationException exception) {
      throw new InvalidMessageException("malformed Avro data:  " + exception.getMessage());
    }
  }

  /** Reads a long. */
  public long readLong() throws InvalidMessageException {
    return checked(decoder::readLong);
  }

  /** Reads an int. */
  public int readInt() throws InvalidMessageException {
    return checked(decoder::readInt);
  }

  /** Reads a boolean. */
  public boolean readBoolean() throws InvalidMessageException {
    return checked(decoder::readBoolean);
  }

  /** Reads the branch index of a union. */
  public int readUnionIndex() throws InvalidMessageException {
    return checked(decoder::readIndex);
  }

  /** Reads a byte string. Its length is checked against the message before memory is allocated. */
  public byte[] readBytes() throws InvalidMessageException {
    return checked(
        () -> {
          long length = decoder.readLong();
          if (length < 0 || length > size) {
            throw new EOFException("invalid length " + length);
          }
          byte[] out = new byte[(int) length];
          decoder.readFixed(out);
          return out;
        });
  }

  /** Reads a UTF-8 string. */
  public String readString() throws InvalidMessageException {
    return new String(readBytes(), StandardCharsets.UTF_8);
  }

  /** Returns the number of items in the first block of an array, or 0 if the array is empty. */
  public long readArrayStart(int maxItems) throws InvalidMessageException {
    return bounded(checked(decoder::readArrayStart), maxItems);
  }

  /** Returns the number of items in the next block of an array, or 0 at its end. */
  public long readArrayNext(int maxItems) throws InvalidMessageException {
    return bounded(checked(decoder::arrayNext), maxItems);
  }

  private static long bounded(long items, int maxItems) throws InvalidMessageException {
    if (items < 0 || items > maxItems) {
      throw new InvalidMessageException("array has too many items");
    }
    return items;
  }

  /** Returns whether all bytes have been read. */
  public boolean atEnd() throws InvalidMessageException {
    return checked(decoder::isEnd);
  }
}
