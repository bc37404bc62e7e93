package io.saltflow.amqp;

import java.nio.ByteBuffer;

/** A received frame. Its payload can be read once. */
record Frame(int type, int channel, ByteBuffer payload) {
  static final int METHOD = 1;
  static final int HEADER = 2;
  static final int BODY = 3;
  static final int HEARTBEAT = 8;
  static final int END = 0xCE;

  /** Bytes of a frame in addition to its payload. */
  static final int OVERHEAD_BYTES = 8;

  static void method(ByteWriter out, int channel, Method method) {
    int lengthOffset = begin(out, METHOD, channel);
    method.encode(out);
    end(out, lengthOffset);
  }

  /** Writes a content header and body in frames of at most {@code frameMax} bytes. */
  static void content(ByteWriter out, int channel, byte[] properties, byte[] body, int frameMax) {
    int lengthOffset = begin(out, HEADER, channel);
    out.u16(MethodKind.BASIC_CLASS).u16(0).u64(body.length).write(properties);
    end(out, lengthOffset);
    int maxPayload = frameMax - OVERHEAD_BYTES;
    for (int from = 0; from < body.length; from += maxPayload) {
      lengthOffset = begin(out, BODY, channel);
      out.write(body, from, Math.min(maxPayload, body.length - from));
      end(out, lengthOffset);
    }
  }

  static void heartbeat(ByteWriter out) {
    end(out, begin(out, HEARTBEAT, 0));
  }

  private static int begin(ByteWriter out, int type, int channel) {
    out.u8(type).u16(channel).u32(0);
    return out.size() - 4;
  }

  private static void end(ByteWriter out, int lengthOffset) {
    out.patchLength(lengthOffset);
    out.u8(END);
  }
}
