package io.saltflow.kvserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.raft.GroupKey;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.FreePorts;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against leases that end early because the state service stood still, alone and as a member
 * of a group. The test moves the clock of the service's loop.
 */
class LeasePauseTest {
  private static final KeyValueLimits LIMITS = new KeyValueLimits(100_000, 100_000, 8, 8);
  private static final int SEEDS = 12;
  private static final int TTL_MS = 5_000;
  private static final int RENEWAL_INTERVAL_MS = 1_000;
  private static final int STEP_MS = 40;

  /** By how much a lease may end late. */
  private static final int MAX_LATENESS_MS = 100;

  /** Handles a request of the state service. */
  private interface Handler {
    void handle(String method, String target, byte[] body, Consumer<HttpResponse> replyTo);
  }

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  @TempDir Path folder;
  private Root root = new Root();
  private long clockMs = 1_000_000;
  private final EventLoop loop;
  private Handler service;

  LeasePauseTest() throws IOException {
    loop = new EventLoop(() -> clockMs * 1_000_000, () -> clockMs);
  }

  @AfterEach
  void stop() {
    root.cancel();
  }

  private void openStandalone() throws IOException {
    StandaloneServer server =
        new StandaloneServer(
            root, loop, new StandaloneServer.Options(LIMITS, 1 << 20), null, new long[] {5, 6});
    service = server.server()::handle;
  }

  private void openGroupOfOne() throws IOException {
    ReplicatedServer server =
        new ReplicatedServer(
            root,
            loop,
            new ReplicatedServer.Options(
                "g",
                new GroupKey("the group's secret".getBytes(StandardCharsets.UTF_8)),
                "n0",
                Map.of(
                    "n0",
                    new ReplicatedServer.NodeAddresses(FreePorts.address(), FreePorts.address())),
                LIMITS,
                1 << 20),
            FileSystemDirectory.open(folder.resolve("n0")),
            new long[] {1, 2},
            bound -> bound / 2);
    service = server::handle;
    for (int i = 0; i < 1000 && !server.isServing(); i++) {
      advance(STEP_MS);
      awaitDisk();
    }
    assertTrue(server.isServing());
  }

  /** Waits for a write to finish, which takes real time. */
  private void awaitDisk() throws IOException {
    try {
      Thread.sleep(2);
    } catch (InterruptedException exception) {
      throw new IOException(exception);
    }
    turn();
  }

  private void turn() throws IOException {
    loop.schedule(TimeSpan.millis(0), root, loop::pause);
    loop.run();
  }

  private void advance(long ms) throws IOException {
    for (long end = clockMs + ms; clockMs < end; ) {
      clockMs = Math.min(end, clockMs + STEP_MS);
      turn();
    }
  }

  private MessageBody request(String method, String target, MessageBody body, int expected)
      throws IOException {
    HttpResponse[] reply = new HttpResponse[1];
    service.handle(
        method,
        target,
        body == null ? new byte[0] : MessagePackCodec.encode(body),
        response -> reply[0] = response);
    for (int i = 0; i < 100_000 && reply[0] == null; i++) {
      turn();
    }
    assertEquals(expected, reply[0].status(), method + " " + target);
    try {
      return reply[0].body().length == 0 ? null : MessagePackCodec.decode(reply[0].body());
    } catch (InvalidMessageException exception) {
      throw new IOException(exception);
    }
  }

  private void renew(long lease) throws IOException {
    request("POST", "/leases/" + lease + "/extend", null, 200);
  }

  private long grant() throws IOException {
    MessageBody granted =
        request("POST", "/leases", MessageBody.of().with("ttlMs", (long) TTL_MS), 200);
    return ((Number) granted.get("tenancy")).longValue();
  }

  /** Pauses the process at random points for 1 to 30 s while a client renews its lease. */
  private void leaseIsKeptAndEndsInTime(long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    long lease = grant();
    for (int renewal = 0; renewal < 12; renewal++) {
      advance(random.nextInt(RENEWAL_INTERVAL_MS));
      if (random.nextInt(3) == 0) {
        clockMs += 1_000 + random.nextInt(29_000);
        // Timers fire before the requests that arrived meanwhile are read.
        turn();
        advance(random.nextInt(TTL_MS - RENEWAL_INTERVAL_MS));
      }
      renew(lease);
    }
    advance(TTL_MS - STEP_MS);
    renew(lease);
    advance(TTL_MS + MAX_LATENESS_MS);
    request("POST", "/leases/" + lease + "/extend", null, 404);
  }

  @Test
  void leaseOfStandaloneServerIsKeptOverRandomPauses() throws IOException {
    openStandalone();
    for (long seed = 0; seed < SEEDS; seed++) {
      leaseIsKeptAndEndsInTime(seed);
    }
  }

  @Test
  void leaseOfGroupIsKeptOverRandomPauses() throws IOException {
    openGroupOfOne();
    for (long seed = 0; seed < SEEDS; seed++) {
      leaseIsKeptAndEndsInTime(seed);
    }
  }
}
