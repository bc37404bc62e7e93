package io.saltflow.controller;

import io.saltflow.cloud.CloudClient;
import io.saltflow.cluster.Policy;
import io.saltflow.leader.InheritedState;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MachineType;
import io.saltflow.model.TimeSpan;
import io.saltflow.records.InheritedRecords;
import io.saltflow.records.JobRepository;
import io.saltflow.records.LeaderRepository;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one term of this controller as the leader: reads the recorded state, creates the {@link
 * LeaderCore} from it, and drives the core by timers until cancelled. Not thread-safe: used on the
 * event loop's thread.
 */
final class LeaderSession extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderSession.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(200);

  /** Well below the 500 ms after which a newly started machine sends its next heartbeat. */
  private static final TimeSpan LEDGER_INTERVAL = TimeSpan.millis(100);

  private static final TimeSpan PROGRESS_INTERVAL = TimeSpan.seconds(2);
  private static final TimeSpan MIGRATION_INTERVAL = TimeSpan.millis(500);
  private static final TimeSpan DECISIONS_INTERVAL = TimeSpan.seconds(1);
  private static final TimeSpan SCALE_OUT_INTERVAL = TimeSpan.millis(200);
  private static final TimeSpan SCALE_IN_INTERVAL = TimeSpan.millis(500);
  private static final TimeSpan MACHINE_TYPES_INTERVAL = TimeSpan.seconds(20);
  private static final TimeSpan LOAD_SAMPLE_INTERVAL = TimeSpan.seconds(1);
  private static final TimeSpan STATUS_LINE_INTERVAL = TimeSpan.seconds(10);

  /** Overrides by operators are rare, so one watch request may stay open for long. */
  private static final TimeSpan OVERRIDE_WATCH_TIMEOUT = TimeSpan.seconds(20);

  /** Minimum interval between listings of the machines, in milliseconds. */
  private static final long MIN_LIST_INTERVAL_MS = 2000;

  /** Time for which a leader that no worker reaches does not stand for election. */
  private static final TimeSpan UNREACHABLE_ABSTENTION = TimeSpan.seconds(10);

  /**
   * The resources that a session uses.
   *
   * @param cloudListLag the maximum staleness of the cloud's machine list
   */
  record Resources(
      Policy policy,
      LeaderLease leaderLease,
      KeyValueClient store,
      JobRepository jobs,
      CloudClient cloud,
      TimeSpan cloudListLag) {}

  /** The node that runs a session. */
  interface Environment {
    /** Returns the machine types known to the node. */
    Collection<MachineType> machineTypes();

    /** Called when the machine types were read from the cloud. */
    void onMachineTypes(List<MachineType> types);

    /**
     * Called when no worker reaches this leader.
     *
     * @param abstain the time for which the node must not stand for election
     */
    void onUnreachableInbound(TimeSpan abstain);

    /**
     * Returns whether the store is down for every reachable peer, of which there is at least one.
     */
    boolean storeDownForAllPeers();

    /** Called when the records have been read and the core runs. */
    void onReady(LeaderSession session);

    /** Returns the number of connections rejected since the last call. */
    int takeRejectedConnections();
  }

  private final EventLoop loop;
  private final Resources resources;
  private final Environment environment;
  private final LeaderLease leaderLease;
  private final LeaderRepository records;
  private final JobFeed jobFeed;
  private final ProcessUsage processUsage;
  private LeaderCore core;

  LeaderSession(Routine parent, EventLoop loop, Resources resources, Environment environment) {
    super(parent);
    this.loop = loop;
    this.resources = resources;
    this.environment = environment;
    leaderLease = resources.leaderLease();
    records =
        new LeaderRepository(this, resources.store(), resources.jobs(), leaderLease, loop::now);
    jobFeed = new JobFeed(this, loop, resources.jobs(), records, leaderLease);
    processUsage = new ProcessUsage(loop);
  }

  /** Returns the core, or {@code null} while the records are being read. */
  LeaderCore core() {
    return core;
  }

  /** Starts reading the records. The environment is notified when the core runs. */
  void start() {
    records.readInherited(
        inherited -> {
          if (cancelled()) {
            return;
          }
          if (inherited == null) {
            loop.schedule(RETRY_DELAY, this, this::start);
          } else {
            jobFeed.readAll(inherited, snapshot -> startLeading(inherited, snapshot));
          }
        });
  }

  private void startLeading(InheritedRecords inherited, JobFeed.Snapshot snapshot) {
    core =
        new LeaderCore(
            resources.policy(),
            leaderLease.term(),
            new InheritedState(
                snapshot.jobs(),
                inherited.machines(),
                inherited.ledgerComplete(),
                environment.machineTypes()),
            loop.now(),
            System.currentTimeMillis());
    records.setLeader(core);
    records.adopt(inherited);
    leaderLease.onSynced(snapshot.requestedAt());
    startTimers(snapshot.revision(), inherited.plans().revision());
    environment.onReady(this);
  }

  private void startTimers(long jobsRevision, long plansRevision) {
    MachineProvisioner provisioner =
        new MachineProvisioner(
            this, loop, resources.cloud(), leaderLease, records, core, environment);
    jobFeed.follow(core, jobsRevision);
    provisioner.listMachines();
    provisioner.refreshMachineTypes();
    loop.scheduleRepeating(TICK_INTERVAL, this, this::tick);
    loop.scheduleRepeating(LEDGER_INTERVAL, this, records::recordMachines);
    loop.scheduleRepeating(PROGRESS_INTERVAL, this, records::recordProgress);
    loop.scheduleRepeating(MIGRATION_INTERVAL, this, this::migrateReplicas);
    loop.scheduleRepeating(DECISIONS_INTERVAL, this, records.plans()::recordDecisions);
    watchOverrides(plansRevision);
    loop.scheduleRepeating(SCALE_OUT_INTERVAL, this, provisioner::scaleOut);
    loop.scheduleRepeating(SCALE_IN_INTERVAL, this, provisioner::scaleIn);
    loop.scheduleRepeating(listInterval(), this, provisioner::listMachines);
    loop.scheduleRepeating(MACHINE_TYPES_INTERVAL, this, provisioner::refreshMachineTypes);
    loop.scheduleRepeating(LOAD_SAMPLE_INTERVAL, this, this::sampleLoad);
    loop.scheduleRepeating(
        STATUS_LINE_INTERVAL, this, () -> LOG.info("{}; {}", core.statusLine(), processUsage));
  }

  private TimeSpan listInterval() {
    return new TimeSpan(Math.max(MIN_LIST_INTERVAL_MS, resources.cloudListLag().ms()));
  }

  private void tick() {
    core.tick(loop.now(), leaderLease.renewedAt());
    records.recordCompletions();
    records.dependencies().advance();
    records.unpackBatches();
    records.recordLaunchIntents();
    if (core.isCutOff(loop.now())) {
      environment.onUnreachableInbound(UNREACHABLE_ABSTENTION);
    }
  }

  private void migrateReplicas() {
    boolean storeAvailable = resources.store().outageDuration().ms() == 0;
    core.decisions().setMigrationAllowed(leaderLease.mayLaunch(loop.now()) && storeAvailable);
    records.plans().recordMigrations();
  }

  /**
   * Watches the operators' overrides; a negative revision means that there are no plans to watch.
   */
  private void watchOverrides(long after) {
    if (after < 0) {
      return;
    }
    records
        .plans()
        .watchOverrides(
            after,
            OVERRIDE_WATCH_TIMEOUT,
            next -> loop.schedule(RETRY_DELAY, this, () -> watchOverrides(next)));
  }

  private void sampleLoad() {
    processUsage.sample();
    core.onLoadSample(
        processUsage.loopUtilization(),
        processUsage.heapUtilization(),
        environment.takeRejectedConnections(),
        loop.now());
  }
}
