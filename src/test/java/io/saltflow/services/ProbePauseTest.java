package io.saltflow.services;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.ReplicaProber;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against replicas that count as failing because their prober's process stood still. */
class ProbePauseTest {
  private static final TimeSpan TIMEOUT = TimeSpan.seconds(3);
  private static final int MAX_TURNS = 1_000;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private long clockOffsetMs;
  private final EventLoop loop;

  ProbePauseTest() throws IOException {
    loop =
        new EventLoop(
            () -> System.nanoTime() + clockOffsetMs * 1_000_000,
            () -> System.currentTimeMillis() + clockOffsetMs);
  }

  /** Probes a replica that answers nothing, with steps of the clock, and returns the results. */
  private List<Long> probe(long... clockStepsMs) throws IOException {
    List<Long> results = new ArrayList<>();
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      ProbeLoop.probeAll(
          loop,
          root,
          new ReplicaProber(root, loop, 1),
          List.of(new ProbeFrame.ProbeTarget("127.0.0.1", silent.getLocalPort(), "/health")),
          TIMEOUT,
          results::addAll);
      turn();
      for (long step : clockStepsMs) {
        clockOffsetMs += step;
        turn();
      }
      for (int i = 0; i < MAX_TURNS && results.isEmpty(); i++) {
        turn();
      }
    }
    root.cancel();
    return results;
  }

  private void turn() throws IOException {
    loop.schedule(TimeSpan.millis(2), root, loop::pause);
    loop.run();
  }

  @Test
  void probeThatTimesOutInPauseCountsAsNotMade() throws IOException {
    assertEquals(List.of(ProbeFrame.NOT_PROBED), probe(3_600));
  }

  @Test
  void probeThatTimesOutWithoutPauseCountsAsFailed() throws IOException {
    List<Long> results = probe(400, 400, 400, 400, 400, 400, 400, 400);
    assertEquals(1, results.size());
    assertEquals(true, results.get(0) < 0 && results.get(0) != ProbeFrame.NOT_PROBED);
  }
}
