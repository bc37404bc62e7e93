package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.Map;

/** Fuzz target for the decoding of frames, methods and properties from arbitrary bytes. */
public final class FrameFuzzTarget {
  private static final int FRAME_MAX = 4096;

  private FrameFuzzTarget() {}

  /** Runs the target on one input. */
  public static void run(byte[] data) {
    FrameReader reader = new FrameReader(FRAME_MAX);
    try {
      reader.next(ByteBuffer.wrap(Peer.protocolHeader()));
      ByteBuffer in = ByteBuffer.wrap(data);
      for (Frame frame = reader.next(in); frame != null; frame = reader.next(in)) {
        if (frame.type() == Frame.METHOD) {
          checkRoundTrip(Method.decode(frame.payload()));
        } else if (frame.type() == Frame.HEADER) {
          MessageProperties.decode(frame.payload());
        }
      }
    } catch (AmqpException | FrameReader.ProtocolMismatchException exception) {
      // Invalid input must be rejected with one of these exceptions.
    }
  }

  /**
   * Checks that a decoded method encodes to an equal one. Skips strings that are not valid UTF-8,
   * and tables, which the server encodes only in part.
   */
  private static void checkRoundTrip(Method method) throws AmqpException {
    boolean encodable =
        method.arguments().stream()
            .noneMatch(a -> a instanceof Map<?, ?> || a.toString().indexOf('\ufffd') >= 0);
    if (encodable) {
      ByteWriter out = new ByteWriter();
      method.encode(out);
      if (!Method.decode(out.toBuffer()).equals(method)) {
        throw new IllegalStateException(method + " changed when encoded and decoded");
      }
    }
  }
}
