package io.saltflow.compat;

import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.clusterversion.VersionRange;
import io.saltflow.clusterversion.VersionUpgrade;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.election.LeaderElection;
import io.saltflow.leader.LeaderLease;
import io.saltflow.leader.LedgerEntry;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineType;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.queues.QueueCore;
import io.saltflow.records.ClusterVersionCoordinator;
import io.saltflow.records.InheritedRecords;
import io.saltflow.records.JobOutcome;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.records.JobRepository;
import io.saltflow.records.LeaderContext;
import io.saltflow.records.LeaderRepository;
import io.saltflow.records.LiveJobRecord;
import io.saltflow.records.PlanRepository;
import io.saltflow.records.QueueRepository;
import io.saltflow.records.ServiceRepository;
import io.saltflow.store.KeyValueClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Describes in lines of text what a controller reads from existing records. */
final class StoreReader {
  static final String EARLIER_RECORDS = "records of earlier builds";
  static final String QUEUE_RECORD = "record of the queues";
  private static final String REQUEST_PREFIX = "store ";
  private static final List<String> JOBS =
      List.of(
          "req-1", "req-2", "req-3", "req-4", "req-100", "req-101", "req-102", "req-103", "req-200",
          "req-201", "req-202", "req-203");

  private final RecordingStore store;
  private final KeyValueClient client;
  private final List<String> lines = new ArrayList<>();

  private StoreReader(RecordingStore store) {
    this.store = store;
    client = store.client(RecordingStore.RATE);
  }

  /** Returns what is read after the sampled requests have been executed. */
  static List<String> ofRequests(Map<String, String> samples)
      throws IOException, InvalidMessageException {
    List<RecordingStore.Request> requests = new ArrayList<>();
    samples.forEach(
        (name, hex) -> {
          if (name.startsWith(REQUEST_PREFIX)) {
            String line = name.substring(name.indexOf(' ', REQUEST_PREFIX.length()) + 1);
            requests.add(new RecordingStore.Request(line, HexFormat.of().parseHex(hex)));
          }
        });
    return read(requests);
  }

  /** Returns what is read from records written by earlier builds. */
  static List<String> ofEarlierRecords(Map<String, String> samples)
      throws IOException, InvalidMessageException {
    return read(List.of(transaction(samples.get(EARLIER_RECORDS))));
  }

  private static RecordingStore.Request transaction(String hex) {
    return new RecordingStore.Request("POST /multi", HexFormat.of().parseHex(hex));
  }

  private static List<String> read(List<RecordingStore.Request> requests)
      throws IOException, InvalidMessageException {
    try (RecordingStore store = new RecordingStore()) {
      store.replay(requests);
      StoreReader reader = new StoreReader(store);
      reader.readLeader();
      reader.readJobs();
      reader.readLeaderRecords();
      reader.readVersions();
      return reader.lines;
    }
  }

