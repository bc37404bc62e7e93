package io.saltflow.amqp;

import io.saltflow.compat.StoredForm;
import io.saltflow.model.MonotonicTime;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Encoded samples of every AMQP method, of content and of the server's properties. */
public final class AmqpForms {
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final int CHANNEL = 1;

  private AmqpForms() {}

  /** Returns a sample of each method and kind of frame. */
  public static List<StoredForm> all() {
    List<StoredForm> forms = new ArrayList<>();
    for (MethodKind kind : MethodKind.values()) {
      forms.add(
          StoredForm.current(
              "amqp method " + kind.classId() + "." + kind.methodId(),
              Peer.method(CHANNEL, kind, arguments(kind)),
              AmqpForms::method));
    }
    forms.add(
        StoredForm.current("amqp content", Peer.content(CHANNEL, "a body"), AmqpForms::content));
    ByteWriter heartbeat = new ByteWriter();
    Frame.heartbeat(heartbeat);
    forms.add(StoredForm.current("amqp heartbeat", heartbeat.toByteArray(), AmqpForms::heartbeat));
    forms.add(
        StoredForm.current(
            "amqp properties of a result",
            MessageProperties.ofResult("m-1"),
            bytes ->
                MessageProperties.ofResult(
                    MessageProperties.decode(ByteBuffer.wrap(bytes)).messageId())));
    return forms;
  }

  private static Object[] arguments(MethodKind kind) {
    List<Object> arguments = new ArrayList<>();
    for (MethodKind.Type type : kind.arguments()) {
      long number = arguments.size() + 1L;
      switch (type) {
        case OCTET, SHORT, LONG, LONGLONG -> arguments.add(number);
        case BIT -> arguments.add(number % 2 == 0);
        case SHORTSTR, LONGSTR -> arguments.add("text " + number);
        case TABLE -> arguments.add(Map.of("capability", true));
      }
    }
    return arguments.toArray();
  }

  private static List<Frame> frames(byte[] bytes)
      throws AmqpException, FrameReader.ProtocolMismatchException {
    FrameReader reader = new FrameReader(MAX_FRAME_BYTES);
    reader.next(ByteBuffer.wrap(Peer.protocolHeader()));
    List<Frame> frames = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(bytes);
    for (Frame frame = reader.next(in); frame != null; frame = reader.next(in)) {
      frames.add(frame);
    }
    return frames;
  }

  private static byte[] method(byte[] bytes)
      throws AmqpException, FrameReader.ProtocolMismatchException {
    Frame frame = frames(bytes).get(0);
    ByteWriter out = new ByteWriter();
    Frame.method(out, frame.channel(), Method.decode(frame.payload()));
    return out.toByteArray();
  }

  private static byte[] content(byte[] bytes)
      throws AmqpException, FrameReader.ProtocolMismatchException {
    List<Frame> frames = frames(bytes);
    ByteBuffer header = frames.get(0).payload();
    header.position(Short.BYTES + Short.BYTES + Long.BYTES);
    byte[] properties = MessageProperties.decode(header).bytes();
    ByteBuffer payload = frames.get(1).payload();
    byte[] body = new byte[payload.remaining()];
    payload.get(body);
    ByteWriter out = new ByteWriter();
    Frame.content(out, frames.get(0).channel(), properties, body, MAX_FRAME_BYTES);
    return out.toByteArray();
  }

  private static byte[] heartbeat(byte[] bytes)
      throws AmqpException, FrameReader.ProtocolMismatchException {
    Frame frame = frames(bytes).get(0);
    ByteWriter out = new ByteWriter();
    if (frame.type() == Frame.HEARTBEAT) {
      Frame.heartbeat(out);
    }
    return out.toByteArray();
  }

  /** Returns the arguments of connection.start in order, with tables sorted by field name. */
  public static List<String> connectionStart()
      throws AmqpException, FrameReader.ProtocolMismatchException {
    ByteWriter sent = new ByteWriter();
    AmqpSession.Out out =
        new AmqpSession.Out() {
          @Override
          public void send(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            sent.write(copy);
          }

          @Override
          public void close() {}
        };
    AmqpSession session = new AmqpSession(Peer.LIMITS, new Peer(), out, new MonotonicTime(0));
    session.feed(ByteBuffer.wrap(Peer.protocolHeader()), new MonotonicTime(0));
    List<String> lines = new ArrayList<>();
    for (Object argument : Method.decode(frames(sent.toByteArray()).get(0).payload()).arguments()) {
      lines.add(argument instanceof Map<?, ?> table ? sorted(table) : String.valueOf(argument));
    }
    return lines;
  }

  private static String sorted(Map<?, ?> table) {
    Map<String, Object> out = new TreeMap<>();
    table.forEach(
        (name, value) ->
            out.put((String) name, value instanceof Map<?, ?> inner ? sorted(inner) : value));
    return out.toString();
  }
}
