package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.FreePorts;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a controller process that does not serve immediately after it was killed and
 * restarted on the same ports with connections still open. Only the key-value store and the cloud
 * are emulated.
 */
class ControllerRestartTest {
  private static final byte[] NO_BODY = new byte[0];
  private static final int STARTS = 4;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  @TempDir Path directory;
  private final Root root = new Root();
  private final List<Process> processes = new ArrayList<>();
  private EventLoop loop;
  private EmulatedEnvironment environment;
  private Path settings;
  private InetSocketAddress userAddress;
  private HttpClient userClient;
  private int status;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop();
    environment = new EmulatedEnvironment(loop, new KeyValueLimits(1000, 1000, 8, 8));
    String address = environment.serve(loop, environment.handler());
    userAddress = FreePorts.address();
    settings =
        Files.writeString(
            directory.resolve("node.toml"),
            PlatformSettingsTest.SETTINGS
                .replace("10.9.9.9:1", address)
                .replaceAll(
                    "serve_on = \"[^\"]*\"", "serve_on = \"" + Addresses.text(userAddress) + '"')
                .replaceAll(
                    "mesh_addr = \"[^\"]*\"",
                    "mesh_addr = \"" + Addresses.text(FreePorts.address()) + '"'));
    userClient = new HttpClient(root, loop, userAddress, 4, 16);
  }

  @AfterEach
  void stopProcesses() {
    processes.forEach(process -> process.destroyForcibly().onExit().join());
    root.cancel();
    environment.cancel();
  }

  private Process startController() throws IOException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "io.saltflow.app.Main",
                "serve",
                "--config",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(new File(directory.toFile(), "log-" + processes.size()))
            .start();
    processes.add(process);
    return process;
  }

  /**
   * Repeats a request until it is answered with another status than 503; returns 0 without an
   * answer.
   */
  private int callUntilServed(String method, String path, byte[] body) throws IOException {
    for (int i = 0; i < 600; i++) {
      call(method, path, body);
      if (status != 0 && status != 503) {
        return status;
      }
      loop.schedule(TimeSpan.millis(20), root, loop::pause);
      loop.run();
    }
    return status;
  }

  private static byte[] job(int jobNumber) {
    return MessagePackCodec.encode(
        ControllerNodeTest.submission(String.format("req-%06d", jobNumber), "red"));
  }

  @Test
  void restartedControllerServesImmediatelyWithNewNonceAndTerm() throws Exception {
    Set<Object> nonces = new HashSet<>();
    Object term = 0L;
    for (int processNumber = 1; processNumber <= STARTS; processNumber++) {
      Process process = startController();
      assertEquals(201, callUntilServed("POST", "/submissions", job(processNumber)));
      for (int jobNumber = 1; jobNumber <= processNumber; jobNumber++) {
        String path = String.format("/submissions/req-%06d", jobNumber);
        assertEquals(
            200, callUntilServed("GET", path, NO_BODY), "accepted by process " + jobNumber);
      }
      KeyValueStore.Value leaderKey = awaitNewLeader(nonces);
      assertTrue(nonces.add(leaderKey.data().get("nonce")), "nonce must be unique");
      assertNotEquals(term, leaderKey.data().get("term"));
      term = leaderKey.data().get("term");
      assertTrue(process.isAlive());
      process.destroyForcibly().onExit().join();
    }
    assertEquals(STARTS, nonces.size());
  }

  /** Returns the leader key once it is written by a new process. */
  private KeyValueStore.Value awaitNewLeader(Set<Object> earlierNonces) throws IOException {
    for (int i = 0; i < 1500; i++) {
      KeyValueStore.Value leaderKey = environment.store.value("lead");
      if (leaderKey != null && !earlierNonces.contains(leaderKey.data().get("nonce"))) {
        return leaderKey;
      }
      loop.schedule(TimeSpan.millis(20), root, loop::pause);
      loop.run();
    }
    throw new AssertionError("no new leader");
  }

  /**
   * Guards against a controller that fails, or stays unavailable, if it starts during a store
   * outage.
   */
  @Test
  void controllerStartedDuringOutageAnswers503ThenServes() throws Exception {
    environment.store.setDown(true, loop.now());
    startController();
    for (int i = 0; i < 600 && call("POST", "/submissions", job(1)) == 0; i++) {
      loop.schedule(TimeSpan.millis(20), root, loop::pause);
      loop.run();
    }
    assertEquals(503, status);
    environment.store.setDown(false, loop.now());
    assertEquals(201, callUntilServed("POST", "/submissions", job(1)));
    assertTrue(processes.get(0).isAlive());
  }

  private int call(String method, String path, byte[] body) throws IOException {
    status = -1;
    userClient.call(
        method,
        path,
        body,
        TimeSpan.seconds(2),
        answer -> {
          status = answer.status();
          loop.schedule(TimeSpan.millis(1), root, loop::pause);
        });
    while (status < 0) {
      loop.run();
    }
    return status;
  }
}
