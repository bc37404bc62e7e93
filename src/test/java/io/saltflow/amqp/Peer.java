package io.saltflow.amqp;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An in-memory client and broker of a session. Both add a line for each frame or call that they
 * receive.
 */
final class Peer implements AmqpSession.Out, Authenticator, BrokerSession {
  static final AmqpSession.Limits LIMITS =
      new AmqpSession.Limits(10, 8192, TimeSpan.seconds(20), 10_000);
  private static final byte[] NO_PROPERTIES = {0, 0};

  final List<String> lines = new ArrayList<>();
  final AmqpSession session;
  MonotonicTime now = new MonotonicTime(0);
  private final FrameReader reader = new FrameReader(1 << 20);
  private boolean headerRead;
  private int deliveries;

  /** The channel of the last call to the broker. */
  long calledOn = 1;

  /** The message id of the last publish. */
  String lastMessageId;

  Peer() {
    session = new AmqpSession(LIMITS, this, this, now);
  }

  // ---- Frames from the client

  static byte[] protocolHeader() {
    return new byte[] {'A', 'M', 'Q', 'P', 0, 0, 9, 1};
  }

  static byte[] method(int channel, MethodKind kind, Object... arguments) {
    ByteWriter out = new ByteWriter();
    Frame.method(out, channel, Method.of(kind, arguments));
    return out.toByteArray();
  }

  static byte[] content(int channel, String body) {
    return content(channel, NO_PROPERTIES, body);
  }

  private static byte[] content(int channel, byte[] properties, String body) {
    ByteWriter out = new ByteWriter();
    Frame.content(out, channel, properties, body.getBytes(StandardCharsets.UTF_8), 4096);
    return out.toByteArray();
  }

  static byte[] publish(int channel, String queue, String body) {
    return join(
        method(channel, MethodKind.BASIC_PUBLISH, 0L, "", queue, false, false),
        content(channel, body));
  }

  /** Publishes a message whose only property is the message id of these bytes. */
  static byte[] publishWithId(int channel, String queue, byte[] messageId) {
    ByteWriter properties = new ByteWriter();
    properties.u16(1 << 7);
    properties.u8(messageId.length);
    properties.write(messageId);
    return join(
        method(channel, MethodKind.BASIC_PUBLISH, 0L, "", queue, false, false),
        content(channel, properties.toByteArray(), "a body"));
  }

  static byte[] join(byte[]... parts) {
    ByteWriter out = new ByteWriter();
    for (byte[] part : parts) {
      out.write(part);
    }
    return out.toByteArray();
  }

  static byte[] handshake() {
    Map<String, Object> clientProperties =
        Map.of("capabilities", Map.of("consumer_cancel_notify", true, "connection.blocked", true));
    return join(
        protocolHeader(),
        method(0, MethodKind.CONNECTION_START_OK, clientProperties, "PLAIN", "\0u\0p", "en_US"),
        method(0, MethodKind.CONNECTION_TUNE_OK, 10L, 8192L, 20L),
        method(0, MethodKind.CONNECTION_OPEN, "/", "", false),
        method(1, MethodKind.CHANNEL_OPEN, ""));
  }

  void feed(byte[]... parts) {
    for (byte[] part : parts) {
      session.feed(ByteBuffer.wrap(part), now);
    }
  }

  /** Feeds the bytes in pieces of the given size. */
  void feedInPieces(byte[] bytes, int size) {
    for (int from = 0; from < bytes.length; from += size) {
      int length = Math.min(size, bytes.length - from);
      session.feed(ByteBuffer.wrap(bytes, from, length), now);
    }
  }

  Peer open() {
    feed(handshake());
    lines.clear();
    return this;
  }

  // ---- Frames to the client

  @Override
  public void send(ByteBuffer bytes) {
    try {
      if (!headerRead) {
        headerRead = true;
        reader.next(ByteBuffer.wrap(protocolHeader()));
      }
      if (bytes.remaining() == 8 && bytes.get(bytes.position()) == 'A') {
        lines.add("<- another greeting");
        return;
      }
      for (Frame frame = reader.next(bytes); frame != null; frame = reader.next(bytes)) {
        lines.add("<- " + frame.channel() + " " + describe(frame));
      }
    } catch (AmqpException | FrameReader.ProtocolMismatchException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static String describe(Frame frame) throws AmqpException {
    return switch (frame.type()) {
      case Frame.METHOD -> {
        Method method = Method.decode(frame.payload());
        List<Object> shown = new ArrayList<>();
        method
            .arguments()
            .forEach(a -> shown.add(a instanceof Map<?, ?> t ? new TreeMap<>(t).keySet() : a));
        yield method.kind() + " " + shown;
      }
      case Frame.HEADER -> "header";
      case Frame.BODY -> "body of " + frame.payload().remaining();
      default -> "heartbeat";
    };
  }

  @Override
  public void close() {
    lines.add("<- closed");
  }

  // ---- Calls to the broker

  private void recordCall(String call) {
    lines.add("   " + call);
  }

  @Override
  public String login(String mechanism, String response) throws AmqpException {
    if (!response.equals("\0u\0p")) {
      throw new AmqpException(ReplyCode.ACCESS_REFUSED, "login was refused");
    }
    return "u";
  }

  @Override
  public BrokerSession open(String user, String vhost, AmqpSession opened) {
    return this;
  }

  @Override
  public Status status(String queue) {
    return queue.startsWith("q") ? new Status(3, 1) : null;
  }

  @Override
  public void publish(long channel, long number, String queue, Content content) {
    calledOn = channel;
    recordCall("publish " + number + " to " + queue + ": " + content.body().length + " bytes");
    lastMessageId = content.properties().messageId();
  }

  @Override
  public void consume(long channel, String tag, String queue, boolean noAck) {
    recordCall("consume " + queue + " as " + tag);
  }

  @Override
  public void cancel(long channel, String tag) {
    recordCall("cancel " + tag);
  }

  @Override
  public void get(long channel, String queue, boolean noAck) {
    recordCall("get from " + queue);
  }

  @Override
  public void prefetch(long channel, int count, boolean wholeChannel) {
    recordCall("prefetch " + count + (wholeChannel ? " for the channel" : ""));
  }

  @Override
  public void settle(long channel, Object handle, Settlement settlement) {
    recordCall("settle " + handle + " " + settlement);
  }

  @Override
  public void channelClosed(long channel) {
    recordCall("channel " + channel + " ends");
  }

  @Override
  public void connectionClosed() {
    recordCall("connection ends");
  }

  boolean deliver(String tag) {
    String handle = "delivery-" + ++deliveries;
    boolean sent =
        session.deliver(
            calledOn,
            tag,
            new OutgoingDelivery(handle, "q", false, false, NO_PROPERTIES, new byte[] {1, 2}));
    session.flush();
    return sent;
  }
}
