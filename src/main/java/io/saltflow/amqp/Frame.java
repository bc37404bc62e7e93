package io.saltflow.amqp;

import java.nio.ByteBuffer;

/** A frame as it came; the payload is read once. */
record Frame(int type, int channel, ByteBuffer payload) {
  static final int METHOD = 1;
  static final int HEADER = 2;
  static final int BODY = 3;
  static final int HEARTBEAT = 8;
  static final int END = 0xCE;

  /** Bytes of a frame besides its payload. */
  static final int OVERHEAD_BYTES = 8;

  static void method(ByteWriter out, int channel, Method method) {
    int at = begin(out, METHOD, channel);
    method.encode(out);
    end(out, at);
  }

  /** A content's header and body, in frames no longer than the peer takes. */
  static void content(ByteWriter out, int channel, byte[] properties, byte[] body, int frameMax) {
    int at = begin(out, HEADER, channel);
    out.u16(MethodKind.BASIC_CLASS).u16(0).u64(body.length).write(properties);
    end(out, at);
    int most = frameMax - OVERHEAD_BYTES;
    for (int from = 0; from < body.length; from += most) {
      at = begin(out, BODY, channel);
      out.write(body, from, Math.min(most, body.length - from));
      end(out, at);
    }
  }

  static void heartbeat(ByteWriter out) {
    end(out, begin(out, HEARTBEAT, 0));
  }

  private static int begin(ByteWriter out, int type, int channel) {
    out.u8(type).u16(channel).u32(0);
    return out.size() - 4;
  }

  private static void end(ByteWriter out, int at) {
    out.patchLength(at);
    out.u8(END);
  }
}
