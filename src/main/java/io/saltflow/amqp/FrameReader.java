package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Reads frames from fragmented input. A frame is never longer than the negotiated maximum, and
 * memory is allocated for received bytes only, not for the announced length.
 */
final class FrameReader {
  private static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};
  private static final int FRAME_HEADER_BYTES = 7;

  private final byte[] header = new byte[FRAME_HEADER_BYTES];
  private int headerSize;
  private byte[] payload = new byte[0];
  private int payloadSize;
  private int payloadLength = -1;
  private boolean protocolHeaderRead;
  private int frameMax;

  FrameReader(int frameMax) {
    this.frameMax = frameMax;
  }

  void frameMax(int agreed) {
    frameMax = agreed;
  }

  /** Thrown if the first bytes are not the protocol header of AMQP 0-9-1. */
  static final class ProtocolMismatchException extends Exception {
    ProtocolMismatchException() {
      super("protocol header is not that of AMQP 0-9-1", null, false, false);
    }
  }

  boolean protocolHeaderRead() {
    return protocolHeaderRead;
  }

  /** Returns the header of the supported protocol version, which answers any other header. */
  static ByteBuffer protocolHeader() {
    return ByteBuffer.wrap(PROTOCOL_HEADER.clone());
  }

  /** Returns the next complete frame, or {@code null} if more bytes are needed. */
  Frame next(ByteBuffer in) throws AmqpException, ProtocolMismatchException {
    if (!protocolHeaderRead && !readProtocolHeader(in)) {
      return null;
    }
    if (payloadLength < 0 && !header(in)) {
      return null;
    }
    if (!payload(in)) {
      return null;
    }
    if ((in.get() & 0xff) != Frame.END) {
      throw new AmqpException(ReplyCode.FRAME_ERROR, "a frame does not end where it should");
    }
    int channel = ((header[1] & 0xff) << 8) | (header[2] & 0xff);
    Frame frame = new Frame(header[0] & 0xff, channel, ByteBuffer.wrap(payload, 0, payloadSize));
    payload = new byte[0];
    headerSize = 0;
    payloadLength = -1;
    return frame;
  }

  private boolean readProtocolHeader(ByteBuffer in) throws ProtocolMismatchException {
    while (in.hasRemaining() && headerSize < PROTOCOL_HEADER.length) {
      if (in.get() != PROTOCOL_HEADER[headerSize++]) {
        throw new ProtocolMismatchException();
      }
    }
    protocolHeaderRead = headerSize == PROTOCOL_HEADER.length;
    headerSize = protocolHeaderRead ? 0 : headerSize;
    return protocolHeaderRead;
  }

  private boolean header(ByteBuffer in) throws AmqpException {
    while (in.hasRemaining() && headerSize < FRAME_HEADER_BYTES) {
      header[headerSize++] = in.get();
    }
    if (headerSize < FRAME_HEADER_BYTES) {
      return false;
    }
    long length = ByteBuffer.wrap(header, 3, 4).getInt() & 0xffffffffL;
    if (length > frameMax - Frame.OVERHEAD_BYTES) {
      throw new AmqpException(ReplyCode.FRAME_ERROR, "a frame is longer than agreed");
    }
    payloadLength = (int) length;
    payloadSize = 0;
    return true;
  }

  private boolean payload(ByteBuffer in) {
    int count = Math.min(payloadLength - payloadSize, in.remaining());
    if (payloadSize + count > payload.length) {
      int newLength = Math.max(payloadSize + count, payload.length * 2);
      payload = Arrays.copyOf(payload, Math.min(payloadLength, newLength));
    }
    in.get(payload, payloadSize, count);
    payloadSize += count;
    return payloadSize == payloadLength && in.hasRemaining();
  }
}
