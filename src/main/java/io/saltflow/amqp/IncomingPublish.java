package io.saltflow.amqp;

import java.nio.ByteBuffer;

/** A publish whose content header and body are still arriving. */
final class IncomingPublish {
  private static final int HEADER_BYTES = 14;

  private final String exchange;
  private final String routingKey;
  private final boolean mandatory;
  private MessageProperties properties;
  private byte[] body;
  private int received;

  IncomingPublish(String exchange, String routingKey, boolean mandatory) {
    this.exchange = exchange;
    this.routingKey = routingKey;
    this.mandatory = mandatory;
  }

  String exchange() {
    return exchange;
  }

  String routingKey() {
    return routingKey;
  }

  boolean mandatory() {
    return mandatory;
  }

  MessageProperties properties() {
    return properties;
  }

  byte[] body() {
    return body;
  }

  /** Returns whether the content header has arrived. */
  boolean hasHeader() {
    return properties != null;
  }

  /** Returns whether the whole content has arrived. */
  boolean complete() {
    return received == body.length;
  }

  /**
   * Reads the content header.
   *
   * @param maxBodyBytes the maximum size of a body
   * @throws AmqpException CONTENT_TOO_LARGE ends only this publish; other codes are framing errors
   */
  void readHeader(ByteBuffer in, int maxBodyBytes) throws AmqpException {
    if (in.remaining() < HEADER_BYTES) {
      throw new AmqpException(ReplyCode.SYNTAX_ERROR, "a content header is cut short");
    }
    int classId = in.getShort() & 0xffff;
    in.getShort();
    long size = in.getLong();
    if (classId != MethodKind.BASIC_CLASS) {
      throw new AmqpException(ReplyCode.FRAME_ERROR, "a content header of class " + classId);
    }
    properties = MessageProperties.decode(in);
    if (size < 0 || size > maxBodyBytes) {
      throw new AmqpException(ReplyCode.CONTENT_TOO_LARGE, "more than " + maxBodyBytes + " bytes");
    }
    body = new byte[(int) size];
  }

  /** Reads one frame of the body. */
  void readBody(ByteBuffer in) throws AmqpException {
    int count = in.remaining();
    if (count > body.length - received) {
      throw new AmqpException(ReplyCode.FRAME_ERROR, "more content than was announced");
    }
    in.get(body, received, count);
    received += count;
  }
}
