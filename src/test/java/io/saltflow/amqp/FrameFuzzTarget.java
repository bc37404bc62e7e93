package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.Map;

/** Frames, methods and properties of whatever bytes come after a greeting. */
public final class FrameFuzzTarget {
  private static final int FRAME_MAX = 4096;

  private FrameFuzzTarget() {}

  /** Runs the target on one input. */
  public static void run(byte[] data) {
    FrameReader reader = new FrameReader(FRAME_MAX);
    try {
      reader.next(ByteBuffer.wrap(Peer.protocolHeader()));
      ByteBuffer in = ByteBuffer.wrap(data);
      for (Frame f = reader.next(in); f != null; f = reader.next(in)) {
        if (f.type() == Frame.METHOD) {
          checkRoundTrip(Method.decode(f.payload()));
        } else if (f.type() == Frame.HEADER) {
          MessageProperties.decode(f.payload());
        }
      }
    } catch (AmqpException | FrameReader.ProtocolMismatchException exception) {
      // Refused, as it should be.
    }
  }

  /** What was read can be written, unless a text was no text or a table the server never sends. */
  private static void checkRoundTrip(Method method) throws AmqpException {
    boolean plain =
        method.arguments().stream()
            .noneMatch(a -> a instanceof Map<?, ?> || a.toString().indexOf('\ufffd') >= 0);
    if (plain) {
      ByteWriter out = new ByteWriter();
      method.encode(out);
      if (!Method.decode(out.toBuffer()).equals(method)) {
        throw new IllegalStateException(method + " is not read as it was written");
      }
    }
  }
}
