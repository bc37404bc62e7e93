package io.saltflow.cli;

import io.saltflow.emulator.CloudServer;
import io.saltflow.emulator.EmulatedCloud;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.emulator.EmulatedWorker;
import io.saltflow.emulator.ObjectStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.records.ServiceRepository;
import io.saltflow.services.ServiceController;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.LoopThread;
import io.saltflow.transport.Routine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Measures concurrent rollouts. The controllers run as separate processes that are throttled to a
 * fraction of a core. The key-value store with a limited write rate, the cloud, the machines and
 * the probed replicas are emulated in this process on the loopback interface. {@code
 * docs/PERFORMANCE.md} describes how to run it.
 */
public final class RolloutBenchmark {
  private static final int FIRST_PORT = 10_000;
  private static final int MACHINES = 80;
  private static final TimeSpan HEARTBEAT_INTERVAL = TimeSpan.seconds(3);
  private static final TimeSpan LEASE = TimeSpan.seconds(20);
  private static final long MAX_RUN_S = 900;
  private static final long GATE_MS = 10_000;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final int services = Integer.getInteger("services", 50);
  private final int replicas = Integer.getInteger("replicas", 40);
  private final int nodeCount = Integer.getInteger("nodes", 1);
  private final double cpuShare = Double.parseDouble(System.getProperty("share", "0.1"));
  private final int outageS = Integer.getInteger("outage", 0);
  private final double writesPerSecond = Double.parseDouble(System.getProperty("changes", "25"));
  private final Path folder = Files.createTempDirectory("rollout-load");
  private final Root root = new Root();
  private final EventLoop loop = new EventLoop();
  private final EmulatedKeyValueStore store =
      new EmulatedKeyValueStore(
          new KeyValueLimits(writesPerSecond * 4, writesPerSecond, 8, 8),
          batches -> {},
          loop.now());
  private final List<InetSocketAddress> nodes = new ArrayList<>();
  private final List<InetSocketAddress> askOrder = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Long> checkingSince = new HashMap<>();
  private final Histogram delays = new Histogram(3);
  private String emulatorAddress;
  private volatile boolean done;

  private RolloutBenchmark() throws IOException {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    RolloutBenchmark benchmark = new RolloutBenchmark();
    try {
      benchmark.run();
    } finally {
      benchmark.end();
    }
    System.exit(0);
  }

  // ---- Emulators

