package io.saltflow.transport;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** A non-blocking socket channel. Bytes that cannot be written yet are buffered up to a limit. */
abstract class NonBlockingChannel extends Routine implements EventLoop.ReadinessHandler {
  private static final int MAX_WAITING_BYTES = 1 << 20;

  protected final EventLoop loop;
  protected final SocketChannel socket;
  private SelectionKey key;
  private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>();
  private int waitingBytes;
  private final int maxWaitingBytes;
  private boolean closeWhenWritten;

  NonBlockingChannel(Routine parent, EventLoop loop, SocketChannel socket) {
    this(parent, loop, socket, MAX_WAITING_BYTES);
  }

  NonBlockingChannel(Routine parent, EventLoop loop, SocketChannel socket, int maxWaitingBytes) {
    super(parent);
    this.loop = loop;
    this.socket = socket;
    this.maxWaitingBytes = maxWaitingBytes;
  }

  final int bufferedBytes() {
    return waitingBytes;
  }

  final void open(int ops) throws IOException {
    key = loop.register(socket, ops, this);
  }

  @Override
  public void onReady(SelectionKey readyKey) throws IOException {
    if (readyKey.isConnectable()) {
      socket.finishConnect();
      readyKey.interestOps(writeQueue.isEmpty() ? SelectionKey.OP_READ : readAndWrite());
      onConnected();
    }
    if (!cancelled() && readyKey.isValid() && readyKey.isWritable()) {
      flush();
    }
    if (!cancelled() && readyKey.isValid() && readyKey.isReadable()) {
      read();
    }
  }

  private static int readAndWrite() {
    return SelectionKey.OP_READ | SelectionKey.OP_WRITE;
  }

  private void read() throws IOException {
    ByteBuffer in = loop.scratch();
    in.clear();
    int bytesRead = socket.read(in);
    if (bytesRead < 0) {
      throw new EOFException("connection closed by the peer");
    }
    in.flip();
    onBytes(in);
  }

  final void send(ByteBuffer bytes) {
    if (cancelled()) {
      return;
    }
    try {
      if (writeQueue.isEmpty() && socket.isConnected()) {
        socket.write(bytes);
      }
      if (bytes.hasRemaining()) {
        waitingBytes += bytes.remaining();
        if (waitingBytes > maxWaitingBytes) {
          throw new IOException("write buffer limit exceeded because the peer reads too slowly");
        }
        writeQueue.add(bytes);
        if (socket.isConnected()) {
          key.interestOps(readAndWrite());
        }
      } else if (closeWhenWritten) {
        cancel();
      }
    } catch (IOException exception) {
      onBroken(exception);
    }
  }

  final void closeWhenWritten() {
    closeWhenWritten = true;
    if (writeQueue.isEmpty()) {
      cancel();
    }
  }

  private void flush() throws IOException {
    while (!writeQueue.isEmpty()) {
      ByteBuffer head = writeQueue.peek();
      waitingBytes -= head.remaining();
      socket.write(head);
      waitingBytes += head.remaining();
      if (head.hasRemaining()) {
        return;
      }
      writeQueue.poll();
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

  /** Called when all buffered bytes have been written. */
  protected void onDrained() {}

  protected abstract void onBytes(ByteBuffer in) throws IOException;

  @Override
  protected void onCancel() {
    try {
      socket.close();
    } catch (IOException exception) {
      // Nothing can be done about a failed close.
    }
  }
}
