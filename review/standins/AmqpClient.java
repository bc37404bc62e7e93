import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A small AMQP 0-9-1 client, written from the protocol's specification. */
final class AmqpClient implements AutoCloseable {
  enum Kind {
    CONFIRM,
    REFUSAL,
    DELIVERY,
    CHANNEL_CLOSED,
    CONNECTION_CLOSED
  }

  record Event(
      Kind kind,
      int channel,
      long tag,
      boolean multiple,
      boolean redelivered,
      String queue,
      String messageId,
      String body) {}

  private record Reply(int channel, int classId, int methodId) {}

  final Lab.Controller controller;
  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
  final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final Map<Integer, Incoming> incoming = new HashMap<>();
  private volatile boolean closed;

  private static final class Incoming {
    long tag;
    boolean redelivered;
    String queue;
    String messageId;
    long size = -1;
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
  }

  private interface Arguments {
    void write(DataOutputStream to) throws IOException;
  }

  AmqpClient(Lab lab, String name, Lab.Controller controller) throws IOException {
    this.controller = controller;
    socket = new Socket("127.0.0.1", controller.amqp);
    try {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(5000);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      out = new DataOutputStream(socket.getOutputStream());
      out.write(new byte[] {'A', 'M', 'Q', 'P', 0, 0, 9, 1});
      expect(10, 10);
      method(
          0,
          10,
          11,
          to -> {
            to.writeInt(0);
            shortText(to, "PLAIN");
            longText(to, "\0guest\0guest");
            shortText(to, "en_US");
          });
      DataInputStream tune = expect(10, 30);
      int channels = tune.readUnsignedShort();
      int frame = tune.readInt();
      method(
          0,
          10,
          31,
          to -> {
            to.writeShort(channels);
            to.writeInt(frame);
            to.writeShort(0);
          });
      method(
          0,
          10,
          40,
          to -> {
            shortText(to, "/");
            shortText(to, "");
            to.writeByte(0);
          });
      expect(10, 41);
      socket.setSoTimeout(0);
    } catch (IOException exception) {
      socket.close();
      throw exception;
    }
    Http.daemon(this::read);
  }

  /** Reads a method of the handshake. */
  private DataInputStream expect(int classId, int methodId) throws IOException {
    in.readUnsignedByte();
    in.readUnsignedShort();
    byte[] payload = new byte[in.readInt()];
    in.readFully(payload);
    in.readUnsignedByte();
    DataInputStream arguments = new DataInputStream(new ByteArrayInputStream(payload));
    int gotClass = arguments.readUnsignedShort();
    int gotMethod = arguments.readUnsignedShort();
    if (gotClass == 10 && gotMethod == 50) {
      throw new IOException(arguments.readUnsignedShort() + " " + shortText(arguments));
    }
    if (gotClass != classId || gotMethod != methodId) {
      throw new IOException("unexpected method " + gotClass + "." + gotMethod);
    }
    return arguments;
  }

  private static void shortText(DataOutputStream to, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    to.writeByte(bytes.length);
    to.write(bytes);
  }

  private static void longText(DataOutputStream to, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    to.writeInt(bytes.length);
    to.write(bytes);
  }

  private static String shortText(DataInputStream from) throws IOException {
    byte[] bytes = new byte[from.readUnsignedByte()];
    from.readFully(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private void frame(int type, int channel, byte[] payload) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream to = new DataOutputStream(bytes);
    to.writeByte(type);
    to.writeShort(channel);
    to.writeInt(payload.length);
    to.write(payload);
    to.writeByte(0xCE);
    out.write(bytes.toByteArray());
  }

  private synchronized void method(int channel, int classId, int methodId, Arguments arguments)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream to = new DataOutputStream(bytes);
    to.writeShort(classId);
    to.writeShort(methodId);
    arguments.write(to);
    frame(1, channel, bytes.toByteArray());
  }

