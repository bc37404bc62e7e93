package io.saltflow.compat;

import io.saltflow.cluster.Policy;
import io.saltflow.clusterversion.VersionRange;
import io.saltflow.clusterversion.VersionUpgrade;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.election.LeaderElection;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.leader.InheritedState;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Revision;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.priority.Lane;
import io.saltflow.priority.LaneRule;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.queues.Outcome;
import io.saltflow.queues.PendingPublish;
import io.saltflow.queues.PublishRequest;
import io.saltflow.queues.QueueCore;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import io.saltflow.queues.ResultEncoder;
import io.saltflow.records.ClusterVersionCoordinator;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.records.JobRepository;
import io.saltflow.records.LeaderContext;
import io.saltflow.records.LeaderRepository;
import io.saltflow.records.LiveJobRecord;
import io.saltflow.records.QueueRepository;
import io.saltflow.records.ServiceRepository;
import io.saltflow.store.CompressedValues;
import io.saltflow.store.KeyValueClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Base64;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;

/**
 * Records the key-value store requests of a controller from its election to the end of its jobs.
 */
final class RecordScenario {
  static final QueueId QUEUE = new QueueId("/", "work");
  private static final String HOST = "saltbox-0";
  private static final long TICK_MS = 200;
  private static final int TICKS = 12;
  private static final int MAX_INFLATED_BYTES = 1 << 16;
  private static final JobId ARRAY = new JobId("req-100");
  private static final JobId CANCELLED = new JobId("req-101");
  private static final Set<Integer> DONE_OF_ARRAY = Set.of(0, 3);
  private static final MachineType TYPE =
      new MachineType(
          "c96", new Resources(96, 0, 384), 1, 1, 0.4, TimeSpan.seconds(40), List.of("zone-a"));
  private static final LaneRules LANES =
      new LaneRules(
          List.of(
              new LaneRule("render", Set.of("page-render"), Set.of(), Set.of()),
              new LaneRule("rest", Set.of(), Set.of(), Set.of())));

