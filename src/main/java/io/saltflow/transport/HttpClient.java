package io.saltflow.transport;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * An HTTP client for one endpoint with a bounded pool of connections and one request at a time on
 * each. A request that times out closes its connection and completes with status 0; the server may
 * have executed it or may still do so.
 */
public final class HttpClient extends Routine implements HttpCaller {
  private static final int MAX_BODY = 8 * 1024 * 1024;

  /** Time after which an idle connection is closed. */
  private static final TimeSpan POOL_IDLE = TimeSpan.seconds(20);

  /** Time without new connection attempts after one failed. */
  private static final TimeSpan CONNECT_BACKOFF = TimeSpan.millis(100);

  /**
   * A response to a request.
   *
   * @param status the status code, or 0 if no response arrived
   * @param sent the time at which the request was sent
   * @param retryAfterS the Retry-After header in seconds, or 0 if absent
   */
  public record Answer(int status, byte[] body, MonotonicTime sent, int retryAfterS) {

    static Answer none(MonotonicTime sent) {
      return new Answer(0, new byte[0], sent, 0);
    }

    /** Returns whether no response arrived. */
    public boolean lost() {
      return status == 0;
    }
  }

  private record Request(
      String method, String target, byte[] body, MonotonicTime deadline, Consumer<Answer> then) {}

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int maxConnections;
  private final int maxQueue;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<Request> queue = new ArrayDeque<>();
  private MonotonicTime noConnectBefore = MonotonicTime.LONG_AGO;

  /** Creates a client that opens connections on demand. */
  public HttpClient(
      Routine parent, EventLoop loop, InetSocketAddress address, int maxConnections, int maxQueue) {
    super(parent);
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
    this.maxQueue = maxQueue;
    loop.scheduleRepeating(TimeSpan.seconds(5), this, this::dropIdle);
  }

  @Override
  public void call(
      String method, String target, byte[] body, TimeSpan timeout, Consumer<Answer> then) {
    Request request = new Request(method, target, body, loop.now().plus(timeout), then);
    if (queue.size() >= maxQueue) {
      loop.schedule(TimeSpan.millis(1), this, () -> then.accept(Answer.none(loop.now())));
      return;
    }
    queue.add(request);
    loop.schedule(timeout, this, () -> expire(request));
    pump();
  }

  private void expire(Request request) {
    if (queue.remove(request)) {
      request.then.accept(Answer.none(loop.now()));
    }
  }

  private void pump() {
    while (!queue.isEmpty()) {
      Connection connection = idle.pollLast();
      if (connection == null) {
        boolean backingOff = childCount() > 0 && loop.now().before(noConnectBefore);
        if (childCount() >= maxConnections || backingOff) {
          return;
        }
        connection = connect();
        if (connection == null && childCount() > 0) {
          backOffConnecting();
          return;
        }
        if (connection == null) {
          Request request = queue.poll();
          loop.schedule(
              TimeSpan.millis(20), this, () -> request.then.accept(Answer.none(loop.now())));
          continue;
        }
      }
      connection.start(queue.poll());
    }
  }

  /**
   * Delays new connections after a failed attempt; queued requests use the open connections
   * meanwhile.
   */
  private void backOffConnecting() {
    noConnectBefore = loop.now().plus(CONNECT_BACKOFF);
    loop.schedule(CONNECT_BACKOFF, this, this::pump);
  }

  private Connection connect() {
    try {
      SocketChannel socket = SocketChannel.open();
      socket.configureBlocking(false);
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      Connection connection = new Connection(socket);
      try {
        connection.connected = socket.connect(address);
        connection.open(connection.connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        return connection;
      } catch (IOException exception) {
        connection.cancel();
        return null;
      }
    } catch (IOException exception) {
      return null;
    }
  }

  private void dropIdle() {
    for (Connection connection : idle.toArray(new Connection[0])) {
      if (loop.now().since(connection.usedAt).longerThan(POOL_IDLE)) {
        connection.cancel();
      }
    }
  }

  private final class Connection extends NonBlockingChannel {
    private final HttpParser parser = new HttpParser(false, MAX_BODY);
    private Request current;
    private MonotonicTime sent;
    private MonotonicTime usedAt = HttpClient.this.loop.now();
    private boolean connected;

    Connection(SocketChannel socket) {
      super(HttpClient.this, HttpClient.this.loop, socket);
    }

    @Override
    protected void onConnected() {
      connected = true;
    }

    /**
     * Responses to this process's own requests, such as lease renewals, take priority over incoming
     * requests.
     */
    @Override
    public boolean hasPriority() {
      return true;
    }

    void start(Request request) {
      current = request;
      sent = loop.now();
      parser.reset();
      StringBuilder head = new StringBuilder(160);
      head.append(request.method).append(' ').append(request.target).append(" HTTP/1.1\r\n");
      head.append("Host: ").append(address.getAddress().getHostAddress()).append("\r\n");
      if (request.body.length > 0) {
        head.append("Content-Type: application/msgpack\r\n");
      }
      head.append("Content-Length: ").append(request.body.length).append("\r\n\r\n");
      loop.schedule(
          new TimeSpan(Math.max(1, request.deadline.since(sent).ms())),
          this,
          () -> onTimeout(request));
      send(HttpEncoder.join(head, request.body));
    }

    private void onTimeout(Request request) {
      if (current == request) {
        cancel();
      }
    }

    @Override
    protected void onBytes(ByteBuffer in) throws IOException {
      if (current == null) {
        throw new IOException("received data without an outstanding request");
      }
      boolean complete;
      try {
        complete = parser.feed(in);
      } catch (HttpParser.MalformedMessageException exception) {
        throw new IOException(exception);
      }
      if (!complete) {
        return;
      }
      Request done = current;
      current = null;
      usedAt = loop.now();
      Answer answer = new Answer(parser.status(), parser.body(), sent, parser.retryAfterS());
      if (parser.wantsClose()) {
        cancel();
      } else {
        idle.addLast(this);
      }
      done.then.accept(answer);
      pump();
    }

    @Override
    protected void onCancel() {
      super.onCancel();
      idle.remove(this);
      if (current != null) {
        Request lost = current;
        current = null;
        boolean expired = !loop.now().before(lost.deadline);
        if (!connected && !expired && HttpClient.this.childCount() > 0) {
          // The request was never sent. Other connections are open, so the endpoint is reachable;
          // retry.
          queue.addFirst(lost);
          backOffConnecting();
        } else if (!HttpClient.this.cancelled()) {
          loop.schedule(
              TimeSpan.millis(1),
              HttpClient.this,
              () -> {
                lost.then.accept(Answer.none(sent));
                pump();
              });
        }
      }
    }
  }
}
