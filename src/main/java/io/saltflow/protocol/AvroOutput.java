package io.saltflow.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;

/** Writes Avro's binary encoding to memory. */
public final class AvroOutput {
  /** Content that can be written to an encoder. */
  public interface Content {
    /** Writes the content to an encoder. */
    void writeTo(BinaryEncoder out) throws IOException;
  }

  private AvroOutput() {}

  /** Encodes the content. */
  public static byte[] encode(Content content) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    write(bytes, content);
    return bytes.toByteArray();
  }

  /** Appends the encoded content to a buffer. */
  public static void write(ByteArrayOutputStream bytes, Content content) {
    try {
      BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
      content.writeTo(out);
      out.flush();
    } catch (IOException exception) {
      throw new IllegalStateException("encoding in memory failed", exception);
    }
  }
}
