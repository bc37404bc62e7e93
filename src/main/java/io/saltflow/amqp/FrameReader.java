package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Frames from bytes as they come, however they are cut. A frame is never longer than what was
 * agreed, and memory is set aside for what has come, not for what was claimed.
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

  /** Thrown when the first bytes are not those of AMQP 0-9-1. */
  static final class ProtocolMismatchException extends Exception {
    ProtocolMismatchException() {
      super("another protocol", null, false, false);
    }
  }

  boolean protocolHeaderRead() {
    return protocolHeaderRead;
  }

  /** The answer to any other greeting: the version that is spoken here. */
  static ByteBuffer protocolHeader() {
    return ByteBuffer.wrap(PROTOCOL_HEADER.clone());
  }

  /** The next whole frame, or null when more bytes are needed. */
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
      int grown = Math.max(payloadSize + count, payload.length * 2);
      payload = Arrays.copyOf(payload, Math.min(payloadLength, grown));
    }
    in.get(payload, payloadSize, count);
    payloadSize += count;
    return payloadSize == payloadLength && in.hasRemaining();
  }
}
