package standins;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A small AMQP 0-9-1 client with one channel, for publishing and for reading results. */
public final class Amqp implements AutoCloseable {
  /** A method or the content that follows one. */
  private record Frame(int type, int channel, byte[] payload) {}

  /** A message. */
  public record Message(long tag, boolean redelivered, String body) {}

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;

  private Amqp(Socket socket) throws IOException {
    this.socket = socket;
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
  }

  /** Connects to the first of the controllers that serves the queues. */
  public static Amqp connect(Kit kit, Map<String, Integer> ports, double seconds)
      throws IOException {
    double end = Kit.now() + seconds;
    IOException last = null;
    while (Kit.now() < end) {
      for (Map.Entry<String, Integer> entry : ports.entrySet()) {
        Socket socket = new Socket();
        try {
          socket.connect(new InetSocketAddress("127.0.0.1", entry.getValue()), 500);
          socket.setSoTimeout(3000);
          Amqp amqp = new Amqp(socket);
          amqp.open();
          kit.log("amqp: connected to " + entry.getKey());
          return amqp;
        } catch (IOException exception) {
          last = exception;
          socket.close();
        }
      }
      Kit.sleep(0.3);
    }
    throw new IOException("no controller serves the queues: " + last);
  }

  private interface Arguments {
    void write(DataOutputStream out) throws IOException;
  }

  private void method(int channel, int classId, int methodId, Arguments arguments)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream data = new DataOutputStream(bytes);
    data.writeShort(classId);
    data.writeShort(methodId);
    arguments.write(data);
    frame(1, channel, bytes.toByteArray());
  }

  private void frame(int type, int channel, byte[] payload) throws IOException {
    out.writeByte(type);
    out.writeShort(channel);
    out.writeInt(payload.length);
    out.write(payload);
    out.writeByte(0xCE);
    out.flush();
  }

  private static void shortText(DataOutputStream data, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    data.writeByte(bytes.length);
    data.write(bytes);
  }

  private Frame read() throws IOException {
    while (true) {
      int type = in.readUnsignedByte();
      int channel = in.readUnsignedShort();
      byte[] payload = new byte[in.readInt()];
      in.readFully(payload);
      if (in.readUnsignedByte() != 0xCE) {
        throw new IOException("a frame does not end where it should");
      }
      if (type != 8) {
        return new Frame(type, channel, payload);
      }
    }
  }

  private static int id(Frame frame) {
    byte[] p = frame.payload;
    return ((p[0] & 0xff) << 8 | p[1] & 0xff) * 1000 + ((p[2] & 0xff) << 8 | p[3] & 0xff);
  }

  private Frame expect(int classId, int methodId) throws IOException {
    Frame frame = read();
    if (frame.type != 1 || id(frame) != classId * 1000 + methodId) {
      throw new IOException("method " + id(frame) + " instead of " + classId + "." + methodId);
    }
    return frame;
  }

  private void open() throws IOException {
    out.write(new byte[] {'A', 'M', 'Q', 'P', 0, 0, 9, 1});
    out.flush();
    expect(10, 10);
    method(
        0, 10, 11,
        data -> {
          data.writeInt(0);
          shortText(data, "PLAIN");
          byte[] login = "\0guest\0guest".getBytes(StandardCharsets.UTF_8);
          data.writeInt(login.length);
          data.write(login);
          shortText(data, "en_US");
        });
    expect(10, 30);
    method(
        0, 10, 31,
        data -> {
          data.writeShort(8);
          data.writeInt(65536);
          data.writeShort(0);
        });
    method(
        0, 10, 40,
        data -> {
          shortText(data, "/");
          shortText(data, "");
          data.writeByte(0);
        });
    expect(10, 41);
    method(1, 20, 10, data -> shortText(data, ""));
    expect(20, 11);
    method(1, 85, 10, data -> data.writeByte(0));
    expect(85, 11);
  }

  /** Publishes a message, without an id if it is null, and returns whether it was confirmed. */
  public boolean publish(String queue, String messageId, String body) throws IOException {
    method(
        1, 60, 40,
        data -> {
          data.writeShort(0);
          shortText(data, "");
          shortText(data, queue);
          data.writeByte(0);
        });
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream header = new ByteArrayOutputStream();
    DataOutputStream data = new DataOutputStream(header);
    data.writeShort(60);
    data.writeShort(0);
    data.writeLong(bytes.length);
    data.writeShort(messageId == null ? 1 << 12 : 1 << 12 | 1 << 7);
    data.writeByte(2);
    if (messageId != null) {
      shortText(data, messageId);
    }
    frame(2, 1, header.toByteArray());
    frame(3, 1, bytes);
    Frame answer = read();
    if (answer.type == 1 && id(answer) == 60080) {
      return true;
    }
    if (answer.type == 1 && id(answer) == 60120) {
      return false;
    }
    throw new IOException("method " + id(answer) + " instead of a confirm");
  }

  /** Returns the next message of a queue, or null if it has none now. */
  public Message get(String queue) throws IOException {
    method(
        1, 60, 70,
        data -> {
          data.writeShort(0);
          shortText(data, queue);
          data.writeByte(0);
        });
    Frame answer = read();
    if (answer.type == 1 && id(answer) == 60072) {
      return null;
    }
    if (answer.type != 1 || id(answer) != 60071) {
      throw new IOException("method " + id(answer) + " instead of a message");
    }
    long tag = 0;
    for (int i = 4; i < 12; i++) {
      tag = tag << 8 | answer.payload[i] & 0xff;
    }
    Frame header = read();
    long size = 0;
    for (int i = 4; i < 12; i++) {
      size = size << 8 | header.payload[i] & 0xff;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (body.size() < size) {
      body.write(read().payload);
    }
    return new Message(tag, answer.payload[12] != 0, body.toString(StandardCharsets.UTF_8));
  }

  /** Acknowledges a message. */
  public void ack(long tag) throws IOException {
    method(
        1, 60, 80,
        data -> {
          data.writeLong(tag);
          data.writeByte(0);
        });
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException exception) {
      // It is closed.
    }
  }
}
