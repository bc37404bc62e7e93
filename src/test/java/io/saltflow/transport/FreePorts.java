package io.saltflow.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Finds free ports for servers that must know their port before they bind it. The ports lie below
 * the kernel's ephemeral range, because an outgoing connection could take a released ephemeral
 * port. Each JVM starts at a different port, because test classes run in several JVMs concurrently.
 */
public final class FreePorts {
  private static final int FIRST = 10_000;
  private static final int LAST = 32_000;
  private static final int PORTS_PER_JVM = 997;
  private static int next =
      FIRST + (int) (ProcessHandle.current().pid() * PORTS_PER_JVM % (LAST - FIRST));

  private FreePorts() {}

  /** Returns a loopback address whose port is free and was not returned before. */
  public static InetSocketAddress address() throws IOException {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), firstOfRange(1));
  }

  /**
   * Returns the first port of a range of consecutive free ports.
   *
   * @throws IOException if there is no such range
   */
  public static synchronized int firstOfRange(int count) throws IOException {
    int free = 0;
    for (int attempts = 0; attempts < LAST - FIRST; attempts++) {
      if (next >= LAST) {
        next = FIRST;
        free = 0;
      }
      free = isFree(next++) ? free + 1 : 0;
      if (free == count) {
        return next - count;
      }
    }
    throw new IOException("no " + count + " consecutive ports are free");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException exception) {
      return false;
    }
  }
}