  private void startEmulators() throws IOException {
    KeyValueServer storeServer =
        new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    JobDescriptions descriptions = new JobDescriptions(this::record);
    ObjectStore objectStore =
        new ObjectStore(
            descriptions::spec, id -> serviceParameters(descriptions.serviceParameters(id)));
    MachineType type =
        new MachineType(
            "box",
            new Resources(32, 0, 256),
            10,
            1.0,
            0.5,
            TimeSpan.seconds(2),
            List.of("za", "zb", "zc"));
    EmulatedCloud cloud =
        new EmulatedCloud(List.of(type), MACHINES, 20, TimeSpan.seconds(1), "vm-", loop.now());
    CloudServer cloudServer =
        new CloudServer(
            root,
            loop,
            cloud,
            (parent, instance) ->
                new EmulatedWorker(
                    parent,
                    loop,
                    instance,
                    nodes,
                    new EmulatedWorker.Timing(HEARTBEAT_INTERVAL, LEASE),
                    objectStore,
                    new java.util.SplittableRandom(instance.id().hashCode())::nextLong));
    HttpServer server =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            512,
            (method, target, body, answer) -> {
              if (KeyValueServer.serves(target)) {
                storeServer.handle(method, target, body, answer);
              } else {
                cloudServer.handle(method, target, body, answer);
              }
            });
    emulatorAddress = "127.0.0.1:" + server.port();
    loop.scheduleRepeating(TimeSpan.millis(20), root, this::sampleRecords);
  }

  private MessageBody record(String key) {
    KeyValueStore.Value value = store.value(key);
    return value == null ? null : value.data();
  }

  private static ObjectStore.ServiceParameters serviceParameters(
      ServiceController.TaskParameters parameters) {
    return parameters == null
        ? null
        : new ObjectStore.ServiceParameters(parameters.port(), parameters.parameters());
  }

  /** Records the delay between the earliest time at which a gate can pass and the recorded step. */
  private void sampleRecords() {
    long now = System.nanoTime() / 1_000_000;
    for (int i = 0; i < services; i++) {
      String name = "s" + i;
      String phase = phase(name);
      if ("CHECKING".equals(phase)) {
        checkingSince.putIfAbsent(name, now);
      } else {
        Long since = checkingSince.remove(name);
        if (since != null && ("WAITING".equals(phase) || "DONE".equals(phase))) {
          delays.recordValue(Math.max(0, now - since - GATE_MS));
        }
      }
    }
  }

  private String phase(String name) {
    KeyValueStore.Value value = store.value(ServiceRepository.recordKey(name));
    return value != null
            && value.data().get("current") instanceof Map<?, ?> current
            && current.get("phase") instanceof String phase
        ? phase
        : null;
  }

  /** Runs a call on the event loop's thread and returns its result. */
  private <T> T callOnLoop(Supplier<T> call) throws InterruptedException {
    AtomicReference<T> out = new AtomicReference<>();
    CountDownLatch finished = new CountDownLatch(1);
    loop.post(
        () -> {
          out.set(call.get());
          finished.countDown();
        });
    finished.await();
    return out.get();
  }

  // ---- Controllers

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void startNodes() throws IOException {
    List<Integer> meshPorts = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(Addresses.parse("127.0.0.1:" + freePort()));
      meshPorts.add(freePort());
    }
    for (int i = 0; i < nodeCount; i++) {
      String config = settings(i, meshPorts);
      Path file = Files.writeString(folder.resolve("node-" + i + ".toml"), config);
      List<String> command = new ArrayList<>(List.of("java", "-Xmx72m", "-XX:+UseSerialGC"));
      command.addAll(List.of("-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true"));
      command.addAll(List.of("-jar", System.getProperty("jar", "target/saltflow.jar"), "serve"));
      command.addAll(List.of("--services", "--config", file.toString()));
      processes.add(
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(folder.resolve("node-" + i + ".log").toFile())
              .start());
    }
  }

  private String settings(int i, List<Integer> meshPorts) {
    StringBuilder peers = new StringBuilder();
    for (int s = 0; s < nodeCount; s++) {
      if (s != i) {
        peers.append(
            "[[siblings]]\nhost_name = \"node-%d\"\nzone = \"za\"\naddr = \"127.0.0.1:%d\"\n"
                .formatted(s, meshPorts.get(s)));
      }
    }
    return """
        host_name = "node-%d"
        zone = "za"
        serve_on = "%s"
        mesh_addr = "127.0.0.1:%d"
        %s[endpoints]
        cloud = "%s"
        state = "%s"
        [settings]
        size = %d
        [[settings.teams]]
        name = "local"
        [settings.workers]
        report_s = 3.0
        lease_s = 20.0
        cancel_s = 40.0
        [settings.state]
        rps = %s
        write_rps = %s
        value_kb = 8.0
        txn_ops = 8
        [settings.cloud]
        rps = 20.0
        list_lag_s = 1.0
        [settings.resources]
        sockets = 2000
        cpu_share = %s
        """
        .formatted(
            i,
            Addresses.text(nodes.get(i)),
            meshPorts.get(i),
            peers,
            emulatorAddress,
            emulatorAddress,
            nodeCount,
            writesPerSecond * 4,
            writesPerSecond,
            cpuShare);
  }

  /** Returns the processor time that the threads of a process have used, in nanoseconds. */
  private static long cpuNanos(Process process) {
    long sum = 0;
    try (Stream<Path> threads = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
      for (Path path : threads.toList()) {
        sum += Long.parseLong(Files.readString(path.resolve("schedstat")).split(" ")[0]);
      }
    } catch (IOException exception) {
      // A thread ended during the scan; the next sample reads the remaining threads.
    }
    return sum;
  }

  /**
   * Limits a process to its share of a core by suspending it, with bursts of 100 ms of that share.
   */
  private void throttle(Process process) {
    long startedAt = System.nanoTime();
    long used = cpuNanos(process);
    boolean stopped = false;
    double allowed = 0;
    long last = startedAt;
    try {
      while (!done && process.isAlive()) {
        TimeUnit.MILLISECONDS.sleep(5);
        long now = System.nanoTime();
        allowed = Math.min(cpuShare * 1e8, allowed + (now - last) * cpuShare);
        last = now;
        long total = Math.max(used, cpuNanos(process));
        allowed -= total - used;
        used = total;
        if (allowed < 0 != stopped) {
          stopped = allowed < 0;
          new ProcessBuilder("kill", stopped ? "-STOP" : "-CONT", "" + process.pid())
              .start()
              .waitFor();
        }
      }
      new ProcessBuilder("kill", "-CONT", "" + process.pid()).start().waitFor();
    } catch (InterruptedException | IOException exception) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- The run

  private int runCommand(String command, String... words) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(output, true);
    if (askOrder.isEmpty()) {
      askOrder.addAll(nodes);
    }
    for (int tries = 0; tries < 200; tries++) {
      for (InetSocketAddress node : List.copyOf(askOrder)) {
        List<String> all = new ArrayList<>(List.of(words));
        all.addAll(List.of("--server", Addresses.text(node)));
        output.reset();
        int code = new ServiceCommands(out, out).run(command, all.toArray(new String[0]));
        if (code == 0) {
          // Ask the leader first from now on, as other nodes are retried for half a minute.
          askOrder.remove(node);
          askOrder.add(0, node);
          return 0;
        }
        if (code != ExitCodes.NO_ANSWER) {
          throw new IllegalStateException(output.toString(StandardCharsets.UTF_8));
        }
      }
    }
    throw new IllegalStateException("no answer: " + output);
  }

  private record Sample(long nanos, long cpuNanos, long revision) {}

  private Sample sample() throws InterruptedException {
    long cpu = processes.stream().mapToLong(RolloutBenchmark::cpuNanos).max().orElse(0);
    return new Sample(System.nanoTime(), cpu, callOnLoop(store::revision));
  }

  private void print(String period, Sample from, Sample to) {
    double seconds = (to.nanos - from.nanos) / 1e9;
    System.out.printf(
        "%s: %.0f s, busiest controller %.3f of a core, %.1f revisions a second%n",
        period,
        seconds,
        (to.cpuNanos - from.cpuNanos) / 1e9 / seconds,
        (to.revision - from.revision) / seconds);
  }

  private long countInPhase(String phase) throws InterruptedException {
    return callOnLoop(
        () -> {
          long count = 0;
          for (int i = 0; i < services; i++) {
            count += phase.equals(phase("s" + i)) ? 1 : 0;
          }
          return count;
        });
  }

  private void run() throws Exception {
    startEmulators();
    LoopThread.start(loop, root);
    startNodes();
    TimeUnit.SECONDS.sleep(3);
    if (cpuShare < 1) {
      for (Process process : processes) {
        new Thread(() -> throttle(process)).start();
      }
    }
    createServices();
    TimeUnit.SECONDS.sleep(Integer.getInteger("settle", 90));
    Sample idleStart = sample();
    TimeUnit.SECONDS.sleep(30);
    Sample rolloutStart = sample();
    print("before", idleStart, rolloutStart);
    Object term = callOnLoop(() -> store.value("lead").data().get("term"));
    Path plan =
        Files.writeString(
            folder.resolve("plan.json"),
            "{\"steps\": [{\"count\": 1}, {\"percent\": 100}], \"surge\": 4, \"startsAtOnce\": 4,"
                + " \"settleS\": 5, \"limitS\": 900, \"gate\": \"ready >= 95% and age >= 10s and"
                + " probe(\\\"/\\\").p90 < 1s\", \"stop\": \"failures(2m) >= 5\"}");
    for (int i = 0; i < services; i++) {
      runCommand("rollout", "start", "s" + i, "v2", "--plan", plan.toString());
    }
    Sample rolloutsStarted = sample();
    print("started", rolloutStart, rolloutsStarted);
    if (outageS > 0) {
      TimeUnit.SECONDS.sleep(40);
      callOnLoop(() -> setDown(true));
      TimeUnit.SECONDS.sleep(outageS);
      callOnLoop(() -> setDown(false));
      System.out.println("the key-value store was down for " + outageS + " s");
    }
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_RUN_S);
    while (countInPhase("DONE") < services && System.nanoTime() < deadline) {
      TimeUnit.SECONDS.sleep(1);
    }
    Sample end = sample();
    print("rolling", rolloutsStarted, end);
    System.out.printf(
        "%d of %d done, %d taken back; term %s before and %s after; steps passed %d, after their"
            + " gate could: p50 %d ms, p99 %d ms, most %d ms%n",
        countInPhase("DONE"),
        services,
        countInPhase("ROLLED_BACK"),
        term,
        callOnLoop(() -> store.value("lead").data().get("term")),
        delays.getTotalCount(),
        delays.getValueAtPercentile(50),
        delays.getValueAtPercentile(99),
        delays.getMaxValue());
    System.out.println("logs: " + folder);
  }

  private void createServices() throws Exception {
    for (int i = 0; i < services; i++) {
      Path file =
          Files.writeString(
              folder.resolve("s.json"),
              "{\"name\": \"s%d\", \"replicas\": %d, \"cores\": 1, \"bundle\": \"v1\", \"port\": %d}"
                  .formatted(i, replicas, FIRST_PORT + i * replicas * 8));
      runCommand("service", "apply", file.toString());
    }
  }

  private Boolean setDown(boolean down) {
    store.setDown(down, loop.now());
    return down;
  }

  private void end() {
    done = true;
    processes.forEach(Process::destroyForcibly);
    loop.stop();
  }
}
