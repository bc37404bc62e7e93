package io.saltflow.kvserver;

import static io.saltflow.kvserver.StandaloneServerTest.put;
import static io.saltflow.kvserver.StandaloneServerTest.transaction;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.raft.GroupKey;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.FreePorts;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a group of three members on loopback that share an event loop. */
class ReplicatedServerTest {
  private static final KeyValueLimits LIMITS = new KeyValueLimits(100_000, 100_000, 8, 8);

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private static final class Node {
    final Root root = new Root();
    ReplicatedServer server;
  }

  @TempDir Path folder;
  private final EventLoop loop;
  private final Root root = new Root();
  private final Map<String, ReplicatedServer.NodeAddresses> addresses = new TreeMap<>();
  private final Map<String, Node> nodes = new TreeMap<>();

  ReplicatedServerTest() throws IOException {
    loop = new EventLoop();
  }

  @BeforeEach
  void startAll() throws IOException {
    for (int i = 0; i < 3; i++) {
      addresses.put(
          "n" + i, new ReplicatedServer.NodeAddresses(FreePorts.address(), FreePorts.address()));
    }
    for (String name : addresses.keySet()) {
      startNode(name, "the group's secret");
    }
  }

  private void startNode(String name, String secret) throws IOException {
    Node node = new Node();
    SplitMix64 random = new SplitMix64(name.hashCode());
    node.server =
        new ReplicatedServer(
            node.root,
            loop,
            new ReplicatedServer.Options(
                "g",
                new GroupKey(secret.getBytes(StandardCharsets.UTF_8)),
                name,
                addresses,
                LIMITS,
                20_000),
            FileSystemDirectory.open(folder.resolve(name)),
            new long[] {1, name.hashCode()},
            random::nextLong);
    new HttpServer(node.root, loop, addresses.get(name).clientAddress(), 64, node.server::handle);
    nodes.put(name, node);
  }

  @AfterEach
  void stopAll() {
    nodes.values().forEach(node -> node.root.cancel());
    root.cancel();
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < 3000 && !condition.getAsBoolean(); i++) {
      loop.schedule(TimeSpan.millis(10), root, loop::pause);
      loop.run();
    }
    assertTrue(condition.getAsBoolean());
  }

  /** Waits until exactly one member serves and all members know a leader, and returns it. */
  private String leader() throws IOException {
    runUntil(
        () ->
            nodes.values().stream().filter(node -> node.server.isServing()).count() == 1
                && nodes.values().stream().allMatch(node -> node.server.hasLeader()));
    for (Map.Entry<String, Node> node : nodes.entrySet()) {
      if (node.getValue().server.isServing()) {
        return node.getKey();
      }
    }
    throw new IOException("no member is serving");
  }

  private String request(String node, String method, String target, MessageBody body)
      throws IOException {
    HttpResponse[] reply = new HttpResponse[1];
    nodes
        .get(node)
        .server
        .handle(
            method,
            target,
            body == null ? new byte[0] : MessagePackCodec.encode(body),
            received -> reply[0] = received);
    runUntil(() -> reply[0] != null);
    return StandaloneServerTest.text(reply[0]);
  }

  private String follower(String leader) {
    return nodes.keySet().stream().filter(node -> !node.equals(leader)).findFirst().orElseThrow();
  }

  @Test
  void groupRepliesMatchStandaloneServer() throws IOException {
    String follower = follower(leader());
    GoldenTraces.check(
        "state-service",
        StandaloneServerTest.conversation(
            (method, target, body) -> request(follower, method, target, body)));
  }

  /**
   * Guards against writes and leases lost across failovers, restarts and the installation of a
   * snapshot.
   */
  @Test
  void acknowledgedWritesSurviveFailovers() throws IOException {
    String first = leader();
    assertEquals(
        "200 {tenancy=1}",
        request(first, "POST", "/leases", MessageBody.of().with("ttlMs", 60_000L)));
    MessageBody leasedPut = put("led", 1L).with("tenancy", 1L);
    assertEquals(
        "200 {epoch=2}", request(first, "POST", "/multi", transaction(List.of(), leasedPut)));
    nodes.remove(first).root.cancel();

    String second = leader();
    assertNotEquals(first, second);
    for (int i = 0; i < 60; i++) {
      // Exceeds the snapshot threshold, so that the stopped member must be sent a snapshot.
      MessageBody transaction = transaction(List.of(), put("k" + i, "x".repeat(900)));
      assertEquals("200 {epoch=" + (i + 3) + "}", request(second, "POST", "/multi", transaction));
    }
    startNode(first, "the group's secret");
    runUntil(() -> nodes.get(first).server.hasLeader());
    assertEquals(
        "200 {path=led, data={x=1}, stamp=2, tenancy=1}", request(first, "GET", "/kv/led", null));
    nodes.remove(second).root.cancel();

    String third = leader();
    assertEquals("200 {tenancy=1}", request(third, "POST", "/leases/1/extend", null));
    assertTrue(request(first, "GET", "/kv/k59", null).startsWith("200"));
    assertEquals(
        "200 {epoch=63}", request(first, "POST", "/multi", transaction(List.of(), put("n", 1L))));
    startNode(second, "the group's secret");
    runUntil(() -> nodes.get(second).server.hasLeader());
    assertTrue(request(second, "GET", "/kv/n", null).startsWith("200"));
  }

  /** A node with a different key must not help a minority to reach a quorum. */
  @Test
  void minorityRejectsRequests() throws IOException {
    String leader = leader();
    List<String> stopped = nodes.keySet().stream().filter(node -> !node.equals(leader)).toList();
    for (String name : stopped) {
      nodes.remove(name).root.cancel();
    }
    Node remaining = nodes.get(leader);
    runUntil(() -> !remaining.server.isServing());
    startNode(stopped.get(0), "another group's secret");
    loop.schedule(TimeSpan.seconds(3), root, loop::pause);
    loop.run();
    assertTrue(!remaining.server.isServing() && !nodes.get(stopped.get(0)).server.isServing());
    assertEquals("503", request(leader, "GET", "/kv/a", null));
    assertEquals("503", request(leader, "POST", "/multi", transaction(List.of(), put("a", 1L))));
  }
}
