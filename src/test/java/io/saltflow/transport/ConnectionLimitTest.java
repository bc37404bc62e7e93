package io.saltflow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against lost requests when the connection limit or the supply of sockets is exhausted. */
class ConnectionLimitTest {
  private static final String REQUEST = "GET /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private final List<Socket> open = new ArrayList<>();

  @AfterEach
  void closeAll() throws IOException {
    root.cancel();
    for (Socket socket : open) {
      socket.close();
    }
  }

  /** Returns a server on a free port with a limit of ten connections. */
  private HttpServer server(EventLoop loop, HttpServer.Handler handler) throws IOException {
    return new HttpServer(root, loop, Addresses.parse("127.0.0.1:0"), 10, handler);
  }

  private void runUntil(EventLoop loop, BooleanSupplier condition) throws IOException {
    for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
      loop.schedule(TimeSpan.millis(5), root, loop::pause);
      loop.run();
    }
    assertTrue(condition.getAsBoolean());
  }

  /** Sends a request over a new connection and returns the head of the response. */
  private String request(EventLoop loop, HttpServer server) throws IOException {
    Socket socket = new Socket();
    open.add(socket);
    socket.connect(new InetSocketAddress("127.0.0.1", server.port()));
    socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    runUntil(
        loop,
        () -> {
          try {
            while (in.available() > 0) {
              head.append((char) in.read());
            }
            return head.indexOf("\r\n\r\n") > 0;
          } catch (IOException exception) {
            throw new IllegalStateException(exception);
          }
        });
    return head.toString();
  }

  /** Guards against idle connections that keep other clients from being served. */
  @Test
  void responsesCloseConnectionsAboveKeepAliveLimit() throws IOException {
    EventLoop loop = new EventLoop();
    HttpServer server =
        server(loop, (method, target, body, answer) -> answer.accept(HttpResponse.empty(200)));
    int kept = 0;
    for (int i = 0; i < 40; i++) {
      String head = request(loop, server);
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
      kept += head.contains("Connection: close") ? 0 : 1;
    }
    assertEquals(8, kept);
    assertEquals(0, server.takeRejectedCount());
  }

  /**
   * Guards against a request that fails without being sent while another connection is open, which
   * made a leader treat the key-value store as unavailable.
   */
  @Test
  void requestWaitsForOpenConnectionWhenNewOneIsRefused() throws IOException {
    EventLoop loop = new EventLoop();
    List<Consumer<HttpResponse>> pending = new ArrayList<>();
    HttpServer server = server(loop, (method, target, body, answer) -> pending.add(answer));
    List<Integer> statuses = new ArrayList<>();
    HttpClient client =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.port()), 4, 16);
    Consumer<HttpClient.Answer> callback = answer -> statuses.add(answer.status());
    client.call("GET", "/a", new byte[0], TimeSpan.seconds(60), callback);
    runUntil(loop, () -> pending.size() == 1);
    server.stopListening();
    client.call("GET", "/b", new byte[0], TimeSpan.seconds(60), callback);
    loop.schedule(TimeSpan.millis(50), root, loop::pause);
    loop.run();
    assertEquals(List.of(), statuses);
    pending.get(0).accept(HttpResponse.empty(200));
    runUntil(loop, () -> pending.size() == 2);
    pending.get(1).accept(HttpResponse.empty(204));
    runUntil(loop, () -> statuses.size() == 2);
    assertEquals(List.of(200, 204), statuses);
  }
}