  private void call(int channel, int classId, int methodId, int replyId, Arguments arguments)
      throws IOException {
    method(channel, classId, methodId, arguments);
    long until = System.nanoTime() + 10_000_000_000L;
    while (System.nanoTime() < until && !closed) {
      try {
        Reply reply = replies.poll(100, TimeUnit.MILLISECONDS);
        if (reply != null && reply.equals(new Reply(channel, classId, replyId))) {
          return;
        }
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
    throw new IOException("no answer to method " + classId + "." + methodId);
  }

  void openChannel(int channel) throws IOException {
    call(channel, 20, 10, 11, to -> shortText(to, ""));
  }

  void closeChannel(int channel) throws IOException {
    call(
        channel,
        20,
        40,
        41,
        to -> {
          to.writeShort(200);
          shortText(to, "done");
          to.writeShort(0);
          to.writeShort(0);
        });
  }

  void selectConfirms(int channel) throws IOException {
    call(channel, 85, 10, 11, to -> to.writeByte(0));
  }

  void prefetch(int channel, int count) throws IOException {
    call(
        channel,
        60,
        10,
        11,
        to -> {
          to.writeInt(0);
          to.writeShort(count);
          to.writeByte(0);
        });
  }

  void consume(int channel, String queue, String tag) throws IOException {
    call(
        channel,
        60,
        20,
        21,
        to -> {
          to.writeShort(0);
          shortText(to, queue);
          shortText(to, tag);
          to.writeByte(0);
          to.writeInt(0);
        });
  }

  /** Publishes to a queue through the default exchange, with a message id unless it is null. */
  synchronized void publish(int channel, String queue, String messageId, String body)
      throws IOException {
    method(
        channel,
        60,
        40,
        to -> {
          to.writeShort(0);
          shortText(to, "");
          shortText(to, queue);
          to.writeByte(0);
        });
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream to = new DataOutputStream(bytes);
    to.writeShort(60);
    to.writeShort(0);
    to.writeLong(content.length);
    to.writeShort(messageId == null ? 0x1000 : 0x1080);
    to.writeByte(2);
    if (messageId != null) {
      shortText(to, messageId);
    }
    frame(2, channel, bytes.toByteArray());
    frame(3, channel, content);
  }

  void ack(int channel, long tag) throws IOException {
    method(
        channel,
        60,
        80,
        to -> {
          to.writeLong(tag);
          to.writeByte(0);
        });
  }

  private void read() {
    try {
      while (true) {
        int type = in.readUnsignedByte();
        int channel = in.readUnsignedShort();
        byte[] payload = new byte[in.readInt()];
        in.readFully(payload);
        in.readUnsignedByte();
        DataInputStream from = new DataInputStream(new ByteArrayInputStream(payload));
        switch (type) {
          case 1 -> onMethod(channel, from);
          case 2 -> onHeader(channel, from);
          case 3 -> onBody(channel, payload);
          default -> {}
        }
      }
    } catch (IOException exception) {
      closed = true;
      events.add(new Event(Kind.CONNECTION_CLOSED, 0, 0, false, false, null, null, null));
    }
  }

  private void onMethod(int channel, DataInputStream from) throws IOException {
    int classId = from.readUnsignedShort();
    int methodId = from.readUnsignedShort();
    if (classId == 60 && methodId == 60) {
      Incoming delivery = new Incoming();
      shortText(from);
      delivery.tag = from.readLong();
      delivery.redelivered = (from.readByte() & 1) != 0;
      shortText(from);
      delivery.queue = shortText(from);
      incoming.put(channel, delivery);
    } else if (classId == 60 && (methodId == 80 || methodId == 120)) {
      Kind kind = methodId == 80 ? Kind.CONFIRM : Kind.REFUSAL;
      long tag = from.readLong();
      boolean multiple = (from.readByte() & 1) != 0;
      events.add(new Event(kind, channel, tag, multiple, false, null, null, null));
    } else if (classId == 20 && methodId == 40) {
      int code = from.readUnsignedShort();
      String text = code + " " + shortText(from);
      method(channel, 20, 41, to -> {});
      events.add(new Event(Kind.CHANNEL_CLOSED, channel, 0, false, false, null, null, text));
    } else if (classId == 10 && methodId == 50) {
      throw new IOException("closed by the server");
    } else {
      replies.add(new Reply(channel, classId, methodId));
    }
  }

  private void onHeader(int channel, DataInputStream from) throws IOException {
    Incoming delivery = incoming.get(channel);
    from.readInt();
    delivery.size = from.readLong();
    int flags = from.readUnsignedShort();
    for (int bit = 15; bit >= 2; bit--) {
      if ((flags & 1 << bit) == 0) {
        continue;
      }
      switch (bit) {
        case 13 -> from.skipBytes(from.readInt());
        case 12, 11 -> from.readByte();
        case 6 -> from.readLong();
        default -> {
          String text = shortText(from);
          delivery.messageId = bit == 7 ? text : delivery.messageId;
        }
      }
    }
    deliverIfWhole(channel);
  }

  private void onBody(int channel, byte[] payload) throws IOException {
    incoming.get(channel).body.write(payload);
    deliverIfWhole(channel);
  }

  private void deliverIfWhole(int channel) {
    Incoming delivery = incoming.get(channel);
    if (delivery.body.size() < delivery.size) {
      return;
    }
    incoming.remove(channel);
    events.add(
        new Event(
            Kind.DELIVERY,
            channel,
            delivery.tag,
            false,
            delivery.redelivered,
            delivery.queue,
            delivery.messageId,
            delivery.body.toString(StandardCharsets.UTF_8)));
  }

  /** Returns the next event, or null if none comes in time. */
  Event next(long withinMs) {
    try {
      return events.poll(withinMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException exception) {
      // Nothing is left to close.
    }
  }
}
