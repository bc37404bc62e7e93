package io.saltflow.transport;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An HTTP server with one routine for each connection.
 *
 * <p>The server can serve more clients than it has connections. While more than the fraction {@link
 * #KEEP_ALIVE_FRACTION} of the connections is open, each response closes its connection, so that
 * clients with infrequent requests share the connections.
 */
public final class HttpServer extends SocketListener {
  private static final int MAX_BODY = 64 * 1024;
  private static final TimeSpan IDLE_TIMEOUT = TimeSpan.seconds(120);
  private static final TimeSpan READ_TIMEOUT = TimeSpan.seconds(10);
  private static final TimeSpan IDLE_CHECK_INTERVAL = TimeSpan.seconds(5);

  /**
   * Fraction of the connections that may stay open between requests. The rest is reserved for
   * bursts, such as all clients reconnecting after a network failure.
   */
  private static final double KEEP_ALIVE_FRACTION = 0.8;

  /** Handles requests. The response may be given asynchronously, but only once. */
  public interface Handler {
    /** Handles a request and passes its response to {@code respond}, immediately or later. */
    void handle(String method, String target, byte[] body, Consumer<HttpResponse> respond);
  }

  private final Handler handler;
  private final int maxKeepAlive;
  private final Set<Connection> connections = new LinkedHashSet<>();

  /**
   * Binds the address and starts to listen.
   *
   * @throws IOException if the address cannot be bound
   */
  public HttpServer(
      Routine parent,
      EventLoop loop,
      InetSocketAddress address,
      int maxConnections,
      Handler handler)
      throws IOException {
    super(parent, loop, address, maxConnections);
    this.handler = handler;
    this.maxKeepAlive = (int) (maxConnections * KEEP_ALIVE_FRACTION);
    // A single timer sweeps all connections; a timer for each would be costly with thousands of
    // clients.
    loop.scheduleRepeating(
        IDLE_CHECK_INTERVAL, this, () -> List.copyOf(connections).forEach(Connection::checkIdle));
  }

  @Override
  void accepted(SocketChannel socket) throws IOException {
    new Connection(socket).open(SelectionKey.OP_READ);
  }

  private final class Connection extends NonBlockingChannel {
    private final HttpParser parser = new HttpParser(true, MAX_BODY);
    private MonotonicTime since = HttpServer.this.loop.now();
    private boolean handling;

    Connection(SocketChannel socket) {
      super(HttpServer.this, HttpServer.this.loop, socket);
      connections.add(this);
    }

    private void checkIdle() {
      TimeSpan elapsed = loop.now().since(since);
      if (handling) {
        return;
      }
      if (parser.inProgress() && elapsed.longerThan(READ_TIMEOUT)) {
        reject(408);
      } else if (elapsed.longerThan(IDLE_TIMEOUT)) {
        cancel();
      }
    }

    private void reject(int status) {
      send(HttpResponse.empty(status).bytes(true));
      closeWhenWritten();
    }

    @Override
    protected void onBytes(ByteBuffer in) throws IOException {
      if (handling) {
        // Pipelining is not supported; data before the response closes the connection.
        throw new IOException("pipelined request");
      }
      if (!parser.inProgress()) {
        since = loop.now();
      }
      try {
        if (!parser.feed(in)) {
          return;
        }
      } catch (HttpParser.MalformedMessageException exception) {
        reject(exception.status());
        return;
      }
      if (in.hasRemaining()) {
        reject(400);
        return;
      }
      handling = true;
      boolean close = parser.wantsClose();
      try {
        handler.handle(
            parser.method(), parser.target(), parser.body(), response -> respond(response, close));
      } catch (RuntimeException exception) {
        if (handling) {
          respond(new HttpResponse(503, new byte[0], 1), true);
        }
        throw exception;
      }
    }

    private void respond(HttpResponse response, boolean closeRequested) {
      if (!handling || cancelled()) {
        return;
      }
      boolean close = closeRequested || connections.size() > maxKeepAlive;
      if (response == HttpResponse.NONE) {
        cancel();
        return;
      }
      handling = false;
      since = loop.now();
      parser.reset();
      send(response.bytes(close));
      if (close && !cancelled()) {
        closeWhenWritten();
      }
    }

    @Override
    protected void onCancel() {
      super.onCancel();
      connections.remove(this);
    }
  }
}
