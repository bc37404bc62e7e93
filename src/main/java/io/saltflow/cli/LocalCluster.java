package io.saltflow.cli;

import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.controller.ControllerNode;
import io.saltflow.controller.OptionalInterfaces;
import io.saltflow.emulator.CloudServer;
import io.saltflow.emulator.EmulatedCloud;
import io.saltflow.emulator.EmulatedWorker;
import io.saltflow.emulator.ObjectStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.FileSystemDirectory;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.kvserver.StandaloneServer;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.services.ServiceController;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Complete cluster in one process on the loopback interface, for {@code local}: a controller
 * configured as by {@code serve}, a key-value store, and an emulated cloud with its machines.
 */
final class LocalCluster extends Routine {
  /** Team of submitted jobs that do not specify one. */
  static final String DEFAULT_TEAM = "local";

  static final String ZONE = "here";
  private static final Resources MACHINE_SIZE = new Resources(8, 1, 32);
  private static final TimeSpan BOOT_TIME = TimeSpan.seconds(1);
  private static final double CLOUD_RPS = 20;
  private static final TimeSpan LIST_LAG = TimeSpan.seconds(1);
  private static final EmulatedWorker.Timing WORKER_TIMING =
      new EmulatedWorker.Timing(TimeSpan.seconds(1), TimeSpan.seconds(8));
  private static final KeyValueLimits STORE_LIMITS = new KeyValueLimits(2000, 1000, 64, 32);
  private static final long SNAPSHOT_BYTES = 16 << 20;
  private static final String SETTINGS_TEMPLATE =
      """
      host_name = "local"
      zone = "%s"
      serve_on = "%s"
      mesh_addr = "127.0.0.1:0"
      [endpoints]
      cloud = "%s"
      state = "%s"
      [settings]
      size = 1
      [[settings.teams]]
      name = "%s"
      [settings.workers]
      report_s = %s
      lease_s = %s
      cancel_s = 20.0
      [settings.state]
      rps = %s
      write_rps = %s
      value_kb = %s
      txn_ops = %d
      [settings.cloud]
      rps = %s
      list_lag_s = %s
      [settings.resources]
      sockets = 2000
      """;

  private static final TimeSpan READY_CHECK_INTERVAL = TimeSpan.millis(10);

  /**
   * Options of {@code local}.
   *
   * @param machines the maximum number of emulated machines
   * @param dataDirectory the directory for accepted jobs, or {@code null} to keep them in memory
   */
  record Options(InetSocketAddress httpAddress, int machines, Path dataDirectory) {}

  private final EventLoop loop;
  private final StandaloneServer keyValueServer;
  private final ControllerNode node;
  private final int machines;
  private final InetSocketAddress httpAddress;
  private final InetSocketAddress amqpAddress;

  /**
   * Opens the listening sockets. Nothing runs until {@link #start}.
   *
   * @throws IOException if an address is in use or the data directory cannot be used
   */
  LocalCluster(
      EventLoop loop,
      Options options,
      OperatorSettings operator,
      OptionalInterfaces interfaces,
      long seed)
      throws IOException, ConfigException {
    super(null);
    this.loop = loop;
    this.machines = options.machines();
    this.httpAddress = options.httpAddress();
    this.amqpAddress = interfaces.amqpSettings().listen();
    UniformRandomProvider random = new SplitMix64(seed);
    keyValueServer =
        new StandaloneServer(
            this,
            loop,
            new StandaloneServer.Options(STORE_LIMITS, SNAPSHOT_BYTES),
            options.dataDirectory() == null ? null : openDataDirectory(options.dataDirectory()),
            new long[] {random.nextLong(), random.nextLong()});
    InetSocketAddress emulatorAddress = startEmulators(random, options);
    node =
        new ControllerNode(
            loop,
            platformSettings(options.httpAddress(), emulatorAddress),
            operator,
            interfaces,
            random.nextLong());
  }

