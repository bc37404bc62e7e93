package io.saltflow.transport;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * Probes the health of replicas with a bounded number of sockets, one for each probe. Only the head
 * of an HTTP response is read.
 */
public final class ReplicaProber extends Routine {
  private static final int MAX_WAITING = 512;
  private static final int MAX_BODY_BYTES = 1 << 20;

  private record PendingProbe(
      InetSocketAddress address,
      String path,
      MonotonicTime queuedAt,
      TimeSpan timeout,
      LongConsumer then) {}

  private final EventLoop loop;
  private final int maxSockets;
  private final ArrayDeque<PendingProbe> waiting = new ArrayDeque<>();

  /** Creates a prober with at most {@code maxSockets} concurrent probes. */
  public ReplicaProber(Routine parent, EventLoop loop, int maxSockets) {
    super(parent);
    this.loop = loop;
    this.maxSockets = maxSockets;
  }

  /**
   * Probes a replica once.
   *
   * @param target the address to probe; with an empty path the probe only connects
   * @param then receives the latency in milliseconds until the head of the response, or one of the
   *     negative values of {@link ProbeFrame}
   */
  public void probe(ProbeFrame.ProbeTarget target, TimeSpan timeout, LongConsumer then) {
    InetSocketAddress address = address(target);
    if (address == null || waiting.size() >= MAX_WAITING) {
      loop.schedule(TimeSpan.millis(1), this, () -> then.accept(ProbeFrame.NOT_PROBED));
      return;
    }
    waiting.add(new PendingProbe(address, target.path(), loop.now(), timeout, then));
    pump();
  }

  /**
   * Returns the numeric address of a target, or {@code null} for a host name, whose lookup could
   * block the thread.
   */
  private static InetSocketAddress address(ProbeFrame.ProbeTarget target) {
    try {
      return Addresses.parse(target.host() + ":" + target.port());
    } catch (IllegalArgumentException exception) {
      return null;
    }
  }

  private void pump() {
    while (!waiting.isEmpty() && childCount() < maxSockets) {
      PendingProbe probe = waiting.poll();
      if (loop.now().since(probe.queuedAt).longerThan(probe.timeout)) {
        // The probe timed out while waiting for a free socket, so the replica was not probed.
        probe.then.accept(ProbeFrame.NOT_PROBED);
      } else {
        connect(probe);
      }
    }
  }

  private void connect(PendingProbe probe) {
    try {
      SocketChannel socket = SocketChannel.open();
      socket.configureBlocking(false);
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      Connection connection = new Connection(socket, probe);
      try {
        boolean connected = socket.connect(probe.address);
        connection.open(connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        if (connected) {
          connection.onConnected();
        }
      } catch (IOException exception) {
        connection.cancel();
      }
    } catch (IOException exception) {
      // No socket was available, which says nothing about the replica.
      loop.schedule(TimeSpan.millis(20), this, () -> probe.then.accept(ProbeFrame.NOT_PROBED));
    }
  }

  private final class Connection extends NonBlockingChannel {
    private final HttpParser parser = new HttpParser(false, MAX_BODY_BYTES);
    private final PendingProbe probe;
    private final MonotonicTime sent = ReplicaProber.this.loop.now();
    private long result = ProbeFrame.UNREACHABLE;

    Connection(SocketChannel socket, PendingProbe probe) {
      super(ReplicaProber.this, ReplicaProber.this.loop, socket);
      this.probe = probe;
      loop.schedule(probe.timeout, this, this::cancel);
    }

    @Override
    protected void onConnected() {
      if (probe.path.isEmpty()) {
        result = loop.now().since(sent).ms();
        cancel();
        return;
      }
      String head =
          "GET "
              + probe.path
              + " HTTP/1.1\r\nHost: "
              + probe.address.getAddress().getHostAddress()
              + "\r\nConnection: close\r\n\r\n";
      send(ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    protected void onBytes(ByteBuffer in) {
      try {
        parser.feed(in);
      } catch (HttpParser.MalformedMessageException exception) {
        result = ProbeFrame.UNHEALTHY;
        cancel();
        return;
      }
      if (parser.headComplete()) {
        boolean healthy = parser.status() >= 200 && parser.status() < 400;
        result = healthy ? loop.now().since(sent).ms() : ProbeFrame.UNHEALTHY;
        cancel();
      }
    }

    @Override
    protected void onCancel() {
      super.onCancel();
      if (!ReplicaProber.this.cancelled()) {
        loop.schedule(
            TimeSpan.millis(0),
            ReplicaProber.this,
            () -> {
              probe.then.accept(result);
              pump();
            });
      }
    }
  }
}
