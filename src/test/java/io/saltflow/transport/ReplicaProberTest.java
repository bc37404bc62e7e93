package io.saltflow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong probe results for healthy, unhealthy, silent and stopped replicas. */
class ReplicaProberTest {
  private static final TimeSpan LONG_TIMEOUT = TimeSpan.seconds(60);

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private EventLoop loop;
  private ReplicaProber prober;
  private int port;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop();
    prober = new ReplicaProber(root, loop, 3);
    port =
        new HttpServer(
                root,
                loop,
                Addresses.parse("127.0.0.1:0"),
                50,
                (method, target, body, answer) ->
                    answer.accept(
                        target.equals("/healthy?x=1")
                            ? new HttpResponse(200, new byte[100_000], 0)
                            : HttpResponse.empty(503)))
            .port();
  }

  @AfterEach
  void cancelRoot() {
    root.cancel();
  }

  private long probe(String path, int targetPort, TimeSpan timeout) throws IOException {
    long[] results = {Long.MIN_VALUE};
    prober.probe(
        new ProbeFrame.ProbeTarget("127.0.0.1", targetPort, path),
        timeout,
        ms -> {
          results[0] = ms;
          loop.pause();
        });
    loop.run();
    return results[0];
  }

  @Test
  void probeReturnsLatencyOrUnhealthyStatus() throws IOException {
    assertTrue(
        probe("/healthy?x=1", port, LONG_TIMEOUT) >= 0, "the probe must not wait for a large body");
    assertEquals(ProbeFrame.UNHEALTHY, probe("/unhealthy", port, LONG_TIMEOUT));
    assertTrue(probe("", port, LONG_TIMEOUT) >= 0, "a probe with an empty path only connects");
    assertEquals(
        ProbeFrame.NOT_PROBED,
        probe("/", 70_000, LONG_TIMEOUT),
        "a replica with an invalid port is not probed");
  }

  @Test
  void silentAndStoppedReplicasAreUnreachable() throws IOException {
    int closedPort;
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      closedPort = silent.getLocalPort();
      assertEquals(ProbeFrame.UNREACHABLE, probe("/", closedPort, TimeSpan.millis(50)));
      assertTrue(probe("", closedPort, LONG_TIMEOUT) >= 0);
    }
    assertEquals(ProbeFrame.UNREACHABLE, probe("", closedPort, LONG_TIMEOUT));
  }

  /** Guards against reporting a replica as unreachable when the probe found no free socket. */
  @Test
  void probeThatTimesOutWaitingForSocketIsNotMade() throws IOException {
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      List<Long> results = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        TimeSpan timeout = TimeSpan.millis(i < 3 ? 100 : 20);
        prober.probe(
            new ProbeFrame.ProbeTarget("127.0.0.1", silent.getLocalPort(), "/"),
            timeout,
            ms -> {
              results.add(ms);
              if (results.size() == 5) {
                loop.pause();
              }
            });
      }
      loop.run();
      results.sort(null);
      long notProbed = ProbeFrame.NOT_PROBED;
      long unreachable = ProbeFrame.UNREACHABLE;
      assertEquals(List.of(notProbed, notProbed, unreachable, unreachable, unreachable), results);
    }
  }
}
