package io.saltflow.transport;

import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Binds a listening socket and retries for a limited time while the port is in use, because the
 * previous process may not have released it yet after a quick restart. Blocks the calling thread,
 * so it must be used only during startup.
 */
final class PortBinder {
  private static final Logger LOG = LoggerFactory.getLogger(PortBinder.class);

  /** Maximum time for which a port in use is retried. */
  static final TimeSpan RETRY_TIMEOUT = TimeSpan.seconds(10);

  private static final TimeSpan RETRY_INTERVAL = TimeSpan.millis(50);

  private PortBinder() {}

  static void bind(ServerSocketChannel listener, InetSocketAddress address, int backlog)
      throws IOException {
    bind(listener, address, backlog, RETRY_TIMEOUT);
  }

  /**
   * Binds the address, retrying while it is in use.
   *
   * @param timeout maximum time to retry
   * @throws IOException if the address cannot be bound; the message has the address and the reason
   */
  static void bind(
      ServerSocketChannel listener, InetSocketAddress address, int backlog, TimeSpan timeout)
      throws IOException {
    long triesLeft = timeout.ms() / RETRY_INTERVAL.ms();
    for (boolean logged = false; ; logged = true) {
      try {
        listener.bind(address, backlog);
        return;
      } catch (BindException exception) {
        boolean inUse = String.valueOf(exception.getMessage()).contains("in use");
        if (!inUse || triesLeft-- <= 0) {
          String suffix = inUse ? ", after " + timeout.toSeconds() + " s of trying" : "";
          throw new IOException(
              Addresses.text(address) + ": " + exception.getMessage() + suffix, exception);
        }
        if (!logged) {
          LOG.warn(
              "address {} is in use, retrying for up to {} s",
              Addresses.text(address),
              timeout.toSeconds());
        }
        sleep();
      }
    }
  }

  private static void sleep() throws IOException {
    try {
      Thread.sleep(RETRY_INTERVAL.ms());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for a port", exception);
    }
  }
}
