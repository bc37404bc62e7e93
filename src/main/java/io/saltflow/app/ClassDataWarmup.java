package io.saltflow.app;

import io.saltflow.autoscaler.ScaleOutRequest;
import io.saltflow.cli.SaltflowCommand;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.controller.ControllerNode;
import io.saltflow.leader.InheritedState;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LedgerEntry;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;

/**
 * Exercises the start-up path of a controller so that the build can write its classes to the
 * class-data archive beside the jar. On a tenth of a core, loading them from the jar would take
 * most of the time until the controller is healthy.
 */
public final class ClassDataWarmup {
  private static final String SETTINGS =
      """
      host_name = "rehearsal"
      zone = "z"
      serve_on = "127.0.0.1:0"
      mesh_addr = "127.0.0.1:0"
      [[siblings]]
      host_name = "other"
      zone = "z"
      addr = "127.0.0.1:9"
      [endpoints]
      cloud = "127.0.0.1:9"
      state = "127.0.0.1:9"
      [settings]
      size = 2
      [[settings.teams]]
      name = "t"
      cpus = 8.0
      cpus_max = 100.0
      [settings.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [settings.state]
      rps = 100.0
      write_rps = 25.0
      value_kb = 8.0
      txn_ops = 8
      [settings.cloud]
      rps = 4.0
      list_lag_s = 5.0
      """;

  private static final Term TERM = new Term(1);
  private static final MachineId MACHINE = new MachineId("vm-0");

  private ClassDataWarmup() {}

  /** Runs the warm-up once. */
  public static void main(String[] args) throws Exception {
    // Every start loads the jar's entry point, which the warm-up does not run.
    Class.forName(Main.class.getName());
    // Logging classes must be loaded too, but the log lines are discarded.
    SaltflowCommand.setLogLevel(System.getenv().getOrDefault("LOG_LEVEL", "info"));
    System.setErr(new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8));
    SaltflowCommand.run(
        new String[] {"check-config", "--config", "/dev/null"}, System.err, System.err);
    PlatformSettings config = PlatformSettings.parse(SETTINGS);
    OperatorSettings operator = OperatorSettings.defaults();
    warmUpCore(config, operator);
    warmUpServing(config, operator);
  }

  private static JobSpec job(int number) {
    return new JobSpec(
        new JobId(JobId.PREFIX + number),
        "c",
        "t",
        false,
        number % 2 == 0 ? Priority.HIGH : Priority.LOW,
        20,
        new Resources(2, 0, 2),
        null,
        null,
        false,
        number % 3 == 0,
        true,
        "image",
        1,
        TimeSpan.seconds(30),
        TimeSpan.seconds(number % 2 * 10),
        TimeSpan.seconds(2),
        null,
        List.of());
  }

  private static void warmUpCore(PlatformSettings config, OperatorSettings operator)
      throws InvalidMessageException {
    MonotonicTime now = new MonotonicTime(1000);
    LeaderCore core = newCore(operator.policy(config), now);
    for (int i = 2; i < 6; i++) {
      byte[] encoded = MessagePackCodec.encode(JobCodec.encode(job(i)));
      core.jobs().onAdded(JobCodec.decode(MessagePackCodec.decode(encoded)), i, true);
    }
    for (int step = 1; step < 40; step++) {
      now = now.plus(TimeSpan.seconds(1));
      advance(core, step, now);
    }
    core.jobs().onRemoved(job(2).id(), now);
    core.statusLine();
    PeerHeartbeat.JobCounts counts = new PeerHeartbeat.JobCounts(job(1).id(), 1, 1);
    PeerHeartbeat heartbeat =
        new PeerHeartbeat("h", TERM, true, 0, List.of(counts), false, List.of(), 0, false);
    PeerHeartbeat.decode(heartbeat.encode());
    JobRecordCodec.liveJobId("none");
  }

  private static LeaderCore newCore(Policy policy, MonotonicTime now) {
    MachineType type =
        new MachineType(
            "m", new Resources(8, 0, 32), 0.3, 1, 0.3, TimeSpan.seconds(15), List.of("z"));
    return new LeaderCore(
        policy,
        TERM,
        new InheritedState(
            List.of(new Job(job(1), 0, new BitSet(), true)),
            List.of(new LedgerEntry(MACHINE, "m", "z", false)),
            true,
            List.of(type)),
        now,
        1000);
  }

  /** Runs one second of a leader: a tick, scaling out and in, and a worker's heartbeat. */
  private static void advance(LeaderCore core, int step, MonotonicTime now) {
    core.tick(now);
    for (ScaleOutRequest request : core.machines().planScaleOut(now)) {
      core.machines().onCreated(request, List.of(new MachineId("vm-" + step)), now);
    }
    core.machines().onRecorded(core.machines().toRecord());
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(MACHINE, "", "m", "z", false, 1, step, TERM, null, List.of());
    MessagePackCodec.encode(
        WorkerCodec.encodeCommands(TERM, core.onHeartbeat(heartbeat, true, now)));
    core.machines().onDeleted(core.machines().planScaleIn(now), now);
    for (Job job : core.jobs().toRecord()) {
      core.jobs().onRecordingStarted(job);
    }
  }

  private static void warmUpServing(PlatformSettings config, OperatorSettings operator)
      throws IOException {
    EventLoop loop = new EventLoop();
    ControllerNode node = new ControllerNode(loop, config, operator, 1);
    node.start();
    HttpClient client =
        new HttpClient(node, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    byte[] body = MessagePackCodec.encode(JobCodec.encode(job(1)));
    TimeSpan timeout = TimeSpan.seconds(1);
    for (String path : List.of(Wire.PATH_HEALTH, Wire.PATH_JOBS + "/" + job(1).id(), "/none")) {
      client.call("GET", path, new byte[0], timeout, answer -> {});
    }
    client.call("POST", Wire.PATH_JOBS, body, timeout, answer -> {});
    client.call("POST", Wire.PATH_HEARTBEAT, body, timeout, answer -> {});
    loop.schedule(TimeSpan.millis(1500), node, loop::pause);
    loop.run();
    node.cancel();
  }
}
