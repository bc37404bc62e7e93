package io.saltflow.transport;

import java.io.IOException;

/**
 * Runs an event loop on a separate thread and cancels its root routine there when the loop stops.
 */
public final class LoopThread {
  private final EventLoop loop;
  private final Thread thread;

  private LoopThread(EventLoop loop, Thread thread) {
    this.loop = loop;
    this.thread = thread;
  }

  /** Starts a loop on a daemon thread. */
  public static LoopThread start(EventLoop loop, Routine root) {
    Thread thread =
        new Thread(
            () -> {
              try {
                loop.run();
                root.cancel();
              } catch (IOException exception) {
                throw new IllegalStateException(exception);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new LoopThread(loop, thread);
  }

  /** Stops the loop and waits for its thread to end. */
  public void stop() throws InterruptedException {
    loop.stop();
    thread.join();
  }
}