  /**
   * Serves the key-value store and the cloud on one port and returns its address. Machines are
   * created later, when the node exists.
   */
  private InetSocketAddress startEmulators(UniformRandomProvider random, Options options)
      throws IOException {
    KeyValueServer storeServer = keyValueServer.server();
    JobDescriptions descriptions = new JobDescriptions(this::recordedValue);
    ObjectStore objectStore =
        new ObjectStore(
            descriptions::spec, id -> serviceParameters(descriptions.serviceParameters(id)));
    MachineType type = new MachineType("box", MACHINE_SIZE, 10, 1.0, 0.5, BOOT_TIME, List.of(ZONE));
    // Names must differ from those of an earlier process, whose machines no longer exist.
    String prefix = String.format("vm-%010x-", System.currentTimeMillis());
    EmulatedCloud cloud =
        new EmulatedCloud(
            List.of(type), options.machines(), CLOUD_RPS, LIST_LAG, prefix, loop.now());
    CloudServer cloudServer =
        new CloudServer(
            this,
            loop,
            cloud,
            (parent, instance) ->
                new EmulatedWorker(
                    parent,
                    loop,
                    instance,
                    List.of(new InetSocketAddress("127.0.0.1", node.port())),
                    WORKER_TIMING,
                    objectStore,
                    random::nextLong));
    HttpServer server =
        new HttpServer(
            this,
            loop,
            Addresses.parse("127.0.0.1:0"),
            256,
            (method, target, body, answer) -> {
              if (KeyValueServer.serves(target)) {
                storeServer.handle(method, target, body, answer);
              } else {
                cloudServer.handle(method, target, body, answer);
              }
            });
    return new InetSocketAddress("127.0.0.1", server.port());
  }

  private static FileSystemDirectory openDataDirectory(Path data) throws IOException {
    if (Files.exists(data.resolve("state.log"))) {
      // Opening it as an empty directory would hide previously accepted jobs.
      throw new IOException(
          data + ": written by an earlier version; this version cannot read state.log");
    }
    return FileSystemDirectory.open(data);
  }

  private MessageBody recordedValue(String key) {
    KeyValueStore.Value value = keyValueServer.store().value(key);
    return value == null ? null : value.data();
  }

  private static ObjectStore.ServiceParameters serviceParameters(
      ServiceController.TaskParameters parameters) {
    return parameters == null
        ? null
        : new ObjectStore.ServiceParameters(parameters.port(), parameters.parameters());
  }

  private static PlatformSettings platformSettings(
      InetSocketAddress http, InetSocketAddress emulatorAddress) throws ConfigException {
    String emulators = Addresses.text(emulatorAddress);
    String settings =
        SETTINGS_TEMPLATE.formatted(
            ZONE,
            Addresses.text(http),
            emulators,
            emulators,
            DEFAULT_TEAM,
            WORKER_TIMING.heartbeatInterval().toSeconds(),
            WORKER_TIMING.lease().toSeconds(),
            STORE_LIMITS.requestsPerSecond(),
            STORE_LIMITS.writesPerSecond(),
            STORE_LIMITS.maxValueKib(),
            STORE_LIMITS.maxTransactionWrites(),
            CLOUD_RPS,
            LIST_LAG.toSeconds());
    return PlatformSettings.parse(settings);
  }

  /** Starts the cluster and runs {@code ready} once jobs can be submitted. */
  void start(Runnable ready) {
    node.start();
    awaitReady(ready);
  }

  private void awaitReady(Runnable ready) {
    if (node.ready()) {
      ready.run();
    } else {
      loop.schedule(READY_CHECK_INTERVAL, this, () -> awaitReady(ready));
    }
  }

  /** Returns the line that announces the HTTP and AMQP addresses. */
  String readyLine() {
    return "ready: http "
        + Addresses.text(new InetSocketAddress(httpAddress.getAddress(), node.port()))
        + ", amqp "
        + Addresses.text(new InetSocketAddress(amqpAddress.getAddress(), node.amqpPort()))
        + ", "
        + machines
        + " machines";
  }

  /** Returns the HTTP port. */
  int port() {
    return node.port();
  }

  /** Returns the AMQP port. */
  int amqpPort() {
    return node.amqpPort();
  }

  @Override
  protected void onCancel() {
    node.cancel();
  }
}
