package io.saltflow.transport;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A full mesh of connections between controllers, over which each sends frames to its peers. A
 * frame is a four-byte length and the payload.
 */
public final class PeerMesh extends Routine implements EventLoop.ReadinessHandler {
  private static final int MAX_FRAME = 512 * 1024;
  private static final int MAX_INBOUND = 32;
  private static final TimeSpan RECONNECT_DELAY = TimeSpan.seconds(1);

  /**
   * Shorter delay for a link that the peer closed, to detect early whether the process of the peer
   * has ended.
   */
  private static final TimeSpan FAST_RECONNECT_DELAY = TimeSpan.millis(150);

  private static final TimeSpan FAST_RECONNECT_WINDOW = TimeSpan.seconds(3);

  /** Receives state changes of links to peers. A peer is identified by its index in the list. */
  public interface LinkListener {
    /** Called when the peer closed an established link. */
    void lost(int peer);

    /**
     * Called when a connection was refused because no process listens on the port or a packet
     * filter rejects it.
     */
    void refused(int peer);

    /** Called when a link to a peer was established. */
    void up(int peer);

    /** A listener that ignores all changes. */
    LinkListener NONE =
        new LinkListener() {
          @Override
          public void lost(int peer) {}

          @Override
          public void refused(int peer) {}

          @Override
          public void up(int peer) {}
        };
  }

  private final EventLoop loop;
  private final Consumer<byte[]> onFrame;
  private final ServerSocketChannel listener;
  private final List<Outbound> outbound = new ArrayList<>();
  private LinkListener linkListener = LinkListener.NONE;
  private int inbound;

  /**
   * Binds the address and starts to listen. Links to peers are opened on demand.
   *
   * @throws IOException if the address cannot be bound
   */
  public PeerMesh(
      Routine parent,
      EventLoop loop,
      InetSocketAddress address,
      List<InetSocketAddress> peers,
      Consumer<byte[]> onFrame)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.onFrame = onFrame;
    listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.configureBlocking(false);
    PortBinder.bind(listener, address, 16);
    loop.register(listener, SelectionKey.OP_ACCEPT, this);
    for (InetSocketAddress peer : peers) {
      outbound.add(new Outbound(peer, outbound.size()));
    }
  }

  /** Sets the listener for link state changes. */
  public void setLinkListener(LinkListener listener) {
    linkListener = listener;
  }

  @Override
  public void onReady(SelectionKey key) throws IOException {
    SocketChannel socket = listener.accept();
    if (socket == null) {
      return;
    }
    if (inbound >= MAX_INBOUND) {
      socket.close();
      return;
    }
    socket.configureBlocking(false);
    inbound++;
    new Inbound(socket).open(SelectionKey.OP_READ);
  }

  @Override
  public void onBroken(IOException cause) {}

  /** Sends a frame to every connected peer and drops it for the others. */
  public void broadcast(byte[] frame) {
    for (Outbound peer : outbound) {
      peer.send(frame);
    }
  }

  /**
   * Connects to all peers that are not connected, so that the first frame is not delayed or
   * dropped.
   */
  public void connectAll() {
    for (Outbound peer : outbound) {
      peer.connectIfNeeded();
    }
  }

  /**
   * Sends a frame to the peer with this index in the list, or drops it if the peer is not
   * connected.
   */
  public void send(int peer, byte[] frame) {
    outbound.get(peer).send(frame);
  }

  @Override
  protected void onCancel() {
    try {
      listener.close();
    } catch (IOException exception) {
      // Nothing can be done about a failed close.
    }
  }

  private final class Inbound extends NonBlockingChannel {
    private final ByteBuffer length = ByteBuffer.allocate(4);
    private ByteBuffer frame;

    Inbound(SocketChannel socket) {
      super(PeerMesh.this, PeerMesh.this.loop, socket);
    }

    /** Frames of peers take priority because the sender may be a new leader. */
    @Override
    public boolean hasPriority() {
      return true;
    }

    @Override
    protected void onBytes(ByteBuffer in) throws IOException {
      while (in.hasRemaining()) {
        if (frame == null) {
          length.put(in.get());
          if (!length.hasRemaining()) {
            int size = length.flip().getInt();
            length.clear();
            if (size <= 0 || size > MAX_FRAME) {
              throw new IOException("invalid frame length " + size);
            }
            frame = ByteBuffer.allocate(size);
          }
        } else {
          while (in.hasRemaining() && frame.hasRemaining()) {
            frame.put(in.get());
          }
          if (!frame.hasRemaining()) {
            byte[] payload = frame.array();
            frame = null;
            onFrame.accept(payload);
          }
        }
      }
    }

    @Override
    protected void onCancel() {
      super.onCancel();
      inbound--;
    }
  }

  private final class Outbound {
    private final InetSocketAddress address;
    private final int index;
    private Link link;
    private boolean backingOff;
    private MonotonicTime lostAt = MonotonicTime.LONG_AGO;

    Outbound(InetSocketAddress address, int index) {
      this.address = address;
      this.index = index;
    }

    private boolean recentlyLost() {
      return loop.now().since(lostAt).compareTo(FAST_RECONNECT_WINDOW) < 0;
    }

    private void onClosed(boolean wasUp, IOException cause) {
      if (wasUp) {
        lostAt = loop.now();
        backingOff = false;
        linkListener.lost(index);
      } else if (cause instanceof ConnectException) {
        linkListener.refused(index);
      }
      if (recentlyLost()) {
        loop.schedule(FAST_RECONNECT_DELAY, PeerMesh.this, this::connectIfNeeded);
      }
    }

    void connectIfNeeded() {
      if (link == null || link.cancelled()) {
        connect();
      }
    }

    void send(byte[] frame) {
      connectIfNeeded();
      if (link != null && link.up) {
        ByteBuffer out = ByteBuffer.allocate(4 + frame.length);
        link.send(out.putInt(frame.length).put(frame).flip());
      }
    }

    private void connect() {
      if (backingOff) {
        return;
      }
      backingOff = true;
      loop.schedule(
          recentlyLost() ? FAST_RECONNECT_DELAY : RECONNECT_DELAY,
          PeerMesh.this,
          () -> backingOff = false);
      try {
        SocketChannel socket = SocketChannel.open();
        socket.configureBlocking(false);
        socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
        link = new Link(socket, this);
        link.up = socket.connect(address);
        link.open(link.up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
      } catch (IOException exception) {
        if (link != null) {
          link.cancel();
        }
        onClosed(false, exception);
      }
    }
  }

  private final class Link extends NonBlockingChannel {
    private final Outbound to;
    private boolean up;

    Link(SocketChannel socket, Outbound to) {
      super(PeerMesh.this, PeerMesh.this.loop, socket);
      this.to = to;
      loop.schedule(
          TimeSpan.seconds(3),
          this,
          () -> {
            if (!up) {
              cancel();
            }
          });
    }

    @Override
    protected void onConnected() {
      up = true;
      linkListener.up(to.index);
    }

    @Override
    public void onBroken(IOException cause) {
      boolean first = !cancelled();
      super.onBroken(cause);
      if (first) {
        to.onClosed(up, cause);
      }
    }

    /** Ignores data, because peers send frames over their own links. */
    @Override
    protected void onBytes(ByteBuffer in) {}
  }
}
