package io.saltflow.statestore;

import static io.saltflow.statestore.StateServerTest.put;
import static io.saltflow.statestore.StateServerTest.txn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.agreement.GroupKey;
import io.saltflow.coordination.Traces;
import io.saltflow.kv.Limits;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three nodes on loopback, each with a folder and both of its ports, on one loop. */
class GroupServerTest {
  private static final Limits LIMITS = new Limits(100_000, 100_000, 8, 8);

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private static final class Node {
    final Root root = new Root();
    GroupServer server;
  }

  @TempDir Path folder;
  private final Loop loop;
  private final Root root = new Root();
  private final Map<String, GroupServer.Place> places = new TreeMap<>();
  private final Map<String, Node> nodes = new TreeMap<>();

  GroupServerTest() throws IOException {
    loop = new Loop();
  }

  @BeforeEach
  void start() throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      held.add(new ServerSocket(0));
    }
    List<InetSocketAddress> free = new ArrayList<>();
    for (ServerSocket s : held) {
      free.add(Addresses.parse("127.0.0.1:" + s.getLocalPort()));
      s.close();
    }
    for (int i = 0; i < 3; i++) {
      places.put("n" + i, new GroupServer.Place(free.get(2 * i), free.get(2 * i + 1)));
    }
    for (String name : places.keySet()) {
      begin(name, "the group's secret");
    }
  }

  private void begin(String name, String secret) throws IOException {
    Node n = new Node();
    SplitMix64 random = new SplitMix64(name.hashCode());
    n.server =
        new GroupServer(
            n.root,
            loop,
            new GroupServer.Options(
                "g",
                new GroupKey(secret.getBytes(StandardCharsets.UTF_8)),
                name,
                places,
                LIMITS,
                20_000),
            FileDisk.of(folder.resolve(name)),
            new long[] {1, name.hashCode()},
            random::nextLong);
    new HttpServer(n.root, loop, places.get(name).clients(), 64, n.server::handle);
    nodes.put(name, n);
  }

  @AfterEach
  void end() {
    nodes.values().forEach(n -> n.root.cancel());
    root.cancel();
  }

  private void runUntil(BooleanSupplier reached) throws IOException {
    for (int i = 0; i < 3000 && !reached.getAsBoolean(); i++) {
      loop.after(Span.millis(10), root, loop::pause);
      loop.run();
    }
    assertTrue(reached.getAsBoolean());
  }

  /** The node that serves, once all others know it. */
  private String leader() throws IOException {
    runUntil(
        () ->
            nodes.values().stream().filter(n -> n.server.serving()).count() == 1
                && nodes.values().stream().allMatch(n -> n.server.led()));
    for (Map.Entry<String, Node> n : nodes.entrySet()) {
      if (n.getValue().server.serving()) {
        return n.getKey();
      }
    }
    throw new IOException("nobody serves");
  }

  private String ask(String node, String method, String target, Body body) throws IOException {
    HttpReply[] told = new HttpReply[1];
    nodes
        .get(node)
        .server
        .handle(
            method, target, body == null ? new byte[0] : MsgPack.encode(body), r -> told[0] = r);
    runUntil(() -> told[0] != null);
    return StateServerTest.text(told[0]);
  }

  private String follower(String leader) {
    return nodes.keySet().stream().filter(n -> !n.equals(leader)).findFirst().orElseThrow();
  }

  /** What one node answers, three answer word for word, whichever of them is asked. */
  @Test
  void threeAnswerAsOneDoes() throws IOException {
    String asked = follower(leader());
    Traces.check("state-service", StateServerTest.conversation((m, t, b) -> ask(asked, m, t, b)));
  }

  /**
   * What was answered outlives its leader, a restart, and a snapshot that a node lacks; a lease
   * goes on with its full time.
   */
  @Test
  void whatWasAnsweredOutlivesLeaders() throws IOException {
    String first = leader();
    assertEquals(
        "200 {tenancy=1}", ask(first, "POST", "/leases", Body.of().with("ttlMs", 60_000L)));
    Body led = put("led", 1L).with("tenancy", 1L);
    assertEquals("200 {epoch=2}", ask(first, "POST", "/multi", txn(List.of(), led)));
    nodes.remove(first).root.cancel();

    String second = leader();
    assertNotEquals(first, second);
    for (int i = 0; i < 60; i++) {
      // More than a snapshot is taken after, so that the one that is gone can't be sent entries.
      Body t = txn(List.of(), put("k" + i, "x".repeat(900)));
      assertEquals("200 {epoch=" + (i + 3) + "}", ask(second, "POST", "/multi", t));
    }
    begin(first, "the group's secret");
    runUntil(() -> nodes.get(first).server.led());
    assertEquals(
        "200 {path=led, data={x=1}, stamp=2, tenancy=1}", ask(first, "GET", "/kv/led", null));
    nodes.remove(second).root.cancel();

    String third = leader();
    assertEquals("200 {tenancy=1}", ask(third, "POST", "/leases/1/extend", null));
    assertTrue(ask(first, "GET", "/kv/k59", null).startsWith("200"));
    assertEquals("200 {epoch=63}", ask(first, "POST", "/multi", txn(List.of(), put("n", 1L))));
    begin(second, "the group's secret");
    runUntil(() -> nodes.get(second).server.led());
    assertTrue(ask(second, "GET", "/kv/n", null).startsWith("200"));
  }

  /** Alone it neither answers nor accepts; and a node with another key is no company. */
  @Test
  void aMinorityServesNobody() throws IOException {
    String leader = leader();
    List<String> gone = nodes.keySet().stream().filter(n -> !n.equals(leader)).toList();
    for (String name : gone) {
      nodes.remove(name).root.cancel();
    }
    Node alone = nodes.get(leader);
    runUntil(() -> !alone.server.serving());
    begin(gone.get(0), "another group's secret");
    loop.after(Span.seconds(3), root, loop::pause);
    loop.run();
    assertTrue(!alone.server.serving() && !nodes.get(gone.get(0)).server.serving());
    assertEquals("503", ask(leader, "GET", "/kv/a", null));
    assertEquals("503", ask(leader, "POST", "/multi", txn(List.of(), put("a", 1L))));
  }
}
