package io.saltflow.transport;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** A socket that is read and written without waiting; what can't be written yet is kept. */
abstract class Channel extends Routine implements Loop.Ready {
  private static final int MAX_WAITING_BYTES = 1 << 20;

  protected final Loop loop;
  protected final SocketChannel socket;
  private SelectionKey key;
  private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
  private int waitingBytes;
  private final int mostWaiting;
  private boolean closeWhenWritten;

  Channel(Routine parent, Loop loop, SocketChannel socket) {
    this(parent, loop, socket, MAX_WAITING_BYTES);
  }

  Channel(Routine parent, Loop loop, SocketChannel socket, int mostWaiting) {
    super(parent);
    this.loop = loop;
    this.socket = socket;
    this.mostWaiting = mostWaiting;
  }

  final int waiting() {
    return waitingBytes;
  }

  final void open(int ops) throws IOException {
    key = loop.register(socket, ops, this);
  }

  @Override
  public void onReady(SelectionKey k) throws IOException {
    if (k.isConnectable()) {
      socket.finishConnect();
      k.interestOps(waiting.isEmpty() ? SelectionKey.OP_READ : both());
      onConnected();
    }
    if (!cancelled() && k.isValid() && k.isWritable()) {
      flush();
    }
    if (!cancelled() && k.isValid() && k.isReadable()) {
      read();
    }
  }

  private static int both() {
    return SelectionKey.OP_READ | SelectionKey.OP_WRITE;
  }

  private void read() throws IOException {
    ByteBuffer in = loop.scratch();
    in.clear();
    int n = socket.read(in);
    if (n < 0) {
      throw new EOFException("closed by the peer");
    }
    in.flip();
    onBytes(in);
  }

  final void send(ByteBuffer bytes) {
    if (cancelled()) {
      return;
    }
    try {
      if (waiting.isEmpty() && socket.isConnected()) {
        socket.write(bytes);
      }
      if (bytes.hasRemaining()) {
        waitingBytes += bytes.remaining();
        if (waitingBytes > mostWaiting) {
          throw new IOException("the peer reads too slowly");
        }
        waiting.add(bytes);
        if (socket.isConnected()) {
          key.interestOps(both());
        }
      } else if (closeWhenWritten) {
        cancel();
      }
    } catch (IOException e) {
      onBroken(e);
    }
  }

  final void closeWhenWritten() {
    closeWhenWritten = true;
    if (waiting.isEmpty()) {
      cancel();
    }
  }

  private void flush() throws IOException {
    while (!waiting.isEmpty()) {
      ByteBuffer head = waiting.peek();
      waitingBytes -= head.remaining();
      socket.write(head);
      waitingBytes += head.remaining();
      if (head.hasRemaining()) {
        return;
      }
      waiting.poll();
    }
    key.interestOps(SelectionKey.OP_READ);
    if (closeWhenWritten) {
      cancel();
    } else {
      onDrained();
    }
  }

  @Override
  public void onBroken(IOException cause) {
    cancel();
  }

  protected void onConnected() {}

  /** What could not be written at once has been written. */
  protected void onDrained() {}

  protected abstract void onBytes(ByteBuffer in) throws IOException;

  @Override
  protected void onCancel() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closing is all that was wanted; there is nothing left to save.
    }
  }
}
