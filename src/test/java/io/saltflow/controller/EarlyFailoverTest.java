package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.FreePorts;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against failover that waits for the leader's lease, here longer than the test, or that
 * replaces a live leader.
 */
class EarlyFailoverTest {
  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  @TempDir Path directory;
  private final Root root = new Root();
  private final List<Integer> statuses = new ArrayList<>();
  private EventLoop loop;
  private EmulatedEnvironment environment;
  private String environmentAddress;
  private OperatorSettings settings;
  private InetSocketAddress[] meshAddresses;
  private int lastSeed;
  private ControllerNode first;
  private ControllerNode second;

  @BeforeEach
  void startNodes() throws IOException, ConfigException {
    loop = new EventLoop();
    environment = new EmulatedEnvironment(loop, new KeyValueLimits(1000, 1000, 8, 8));
    environmentAddress = environment.serve(loop, environment.handler());
    settings =
        OperatorSettings.read(
            Files.writeString(directory.resolve("ops.json"), "{\"leaderLeaseS\": 60}"));
    meshAddresses = new InetSocketAddress[] {FreePorts.address(), FreePorts.address()};
    first = startNode("node-a", 0);
    runUntil(() -> first.ready());
    second = startNode("node-b", 1);
    // Wait until heartbeats were exchanged in both directions.
    runFor(1500);
  }

  @AfterEach
  void cancelRoutines() {
    first.cancel();
    second.cancel();
    root.cancel();
    environment.cancel();
  }

  private ControllerNode startNode(String name, int index) throws IOException, ConfigException {
    PlatformSettings platformSettings =
        PlatformSettings.parse(
            PlatformSettingsTest.SETTINGS
                .replace("10.9.9.9:1", environmentAddress)
                .replace("node-0", name)
                .replaceAll(
                    "mesh_addr = \"[^\"]*\"",
                    "mesh_addr = \"" + Addresses.text(meshAddresses[index]) + '"')
                .replace(
                    "[endpoints]",
                    "[[siblings]]\nhost_name = \""
                        + (index == 0 ? "node-b" : "node-a")
                        + "\"\nzone = \"a\"\naddr = \""
                        + Addresses.text(meshAddresses[1 - index])
                        + "\"\n[endpoints]"));
    ControllerNode node = new ControllerNode(loop, platformSettings, settings, ++lastSeed);
    node.start();
    return node;
  }

  private void runFor(long ms) throws IOException {
    loop.schedule(TimeSpan.millis(ms), root, loop::pause);
    loop.run();
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < 1000 && !condition.getAsBoolean(); i++) {
      runFor(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  private Object leaderHost() {
    KeyValueStore.Value lead = environment.store.value("lead");
    return lead == null ? null : lead.data().get("host");
  }

  /** Sends the heartbeat of a worker that has seen a fencing token to a controller. */
  private void sendHeartbeat(ControllerNode node, int worker, long fencingToken) {
    HttpClient client =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 1, 4);
    byte[] body =
        MessagePackCodec.encode(
            ControllerNodeTest.heartbeat(fencingToken).with("host", "vm-" + worker));
    client.call(
        "POST", "/checkin", body, TimeSpan.seconds(4), answer -> statuses.add(answer.status()));
  }

  @Test
  void leadershipAndWorkersFailOverBeforeLeaseExpiry() throws IOException {
    assertEquals("node-a", leaderHost());
    long term = (Long) environment.store.value("lead").data().get("term");
    first.cancel();
    runFor(600);
    sendHeartbeat(second, 1, term);
    runFor(50);
    assertEquals("node-a", leaderHost(), "one worker is not enough evidence");
    sendHeartbeat(second, 2, term);
    runUntil(() -> "node-b".equals(leaderHost()));
    assertEquals(term + 1, environment.store.value("lead").data().get("term"));
    runUntil(() -> statuses.size() == 2);
    assertEquals(List.of(200, 200), statuses, "held heartbeats are answered by the new leader");
  }

  /**
   * Guards against replacing a leader of an older version, which would not notice it before its
   * lease expires.
   */
  @Test
  void leaderThatDoesNotWatchItsKeyIsNotReplacedEarly()
      throws IOException, InvalidMessageException {
    long term = (Long) environment.store.value("lead").data().get("term");
    first.cancel();
    MessageBody key = MessageBody.of().with("host", "node-a").with("term", term).with("nonce", "n");
    putRecord("lead", key);
    runFor(600);
    sendHeartbeat(second, 1, term);
    sendHeartbeat(second, 2, term);
    runUntil(() -> statuses.size() == 2);
    assertEquals(List.of(421, 421), statuses);
    assertEquals("node-a", leaderHost());
  }

  private void putRecord(String key, MessageBody data) throws InvalidMessageException {
    MessageBody write = MessageBody.of().with("put", key).with("data", data);
    MessageBody transaction =
        MessageBody.of().with("guards", List.of()).with("writes", List.of(write));
    environment.store.commit(MessagePackCodec.decode(MessagePackCodec.encode(transaction)));
  }

  /**
   * Guards against failover if peer connections are cut and only new workers contact other nodes.
   */
  @Test
  void leaderReachedByItsWorkersIsNotReplaced() throws IOException, ConfigException {
    first.cancel();
    // The same host restarts at once and takes over its own leader key. Its port is free only after
    // one iteration of the event loop, which both processes share here.
    runFor(5);
    first = startNode("node-a", 0);
    runUntil(() -> first.ready());
    assertEquals("node-a", leaderHost());
    Object term = environment.store.value("lead").data().get("term");
    runFor(1200);
    for (int worker = 1; worker <= 5; worker++) {
      sendHeartbeat(second, worker, 0);
    }
    runUntil(() -> statuses.size() == 5);
    assertEquals(List.of(421, 421, 421, 421, 421), statuses);
    assertEquals(term, environment.store.value("lead").data().get("term"));
    assertNotNull(leaderHost());
  }

  /**
   * Guards against a leader that keeps leading after its key was replaced, although its lease is
   * renewed.
   */
  @Test
  void leaderStepsDownWhenItsKeyIsReplaced() throws IOException, InvalidMessageException {
    first.cancel();
    runFor(600);
    long term = (Long) environment.store.value("lead").data().get("term");
    sendHeartbeat(second, 1, term);
    sendHeartbeat(second, 2, term);
    runUntil(() -> "node-b".equals(leaderHost()) && second.ready());
    putRecord("lead", MessageBody.of().with("host", "node-x").with("term", 99L));
    runUntil(() -> !second.ready());
  }
}