  /** Returns the message counts that are read from the queue records. */
  static List<String> ofQueues(Map<String, String> samples) throws IOException {
    try (RecordingStore store = new RecordingStore()) {
      store.replay(List.of(transaction(samples.get(QUEUE_RECORD))));
      LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
      lease.onElected(new Term(8), Revision.ABSENT, store.loop.now());
      QueueCore core = RecordScenario.queues(new Term(8));
      QueueRepository repository = RecordScenario.queueRepository(store, lease, core);
      List<String> lines = new ArrayList<>();
      repository.readInherited(
          result -> lines.add("read " + (result == QueueRepository.ReplayResult.REPLAYED)));
      core.begin(store.loop.now(), RecordingStore.WALL_MS);
      lines.add("messages " + core.size() + ", bytes " + core.bytes());
      lines.add("waiting " + core.status(RecordScenario.QUEUE).waiting());
      return lines;
    }
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private void readLeader() {
    LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
    LeaderElection follower = RecordScenario.election(store, client, "saltbox-1", lease);
    follower.start();
    lines.add("leader " + follower.leaderHost() + ", term " + follower.leaderTerm());
  }

  private void readJobs() throws InvalidMessageException {
    JobRepository jobs =
        new JobRepository(store.root, store.loop, client, "reader", LaneRules.NONE);
    for (String id : JOBS) {
      jobs.find(new JobId(id), outcome -> lines.add("job " + id + " " + describe(outcome)));
    }
    List<KeyValueClient.KeyValue> live = new ArrayList<>();
    jobs.listLive(listing -> live.addAll(listing.entries()));
    for (KeyValueClient.KeyValue entry : live) {
      if (!JobRecordCodec.isBatch(entry.key())) {
        LiveJobRecord job = JobRecordCodec.decode(entry.value(), entry.revision());
        lines.add(
            "live job %s arrived %d marked %b lane %d '%s' place %d.%d %s"
                .formatted(
                    job.spec().id(),
                    job.arrivedWallMs(),
                    job.maybeStarted(),
                    job.lane().rank(),
                    job.lane().name(),
                    job.position().revision(),
                    job.position().index(),
                    hex(MessagePackCodec.encode(JobCodec.encode(job.spec())))));
      }
    }
  }

  private static String describe(JobOutcome outcome) {
    if (outcome instanceof JobOutcome.Found found) {
      return found.status().phase() + " " + found.status().doneCount();
    }
    return outcome instanceof JobOutcome.Absent ? "absent" : "not known";
  }

  private void readLeaderRecords() throws InvalidMessageException {
    LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
    JobRepository jobs =
        new JobRepository(store.root, store.loop, client, "reader", LaneRules.NONE);
    LeaderRepository repository =
        new LeaderRepository(store.root, client, jobs, lease, store.loop::now);
    List<InheritedRecords> inherited = new ArrayList<>();
    repository.readInherited(inherited::add);
    InheritedRecords records = inherited.get(0);
    lines.add("ledger whole " + records.ledgerComplete());
    for (LedgerEntry machine : records.machines()) {
      lines.add(
          "machine %s %s %s spot %b"
              .formatted(machine.id(), machine.type(), machine.zone(), machine.spot()));
    }
    List<KeyValueClient.KeyValue> live = new ArrayList<>();
    jobs.listLive(listing -> live.addAll(listing.entries()));
    for (KeyValueClient.KeyValue entry : live) {
      if (!JobRecordCodec.isBatch(entry.key())) {
        LiveJobRecord job = JobRecordCodec.decode(entry.value(), entry.revision());
        lines.add(
            "progress of %s: done %s, started %b"
                .formatted(
                    job.spec().id(), records.job(job).doneTasks(), records.maybeStarted(job)));
      }
    }
    readPlans(records.plans());
    LeaderRepository.readMachineTypes(client, this::addTypes);
    new ServiceRepository(store.root, new LeaderContext(store.loop, client, lease, () -> {}))
        .readInherited(services -> lines.add("services " + services.keySet()));
  }

  private void addTypes(List<MachineType> types) {
    lines.add("machine types " + hex(MessagePackCodec.encode(CloudCodec.encodeTypes(types))));
  }

  private void readPlans(PlanRepository.InheritedPlans plans) {
    for (RecordedPlan plan : plans.migrations()) {
      lines.add("migration plan " + plan.name() + " for " + plan.waitingJob());
    }
    for (DailyDeadline deadline : plans.deadlines()) {
      lines.add(
          "daily deadline %s opened %d due %d ready %d waiting %d"
              .formatted(
                  deadline.recordName(),
                  deadline.openedMs(),
                  deadline.dueMs(),
                  deadline.readyJobs(),
                  deadline.pendingJobs()));
    }
    if (plans.orderInputs() != null) {
      lines.add("fleet cores " + plans.orderInputs().fleetCores());
      lines.add("corrections " + plans.orderInputs().estimateCorrections());
      lines.add("soonest " + plans.orderInputs().shortestFirstClasses());
    }
    for (KeyValueClient.KeyValue entry : plans.overrides()) {
      lines.add("override " + entry.key() + " " + hex(MessagePackCodec.encode(entry.value())));
    }
  }

  private void readVersions() {
    ClusterVersionCoordinator coordinator =
        new ClusterVersionCoordinator(
            store.root,
            store.loop,
            client,
            new ClusterVersionCoordinator.LocalBuild(
                "saltbox-1", "saltbox-1-18", VersionRange.THIS_BUILD, Set.of("saltbox-1")),
            new VersionUpgrade.UpgradePolicy(TimeSpan.seconds(60), TimeSpan.seconds(20)),
            active ->
                lines.add("level " + active.active() + " used, " + active.required() + " raised"));
    coordinator.start();
  }
}
