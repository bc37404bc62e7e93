package io.saltflow.transport;

import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Measures the size of HTTP messages on a connection, including their heads. */
public final class HttpMessageSizes {
  private static final String HEAD_END = "\r\n\r\n";
  private static final int MAX_LOOP_RUNS = 2000;

  private HttpMessageSizes() {}

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  /** Returns the size in bytes of a response from {@link HttpServer}. */
  public static int responseBytes(int status, byte[] body) {
    return HttpResponse.of(status, body).bytes(false).remaining();
  }

  /** Returns the size in bytes of a request from {@link HttpClient}, read from a socket. */
  public static int requestBytes(String method, String target, byte[] body) throws IOException {
    Root root = new Root();
    EventLoop loop = new EventLoop();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpClient client =
          new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.getLocalPort()), 1, 1);
      client.call(method, target, body, TimeSpan.seconds(30), answer -> {});
      runLoop(loop, root);
      try (Socket socket = server.accept()) {
        return readHead(loop, root, socket.getInputStream(), body.length) + body.length;
      }
    } finally {
      root.cancel();
    }
  }

  /** Reads the head and the body of a request and returns the size of the head in bytes. */
  private static int readHead(EventLoop loop, Root root, InputStream in, int bodyBytes)
      throws IOException {
    StringBuilder read = new StringBuilder();
    for (int i = 0; i < MAX_LOOP_RUNS; i++) {
      runLoop(loop, root);
      read.append(new String(in.readNBytes(in.available()), StandardCharsets.ISO_8859_1));
      int end = read.indexOf(HEAD_END);
      if (end >= 0 && read.length() == end + HEAD_END.length() + bodyBytes) {
        return end + HEAD_END.length();
      }
    }
    throw new IOException("the request did not arrive");
  }

  private static void runLoop(EventLoop loop, Root root) throws IOException {
    loop.schedule(TimeSpan.millis(1), root, loop::pause);
    loop.run();
  }
}
