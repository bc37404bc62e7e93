package io.saltflow.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/** Accepts connections and passes their bytes to a protocol handler. */
public final class StreamServer extends SocketListener {
  /** The protocol handler of one connection. */
  public interface Peer {
    /** Processes bytes from the peer; message boundaries are not preserved. */
    void onBytes(ByteBuffer in);

    /** Called when all sent bytes have been written to the socket. */
    void onDrained();

    /** Called once when the connection has been closed by either side. */
    void onClosed();
  }

  /** A connection to a peer. */
  public final class Stream extends NonBlockingChannel {
    private final InetAddress remote;
    private Peer peer;

    private Stream(SocketChannel socket) throws IOException {
      super(StreamServer.this, StreamServer.this.loop, socket, maxWaitingBytes);
      remote = ((InetSocketAddress) socket.getRemoteAddress()).getAddress();
    }

    /** Returns the address of the peer. */
    public InetAddress remote() {
      return remote;
    }

    /** Sends bytes. Bytes that cannot be written yet are buffered. */
    public void write(ByteBuffer bytes) {
      send(bytes);
    }

    /** Returns the number of bytes that have not been written to the socket yet. */
    public int waitingBytes() {
      return bufferedBytes();
    }

    /** Closes the connection after all bytes have been written. */
    public void end() {
      closeWhenWritten();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
      peer.onBytes(in);
    }

    @Override
    protected void onDrained() {
      peer.onDrained();
    }

    @Override
    protected void onCancel() {
      super.onCancel();
      peer.onClosed();
    }
  }

  private final int maxWaitingBytes;
  private final Function<Stream, Peer> peers;

  /**
   * Binds the address and starts to listen.
   *
   * @param maxWaitingBytes maximum number of bytes buffered for a slow peer; beyond it the
   *     connection is closed
   * @throws IOException if the address cannot be bound
   */
  public StreamServer(
      Routine parent,
      EventLoop loop,
      InetSocketAddress address,
      int maxConnections,
      int maxWaitingBytes,
      Function<Stream, Peer> peers)
      throws IOException {
    super(parent, loop, address, maxConnections);
    this.maxWaitingBytes = maxWaitingBytes;
    this.peers = peers;
  }

  @Override
  void accepted(SocketChannel socket) throws IOException {
    // TCP keepalive detects dead hosts of peers that disabled protocol heartbeats.
    socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
    Stream stream = new Stream(socket);
    stream.peer = peers.apply(stream);
    stream.open(SelectionKey.OP_READ);
  }
}
