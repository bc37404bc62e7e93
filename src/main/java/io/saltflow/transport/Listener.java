package io.saltflow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Listens on an address and takes connections, up to so many at a time. */
abstract class Listener extends Routine implements Loop.Ready {
  private static final int BACKLOG = 512;
  private static final int AT_ONCE = 64;

  protected final Loop loop;
  private final int maxConnections;
  private final ServerSocketChannel listener;

  Listener(Routine parent, Loop loop, InetSocketAddress address, int maxConnections)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.maxConnections = maxConnections;
    listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.configureBlocking(false);
      listener.bind(address, BACKLOG);
      loop.register(listener, SelectionKey.OP_ACCEPT, this);
    } catch (IOException e) {
      listener.close();
      throw new IOException(Addresses.text(address) + ": " + e.getMessage(), e);
    }
  }

  public final int port() {
    return listener.socket().getLocalPort();
  }

  /** A new connection, whose routine becomes a child of this one. */
  abstract void accepted(SocketChannel socket) throws IOException;

  @Override
  public final void onReady(SelectionKey key) throws IOException {
    for (int i = 0; i < AT_ONCE; i++) {
      SocketChannel socket = listener.accept();
      if (socket == null) {
        return;
      }
      if (childCount() >= maxConnections) {
        socket.close();
        continue;
      }
      socket.configureBlocking(false);
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      accepted(socket);
    }
  }

  /** Accepting failed, for want of sockets perhaps: the listener stays. */
  @Override
  public final void onBroken(IOException cause) {}

  @Override
  protected final void onCancel() {
    try {
      listener.close();
    } catch (IOException e) {
      // The process is ending.
    }
  }
}