  private final RecordingStore store;
  private final KeyValueClient client;
  private final LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));

  private RecordScenario(RecordingStore store) {
    this.store = store;
    client = store.client(RecordingStore.RATE);
  }

  /** Returns the requests in the order in which they were sent, and records of earlier builds. */
  static List<StoredForm> all() throws IOException, InvalidMessageException {
    List<StoredForm> forms = new ArrayList<>();
    try (RecordingStore store = new RecordingStore()) {
      new RecordScenario(store).run();
      int number = 0;
      for (RecordingStore.Request request : store.requests) {
        String name = String.format("store %03d %s", number++, request.line());
        forms.add(StoredForm.current(name, request.body(), RecordScenario::reencode));
      }
    }
    forms.add(
        StoredForm.current(
            StoreReader.EARLIER_RECORDS, earlierRecords(), RecordScenario::reencode));
    forms.add(
        StoredForm.earlier(StoreReader.QUEUE_RECORD, queueRecord(), RecordScenario::inflateData));
    return forms;
  }

  private static byte[] reencode(byte[] body) throws InvalidMessageException {
    return body.length == 0 ? body : MessagePackCodec.encode(MessagePackCodec.decode(body));
  }

  private void run() throws IOException, InvalidMessageException {
    elect();
    announceVersion();
    JobRepository jobs = acceptJobs();
    lead(jobs);
  }

  // ---- Election

  private static LeaderElection.Listener noListener() {
    return new LeaderElection.Listener() {
      @Override
      public void onLeadershipAcquired() {}

      @Override
      public void onLeadershipLost(String reason) {}
    };
  }

  static LeaderElection election(
      RecordingStore store, KeyValueClient client, String host, LeaderLease lease) {
    return new LeaderElection(
        store.root,
        store.loop,
        client,
        new LeaderElection.Candidate(host, TimeSpan.seconds(5)),
        lease,
        () -> 0x5eedL,
        noListener());
  }

  private void elect() throws IOException {
    election(store, client, HOST, lease).start();
    store.advance(TICK_MS);
  }

  private void announceVersion() {
    ClusterVersionCoordinator coordinator =
        new ClusterVersionCoordinator(
            store.root,
            store.loop,
            client,
            new ClusterVersionCoordinator.LocalBuild(
                HOST, HOST + "-17", VersionRange.THIS_BUILD, Set.of(HOST)),
            new VersionUpgrade.UpgradePolicy(TimeSpan.seconds(60), TimeSpan.seconds(20)),
            active -> {});
    coordinator.start();
  }

  // ---- Jobs

  static JobSpec spec(JobId id, int tasks, List<JobId> dependencies) {
    return new JobSpec(
        id,
        "page-render",
        "reader-ops",
        false,
        Priority.HIGH,
        tasks,
        new Resources(2, 0, 4),
        null,
        null,
        false,
        false,
        true,
        "img-07",
        6.2,
        TimeSpan.seconds(240),
        TimeSpan.seconds(30),
        TimeSpan.seconds(4),
        TimeSpan.seconds(900),
        dependencies);
  }

  private void admit(JobRepository jobs, String id, int tasks, JobId... dependencies)
      throws IOException {
    JobSpec spec = spec(new JobId(id), tasks, List.of(dependencies));
    jobs.admit(spec, RecordingStore.WALL_MS, outcome -> {});
    store.advance(TICK_MS);
  }

  /** Admits jobs with and without a lane, dependent, cancelled, batched and reordered jobs. */
  private JobRepository acceptJobs() throws IOException {
    JobRepository withLanes = new JobRepository(store.root, store.loop, client, "process-1", LANES);
    JobRepository plain =
        new JobRepository(store.root, store.loop, client, "process-2", LaneRules.NONE);
    admit(withLanes, ARRAY.text(), 5);
    admit(plain, CANCELLED.text(), 1);
    admit(plain, "req-102", 2, ARRAY);
    plain.cancel(CANCELLED, outcome -> {});
    store.advance(TICK_MS);
    admit(plain, "req-103", 1, CANCELLED);
    withLanes.overrideOrder(ARRAY, new Lane(1, "rest"), outcome -> {});
    store.advance(TICK_MS);
    plain.overrideOrder(new JobId("req-102"), null, outcome -> {});
    store.advance(TICK_MS);
    acceptBatch();
    return plain;
  }

  /**
   * Admits jobs at one write per second, so that those after the first are written as one batch.
   */
  private void acceptBatch() throws IOException {
    JobRepository slow =
        new JobRepository(store.root, store.loop, store.client(1), "process-3", LaneRules.NONE);
    for (int number = 200; number < 204; number++) {
      slow.admit(
          spec(new JobId("req-" + number), 1, List.of()), RecordingStore.WALL_MS, outcome -> {});
    }
    store.advance(2000);
  }

  // ---- The leader's records

  static Policy policy() {
    DeadlineRule night =
        new DeadlineRule(
            "night",
            Set.of("page-render"),
            Set.of(),
            LocalTime.of(18, 0),
            LocalTime.of(7, 0),
            ZoneOffset.UTC,
            EnumSet.allOf(DayOfWeek.class),
            0.9);
    return new Policy(
        1,
        TimeSpan.seconds(3),
        TimeSpan.seconds(26),
        TimeSpan.seconds(10),
        Map.of("reader-ops", new Policy.TeamQuota("reader-ops", 0, 0, 0, 0)),
        Map.of(),
        Map.of(),
        TimeSpan.seconds(5),
        0.2,
        TimeSpan.seconds(100),
        Priority.HIGH,
        TimeSpan.seconds(6),
        TimeSpan.seconds(30),
        1,
        new FairShareRules(0.5, TimeSpan.seconds(120), 0.25),
        TimeSpan.seconds(240),
        1.8,
        0.25,
        TimeSpan.seconds(45),
        TimeSpan.seconds(90),
        1,
        TimeSpan.seconds(60),
        TimeSpan.seconds(10),
        3,
        2,
        List.of(night));
  }

  private void lead(JobRepository jobs) throws IOException, InvalidMessageException {
    LeaderRepository repository =
        new LeaderRepository(store.root, client, jobs, lease, store.loop::now);
    LeaderCore leader =
        new LeaderCore(
            policy(),
            lease.term(),
            InheritedState.empty(List.of(TYPE)),
            store.loop.now(),
            RecordingStore.WALL_MS);
    repository.setLeader(leader);
    repository.readInherited(repository::adopt);
    repository.recordMachineTypes(List.of(TYPE));
    List<KeyValueClient.KeyValue> live = new ArrayList<>();
    jobs.listLive(listing -> live.addAll(listing.entries()));
    for (KeyValueClient.KeyValue entry : live) {
      if (JobRecordCodec.isBatch(entry.key())) {
        repository.onBatchFound(entry.key(), entry.value(), entry.revision());
      }
    }
    repository.unpackBatches();
    live.clear();
    jobs.listLive(listing -> live.addAll(listing.entries()));
    for (KeyValueClient.KeyValue entry : live) {
      LiveJobRecord job = JobRecordCodec.decode(entry.value(), entry.revision());
      leader.jobs().onAdded(job.spec(), job.arrivedWallMs(), false, job.lane(), job.position());
    }
    new ServiceRepository(store.root, new LeaderContext(store.loop, client, lease, () -> {}))
        .write("page-cache", MessageBody.of().with("name", "page-cache"), true, result -> {});
    runTasks(repository, leader);
  }

  /** Runs all tasks on one machine. Most end immediately, but only some of the job array do. */
  private void runTasks(LeaderRepository repository, LeaderCore leader) throws IOException {
    Worker worker = new Worker();
    for (int tick = 0; tick < TICKS; tick++) {
      leader.tick(store.loop.now());
      repository.recordCompletions();
      repository.dependencies().advance();
      repository.recordLaunchIntents();
      repository.recordMachines();
      repository.recordProgress();
      repository.plans().recordDecisions();
      repository.plans().recordMigrations();
      worker.sendHeartbeat(leader, store);
      store.advance(TICK_MS);
    }
  }

  /** Worker that executes the leader's commands. */
  private static final class Worker {
    private final Map<TaskId, Attempt> tasks = new LinkedHashMap<>();
    private long sequence;

    private static boolean finishes(TaskId task) {
      return !task.job().equals(ARRAY) || DONE_OF_ARRAY.contains(task.index());
    }

    void sendHeartbeat(LeaderCore leader, RecordingStore store) {
      List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>();
      tasks.forEach(
          (task, attempt) ->
              statuses.add(
                  new WorkerHeartbeat.TaskStatus(
                      task,
                      attempt,
                      finishes(task)
                          ? WorkerHeartbeat.TaskState.EXITED
                          : WorkerHeartbeat.TaskState.RUNNING,
                      finishes(task)
                          ? WorkerHeartbeat.ExitCause.DONE
                          : WorkerHeartbeat.ExitCause.OTHER,
                      false)));
      WorkerHeartbeat heartbeat =
          new WorkerHeartbeat(
              new MachineId("vm-000231"),
              "10.1.0.1:9000",
              TYPE.name(),
              "zone-a",
              false,
              1,
              ++sequence,
              leader.term(),
              null,
              statuses);
      List<WorkerCommand> commands = leader.onHeartbeat(heartbeat, true, store.loop.now());
      for (WorkerCommand command : commands == null ? List.<WorkerCommand>of() : commands) {
        if (command instanceof WorkerCommand.Launch) {
          tasks.put(command.task(), command.attempt());
        } else {
          tasks.remove(command.task());
        }
      }
    }
  }

  // ---- Records of earlier builds, written by hand

  private static MessageBody put(String key, MessageBody value) {
    return MessageBody.of().with("put", key).with("data", value);
  }

  /** Returns a job record as written by builds without dependencies, lanes and queue positions. */
  private static MessageBody earlierJob(String id) {
    MessageBody spec = JobCodec.encode(spec(new JobId(id), 5, List.of()));
    spec.fields().keySet().removeAll(List.of("rigs", "yard", "dueS"));
    return MessageBody.of().with("spec", spec).with("at", RecordingStore.WALL_MS);
  }

  private static byte[] earlierRecords() {
    MessageBody type =
        MessageBody.of()
            .with("sku", "c96")
            .with("cores", 96)
            .with("hourly", 1.0)
            .with("readyS", 40)
            .with("yards", List.of("zone-a"));
    MessageBody leader =
        MessageBody.of().with("host", HOST).with("term", 3L).with("nonce", HOST + "-1/3");
    MessageBody machine = MessageBody.of().with("vm-1", List.of("c96", "zone-a", true));
    List<MessageBody> writes =
        List.of(
            put("lead", leader),
            put("term", MessageBody.of().with("term", 3L)),
            put("live/req-1", earlierJob("req-1").with("started", true)),
            put("live/req-2", earlierJob("req-2")),
            put("over/req-3", MessageBody.of().with("phase", "DONE").with("n", 5L)),
            put("over/req-4", MessageBody.of().with("phase", "CANCELLED").with("n", 0L)),
            put("fleet/00000", machine),
            put("progress/00000", MessageBody.of().with("req-2", "1+BA")),
            put("types", MessageBody.of().with("rigs", List.of(type))));
    return MessagePackCodec.encode(
        MessageBody.of().with("guards", List.of()).with("writes", writes));
  }

  // ---- The queues' record

  /** Returns a queue core with one empty queue. */
  static QueueCore queues(Term term) {
    QueuePolicy policy =
        new QueuePolicy(
            QUEUE,
            false,
            "c",
            "",
            Priority.NORMAL,
            Resources.ZERO,
            3,
            TimeSpan.millis(0),
            true,
            TimeSpan.seconds(60),
            null,
            null,
            10_000,
            null,
            false);
    ResultEncoder results =
        new ResultEncoder() {
          @Override
          public byte[] body(String id, Outcome outcome, int attempts, String reason) {
            return new byte[0];
          }

          @Override
          public byte[] properties(String id) {
            return new byte[0];
          }
        };
    return new QueueCore(
        List.of(policy),
        new QueueCore.Limits(
            100 << 20, 32 * 1024, 10_000, TimeSpan.seconds(60), TimeSpan.millis(0)),
        (queue, arrivedWallMs) -> true,
        (queue, id, body) -> null,
        results,
        term);
  }

  static QueueRepository queueRepository(RecordingStore store, LeaderLease lease, QueueCore core) {
    return new QueueRepository(
        store.root,
        new LeaderContext(store.loop, store.client(RecordingStore.RATE), lease, () -> {}),
        core,
        new CompressedValues(store.limits),
        RecordingStore.RATE,
        () -> RecordingStore.WALL_MS,
        () -> {});
  }

  /** Returns the transaction that records two messages. */
  private static byte[] queueRecord() throws IOException {
    try (RecordingStore store = new RecordingStore()) {
      LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
      lease.onElected(new Term(7), Revision.ABSENT, store.loop.now());
      QueueCore core = queues(new Term(7));
      QueueRepository repository = queueRepository(store, lease, core);
      repository.readInherited(read -> {});
      core.begin(store.loop.now(), RecordingStore.WALL_MS);
      for (int number = 1; number <= 2; number++) {
        core.publish(
            new PendingPublish(1, 1, number),
            new PublishRequest(
                QUEUE,
                "m-" + number,
                60_000,
                new byte[] {0, 0},
                "the body of a message".getBytes(StandardCharsets.US_ASCII)),
            store.loop.now(),
            RecordingStore.WALL_MS);
      }
      repository.flush();
      return store.requests.get(store.requests.size() - 1).body();
    }
  }

  /** Replaces compressed data with its content, as the compressed bytes depend on the library. */
  private static byte[] inflateData(byte[] transaction)
      throws InvalidMessageException, DataFormatException {
    MessageBody body = MessagePackCodec.decode(transaction);
    for (MessageBody write : body.maps("writes")) {
      MessageBody value = write.map("data");
      byte[] compressed = Base64.getDecoder().decode(value.text("d"));
      Inflater inflater = new Inflater(true);
      inflater.setInput(compressed);
      byte[] inflated = new byte[MAX_INFLATED_BYTES];
      int length = inflater.inflate(inflated);
      inflater.end();
      value.with("d", HexFormat.of().formatHex(inflated, 0, length));
    }
    return MessagePackCodec.encode(body);
  }
}
