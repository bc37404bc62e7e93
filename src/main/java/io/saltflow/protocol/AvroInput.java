package io.saltflow.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.DecoderFactory;

/**
 * Avro's binary form, from bytes that may be anybody's. The library sets memory aside for whatever
 * length is claimed, up to two gigabytes for five bytes (found by fuzzing); here a length is
 * checked against what there is before.
 */
public final class AvroInput {
  /** Something that may fail as reading does. */
  private interface Read<T> {
    T run() throws IOException;
  }

  private final BinaryDecoder in;
  private final int size;

  public AvroInput(byte[] bytes) {
    in = DecoderFactory.get().binaryDecoder(bytes, null);
    size = bytes.length;
  }

  private static <T> T checked(Read<T> read) throws BadMessage {
    try {
      return read.run();
    } catch (IOException | AvroRuntimeException | UnsupportedOperationException e) {
      throw new BadMessage("Avro that can't be read: " + e.getMessage());
    }
  }

  public long number() throws BadMessage {
    return checked(in::readLong);
  }

  public int count() throws BadMessage {
    return checked(in::readInt);
  }

  public boolean flag() throws BadMessage {
    return checked(in::readBoolean);
  }

  /** Which of a union's types comes. */
  public int index() throws BadMessage {
    return checked(in::readIndex);
  }

  public byte[] bytes() throws BadMessage {
    return checked(
        () -> {
          long length = in.readLong();
          if (length < 0 || length > size) {
            throw new EOFException("a length of " + length);
          }
          byte[] out = new byte[(int) length];
          in.readFixed(out);
          return out;
        });
  }

  public String text() throws BadMessage {
    return new String(bytes(), StandardCharsets.UTF_8);
  }

  /** The number of items in an array's first block; 0: there are none. */
  public long firstItems(int most) throws BadMessage {
    return bounded(checked(in::readArrayStart), most);
  }

  /** The number in its next block; 0: that was all. */
  public long nextItems(int most) throws BadMessage {
    return bounded(checked(in::arrayNext), most);
  }

  private static long bounded(long items, int most) throws BadMessage {
    if (items < 0 || items > most) {
      throw new BadMessage("an array of too many items");
    }
    return items;
  }

  /** Whether everything has been read. */
  public boolean atEnd() throws BadMessage {
    return checked(in::isEnd);
  }
}
