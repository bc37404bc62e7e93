package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.leader.LeaderHarness;
import io.saltflow.model.JobId;
import io.saltflow.model.Resources;
import io.saltflow.model.Revision;
import io.saltflow.model.TaskId;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.services.ProbeLinks;
import io.saltflow.services.ServiceController;
import io.saltflow.services.ServiceNode;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.transport.ReplicaProber;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against gates of rollouts that count time in which the leader's process stood still. The
 * test moves the clock of the leader's loop; a machine goes on meanwhile and its heartbeats arrive
 * after the pause.
 */
class ServicePauseTest {
  private static final int SEEDS = 40;
  private static final String MACHINE = "vm-1";
  private static final int STEP_MS = 100;
  private static final int HEARTBEAT_INTERVAL_MS = 2_000;
  private static final int RUN_MS = 240_000;

  /** How long each replica of the failing version runs, below what the gate asks for. */
  private static final int FAILS_AFTER_MS = 8_000;

  private static final String PLAN =
      "{\"steps\": [{\"percent\": 100}], \"surge\": 1, \"settleS\": 1, \"limitS\": 100,"
          + " \"backLimitS\": 100, \"gate\": \"ready >= 100% for 9.2s\"}";

  /** A leader with one machine, its store and a service of one replica. */
  private static final class World implements AutoCloseable {
    private final ManualClockLoop clock = new ManualClockLoop();
    private final FaultyKeyValueStore store;
    private final LeaderHarness harness;
    private final ServiceController controller;
    private final boolean secondVersionFails;
    private final Map<TaskId, Long> runningSince = new HashMap<>();
    private final Set<JobId> jobs = new HashSet<>();
    private JobId firstVersion;
    private long nextHeartbeatMs;

    World(boolean secondVersionFails) throws IOException, InvalidMessageException {
      this.secondVersionFails = secondVersionFails;
      clock.setClockMs(100_000);
      store = new FaultyKeyValueStore(clock, 1);
      LeaderContext context = store.electLeader(1, () -> {});
      harness =
          new LeaderHarness(
              TestPolicies.of(
                  TimeSpan.seconds(26),
                  TimeSpan.seconds(15),
                  1800,
                  new Policy.TeamQuota("blue", 0, 0, 0, 0)),
              List.of());
      JobRepository jobRepository =
          new JobRepository(store.root, clock.loop, context.store(), "process", LaneRules.NONE);
      ServiceNode node =
          new ServiceNode(
              context.lease(),
              context.store(),
              jobRepository,
              clock::clockMs,
              spec -> null,
              () -> List.of("a", "b"),
              team -> new Resources(100, 0, 1000),
              new ProbeLinks(
                  "host",
                  new ReplicaProber(store.root, clock.loop, 1),
                  () -> List.of(),
                  frame -> {}),
              event -> {},
              () -> {});
      controller = new ServiceController(store.root, clock.loop, node, harness.leader);
      controller.start();
      followJobs(context.store());
      run(2_000);
    }

    private void followJobs(KeyValueClient client) {
      client.list(
          KeyValueClient.RequestPriority.LEADERSHIP,
          Keys.LIVE_JOBS,
          listing -> {
            if (listing != null) {
              listing.entries().forEach(entry -> addJob(entry.key(), entry.value()));
            }
            clock.loop.schedule(
                TimeSpan.millis(HEARTBEAT_INTERVAL_MS), store.root, () -> followJobs(client));
          });
    }

    private void addJob(String key, MessageBody record) {
      try {
        JobId id = JobRecordCodec.liveJobId(key);
        if (jobs.add(id)) {
          firstVersion = firstVersion == null ? id : firstVersion;
          harness.submit(JobRecordCodec.decode(record, new Revision(1)).spec());
        }
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }

    /** Lets the leader and the machine run. */
    void run(long ms) throws IOException {
      for (long end = clock.clockMs() + ms; clock.clockMs() < end; ) {
        store.advance(TimeSpan.millis(STEP_MS));
        harness.now = clock.clockMs();
        harness.leader.tick(harness.time());
        if (clock.clockMs() >= nextHeartbeatMs) {
          sendHeartbeat();
          nextHeartbeatMs = clock.clockMs() + HEARTBEAT_INTERVAL_MS;
        }
      }
    }

    private void sendHeartbeat() {
      harness.now = clock.clockMs();
      for (TaskId task : List.copyOf(runningSince.keySet())) {
        boolean fails = secondVersionFails && !task.job().equals(firstVersion);
        if (fails && clock.clockMs() - runningSince.get(task) >= FAILS_AFTER_MS) {
          harness.exitTask(MACHINE, task, WorkerHeartbeat.ExitCause.ERROR);
          runningSince.remove(task);
        }
      }
      for (WorkerCommand command : harness.sendHeartbeat(MACHINE)) {
        if (command instanceof WorkerCommand.Launch) {
          runningSince.put(command.task(), clock.clockMs());
        } else {
          runningSince.remove(command.task());
        }
      }
    }

    /** Stops the leader's process for a time; its timers fire before the next heartbeat is read. */
    void pause(long ms) throws IOException {
      clock.setClockMs(clock.clockMs() + ms);
      store.advance(TimeSpan.millis(STEP_MS));
      nextHeartbeatMs = clock.clockMs();
    }

    private void request(boolean create, MessageBody body) throws IOException {
      Integer[] status = new Integer[1];
      if (create) {
        controller.apply(body, (code, answer) -> status[0] = code);
      } else {
        controller.begin("thumbs", body, (code, answer) -> status[0] = code);
      }
      assertTrue(store.advanceUntil(() -> status[0] != null, TimeSpan.seconds(10)));
      assertEquals(200, status[0]);
    }

    void startRollout() throws IOException {
      request(
          true,
          MessageBody.of()
              .with("name", "thumbs")
              .with("crew", "blue")
              .with("replicas", 1L)
              .with("cores", 1.0)
              .with("bundle", "first"));
      run(10_000);
      request(false, MessageBody.of().with("bundle", "second").with("plan", PLAN));
    }

    String phase() {
      return String.valueOf(controller.show("thumbs").get("phase"));
    }

    @Override
    public void close() {
      store.close();
    }
  }

  /** Runs a rollout over random pauses of 1 to 30 s and returns its last phase. */
  private static String phaseAfterPauses(long seed, boolean secondVersionFails)
      throws IOException, InvalidMessageException {
    SplittableRandom random = new SplittableRandom(seed);
    try (World world = new World(secondVersionFails)) {
      world.startRollout();
      for (int pauses = 0; pauses < 4; pauses++) {
        world.run(random.nextInt(12_000));
        world.pause(1_000 + random.nextInt(random.nextBoolean() ? 4_000 : 29_000));
      }
      world.run(RUN_MS);
      return world.phase();
    }
  }

  @Test
  void failingVersionNeverPassesItsGateOverRandomPauses()
      throws IOException, InvalidMessageException {
    for (long seed = 0; seed < SEEDS; seed++) {
      assertNotEquals("done", phaseAfterPauses(seed, true), "seed " + seed);
    }
  }

  @Test
  void healthyVersionIsRolledOutDespitePauses() throws IOException, InvalidMessageException {
    for (long seed = 0; seed < SEEDS; seed++) {
      String phase = phaseAfterPauses(seed, false);
      assertTrue(Set.of("done", "rolled_back").contains(phase), "seed " + seed + ": " + phase);
    }
    try (World world = new World(false)) {
      world.startRollout();
      world.run(5_000);
      world.pause(4_000);
      world.run(40_000);
      assertEquals("done", world.phase());
    }
  }
}
