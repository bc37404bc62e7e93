package io.saltflow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.junit.jupiter.api.Test;

/** Guards against a failed restart while the previous process still holds the port. */
class PortBinderTest {
  private static final InetSocketAddress ANY_PORT = Addresses.parse("127.0.0.1:0");

  @Test
  void bindSucceedsOncePortIsReleased() throws Exception {
    ServerSocketChannel previous = ServerSocketChannel.open();
    try (ServerSocketChannel next = ServerSocketChannel.open()) {
      previous.bind(ANY_PORT);
      InetSocketAddress address = (InetSocketAddress) previous.getLocalAddress();
      Thread closer =
          new Thread(
              () -> {
                try {
                  Thread.sleep(120);
                  previous.close();
                } catch (InterruptedException | IOException exception) {
                  throw new IllegalStateException(exception);
                }
              });
      closer.start();
      PortBinder.bind(next, address, 16);
      assertEquals(address, next.getLocalAddress());
      closer.join();
    }
  }

  @Test
  void bindFailsWithAddressWhilePortStaysInUse() throws IOException {
    try (ServerSocketChannel other = ServerSocketChannel.open();
        ServerSocketChannel next = ServerSocketChannel.open()) {
      other.bind(ANY_PORT);
      InetSocketAddress address = (InetSocketAddress) other.getLocalAddress();
      IOException exception =
          assertThrows(
              IOException.class, () -> PortBinder.bind(next, address, 16, TimeSpan.millis(100)));
      assertTrue(
          exception.getMessage().startsWith(Addresses.text(address) + ": "),
          exception.getMessage());
      assertTrue(exception.getMessage().endsWith("after 0.1 s of trying"), exception.getMessage());
    }
  }
}
