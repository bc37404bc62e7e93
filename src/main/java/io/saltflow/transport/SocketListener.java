package io.saltflow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Listens on an address and accepts connections up to a limit. */
public abstract class SocketListener extends Routine implements EventLoop.ReadinessHandler {
  private static final int MAX_BACKLOG = 512;
  private static final int MAX_ACCEPTS_PER_EVENT = 64;

  protected final EventLoop loop;
  private final int maxConnections;
  private final ServerSocketChannel listener;
  private int rejected;

  /** Returns the accept backlog for a maximum number of sockets. */
  public static int backlog(int sockets) {
    return Math.max(16, Math.min(MAX_BACKLOG, sockets / 16));
  }

  SocketListener(Routine parent, EventLoop loop, InetSocketAddress address, int maxConnections)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.maxConnections = maxConnections;
    listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.configureBlocking(false);
      PortBinder.bind(listener, address, backlog(maxConnections));
      loop.register(listener, SelectionKey.OP_ACCEPT, this);
    } catch (IOException exception) {
      listener.close();
      throw exception;
    }
  }

  /** Returns the local port. */
  public final int port() {
    return listener.socket().getLocalPort();
  }

  /** Returns the number of connections rejected because of the limit since the last call. */
  public final int takeRejectedCount() {
    int count = rejected;
    rejected = 0;
    return count;
  }

  /** Handles a new connection, whose routine becomes a child of this one. */
  abstract void accepted(SocketChannel socket) throws IOException;

  @Override
  public final void onReady(SelectionKey key) throws IOException {
    for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
      SocketChannel socket = listener.accept();
      if (socket == null) {
        return;
      }
      if (childCount() >= maxConnections) {
        rejected++;
        socket.close();
        continue;
      }
      socket.configureBlocking(false);
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      accepted(socket);
    }
  }

  /**
   * Accepting takes priority, because a connection over the limit holds a socket while in the
   * backlog.
   */
  @Override
  public final boolean hasPriority() {
    return true;
  }

  /** Ignores a failure to accept, such as a lack of sockets; the listener stays open. */
  @Override
  public final void onBroken(IOException cause) {}

  /** Stops accepting connections. Open connections continue. */
  final void stopListening() {
    try {
      listener.close();
    } catch (IOException exception) {
      // Nothing can be done about a failed close.
    }
  }

  @Override
  protected final void onCancel() {
    stopListening();
  }
}
