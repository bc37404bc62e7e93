package io.saltflow.leader;

import io.saltflow.autoscaler.ScaleOutRequest;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.Revision;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;
import io.saltflow.priority.QueueOrderInputs;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Simulates workers, the cloud and the key-value store in memory under a virtual clock, and checks
 * the invariants after each step of {@link #STEP_MS}. All randomness is derived from the seed.
 */
final class ClusterSimulation {
  static final long STEP_MS = 500;
  static final long LEASE_MS = 16_000;
  static final long CANCEL_BOUND_MS = 41_000;
  static final long LEADER_LEASE_MS = 5_000;

  /** Time after which a worker stops waiting for a response, in milliseconds. */
  private static final long RESPONSE_TIMEOUT_MS = 4_000;

  /** Job class whose tasks fail on every machine. */
  static final String ALWAYS_FAILING_CLASS = "broken";

  /** Job record in the key-value store. */
  static final class JobRecord {
    final JobSpec spec;
    final long submittedAt;
    BitSet done = new BitSet();
    boolean started;
    boolean ended;
    long cancelledAt = -1;

    /** Time at which the first task started, or -1 if none has. */
    long startedAt = -1;

    /** Time at which all tasks were recorded as done, or -1 if they are not. */
    long doneAt = -1;

    /** Queue position given by the revision at which the job was accepted. */
    final AdmissionPosition position;

    JobRecord(JobSpec spec, long at, long revision) {
      this.spec = spec;
      this.submittedAt = at;
      this.position = new AdmissionPosition(revision, 0);
    }

    /** Tasks that ran to completion, whether recorded or not. */
    final BitSet completed = new BitSet();

    /** Number of progress writes; each write is guarded by the version before it. */
    long version;

    void recordProgress(BitSet doneTasks) {
      done = (BitSet) doneTasks.clone();
      version++;
    }

    Lane lane() {
      return Lane.of(spec.priority());
    }
  }

  /** Attempt of a task on a machine. */
  static final class SimulatedTask {
    final Attempt attempt;
    WorkerHeartbeat.TaskState state = WorkerHeartbeat.TaskState.FETCHING;
    WorkerHeartbeat.ExitCause cause;
    long fetchedAt;
    long endsAt;

    SimulatedTask(Attempt attempt, long fetchedAt) {
      this.attempt = attempt;
      this.fetchedAt = fetchedAt;
    }

    boolean exited() {
      return state == WorkerHeartbeat.TaskState.EXITED;
    }

    boolean isRunning() {
      return state == WorkerHeartbeat.TaskState.RUNNING;
    }
  }

  /** Machine and its worker. */
  final class SimulatedWorker {
    final MachineId id;
    final String zone;
    final boolean spot;
    final long upAt;
    final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
    long epoch = 1;
    long sequence;
    Term token = Term.NONE;
    long leaseRenewedAt;
    long nextHeartbeat;

    /** Time of the last early heartbeat caused by a new term; at most one per half lease. */
    private long tokenAnnouncedAt = -LEASE_MS;

    boolean dead;
    boolean failsAll;
    long partitionedUntil;
    long hungUntil;

    /** Time until which heartbeats arrive but no response reaches the worker. */
    long inboundLostUntil;

    /** Time until which the worker cannot connect to any controller and sends no heartbeats. */
    long outboundLostUntil;

    /** Whether the worker tries another controller because the last one did not respond. */
    private boolean retriesElsewhere;

    /** Time until which the worker waits for the response to its only heartbeat in flight. */
    long awaitsResponseUntil;

    /** Leader that the worker last sent a heartbeat to, and stays with until it is redirected. */
    SimulatedLeader servedBy;

    SimulatedWorker(MachineId id, String zone, boolean spot, long upAt) {
      this.id = id;
      this.zone = zone;
      this.spot = spot;
      this.upAt = upAt;
      this.leaseRenewedAt = upAt;
      this.nextHeartbeat = upAt;
    }

    WorkerHeartbeat heartbeat() {
      List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>();
      tasks.forEach(
          (id, task) ->
              statuses.add(
                  new WorkerHeartbeat.TaskStatus(id, task.attempt, task.state, task.cause, false)));
      return new WorkerHeartbeat(
          this.id, "", machineType.name(), zone, spot, epoch, ++sequence, token, null, statuses);
    }

    /** Restarts the worker under the same machine id, without its tasks, epoch and term. */
    void restart() {
      tasks.clear();
      epoch = 1;
      sequence = 0;
      token = Term.NONE;
      leaseRenewedAt = now;
      nextHeartbeat = now;
      log(id + " restarts without tasks");
    }

    long partitionedUntil() {
      return Math.max(partitionedUntil, zoneCutUntil.getOrDefault(zone, 0L));
    }

    /** Returns whether the worker is up, executes commands and receives responses. */
    boolean isHealthy() {
      return isUp() && !failsAll && now >= partitionedUntil() && now >= inboundLostUntil;
    }

    /** Returns the resources of the tasks that have not exited. */
    Resources used() {
      Resources sum = Resources.ZERO;
      for (Map.Entry<TaskId, SimulatedTask> entry : tasks.entrySet()) {
        if (!entry.getValue().exited()) {
          sum = sum.plus(records.get(entry.getKey().job()).spec.size());
        }
      }
      return sum;
    }

    /** Returns whether the task is on this machine and has not exited. */
    boolean holds(TaskId task) {
      SimulatedTask heldTask = tasks.get(task);
      return heldTask != null && !heldTask.exited();
    }

    private boolean isUp() {
      return !dead && now >= upAt && now >= hungUntil;
    }

    /** Discards the tasks if the lease expired; runs for all workers before any of them steps. */
    void expireLease() {
      if (isUp() && now - leaseRenewedAt > LEASE_MS) {
        tasks.clear();
        epoch++;
        leaseRenewedAt = now;
        nextHeartbeat = now;
        log("lease expired on machine " + id);
      }
    }

    void step() {
      if (isUp()) {
        tasks.forEach(this::advance);
      }
    }

    private void advance(TaskId id, SimulatedTask task) {
      JobRecord job = records.get(id.job());
      if (task.state == WorkerHeartbeat.TaskState.FETCHING && now >= task.fetchedAt) {
        if (failsAll || job.spec.jobClass().equals(ALWAYS_FAILING_CLASS)) {
          task.state = WorkerHeartbeat.TaskState.EXITED;
          task.cause = WorkerHeartbeat.ExitCause.ERROR;
          nextHeartbeat = now;
          return;
        }
        checkStart(this, id, job);
        task.state = WorkerHeartbeat.TaskState.RUNNING;
        task.endsAt = now + job.spec.estimate().times(runtimeFactor).ms();
      } else if (task.state == WorkerHeartbeat.TaskState.RUNNING && now >= task.endsAt) {
        task.state = WorkerHeartbeat.TaskState.EXITED;
        task.cause = WorkerHeartbeat.ExitCause.DONE;
        job.completed.set(id.index());
        nextHeartbeat = now;
      }
    }

    /** Renews the lease from the time at which the heartbeat was sent, and runs the commands. */
    void onResponse(SimulatedLeader responder, long sentAt, List<WorkerCommand> commands) {
      if (responder.term.compareTo(token) >= 0) {
        retriesElsewhere = false;
        leaseRenewedAt = sentAt;
        obey(responder.term, commands);
      }
    }

    void obey(Term newTerm, List<WorkerCommand> commands) {
      if (newTerm.compareTo(token) < 0) {
        return;
      }
      if (!newTerm.equals(token)) {
        token = newTerm;
        if (now - tokenAnnouncedAt >= LEASE_MS / 2) {
          tokenAnnouncedAt = now;
          nextHeartbeat = now + STEP_MS;
        }
      }
      for (WorkerCommand command : commands) {
        SimulatedTask task = tasks.get(command.task());
        if (command instanceof WorkerCommand.Launch) {
          if (task == null) {
            tasks.put(command.task(), new SimulatedTask(command.attempt(), now + 1000));
            log(id + " accepts launch of " + command.task());
            nextHeartbeat = now + STEP_MS;
          }
        } else if (task != null && task.attempt.equals(command.attempt())) {
          if (command instanceof WorkerCommand.Stop && !task.exited()) {
            task.state = WorkerHeartbeat.TaskState.EXITED;
            task.cause = WorkerHeartbeat.ExitCause.STOPPED;
            log(id + " stops " + command.task());
            nextHeartbeat = now + STEP_MS;
          } else if (command instanceof WorkerCommand.Clear && task.exited()) {
            tasks.remove(command.task());
          }
        }
      }
    }
  }

  /** Controller that is the leader or believes that it is. */
  final class SimulatedLeader {
    final Term term;
    final LeaderLease lease;

    /** Leader logic, or {@code null} until the records have been read. */
    LeaderCore core;

    /** This leader's view of the ledger; each write replaces the whole stored ledger. */
    final Set<LedgerEntry> ledgerPage = new LinkedHashSet<>();

    /** Entries that no acknowledged write has stored in the ledger. */
    final Set<LedgerEntry> unwritten = new LinkedHashSet<>();

    long partitionedUntil;
    long readingUntil;

    /** Time until which the key-value store is unreachable for this leader only. */
    long refusedUntil;

    boolean replaced;

    SimulatedLeader(Term term, LeaderLease lease) {
      this.term = term;
      this.lease = lease;
    }

    boolean storeReachable() {
      return now >= refusedUntil && now >= storeDownUntil;
    }

    boolean isPartitioned() {
      return now < partitionedUntil;
    }
  }

  private record DelayedHeartbeat(long until, WorkerHeartbeat report) {}

  /** Response that arrives late; the worker discards it after {@link #RESPONSE_TIMEOUT_MS}. */
  private record DelayedResponse(
      long at,
      long sent,
      long session,
      SimulatedWorker to,
      SimulatedLeader by,
      List<WorkerCommand> orders) {}

  /** Unacknowledged transaction that is applied late, provided that its guard still holds. */
  private record DelayedWrite(long until, Term by, BooleanSupplier guard, Runnable write) {}

  static final MachineType MACHINE_TYPE =
      new MachineType(
          "box", new Resources(8, 0, 32), 1, 0.4, 0.1, TimeSpan.seconds(15), List.of("a", "b"));

  MachineType machineType = MACHINE_TYPE;
  final UniformRandomProvider random;
  final Policy policy;
  final Map<JobId, JobRecord> records = new TreeMap<>();
  final Set<LedgerEntry> ledger = new LinkedHashSet<>();
  final Map<MachineId, SimulatedWorker> workers = new TreeMap<>();
  final List<String> trace = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  final List<SimulatedLeader> formerLeaders = new ArrayList<>();
  private final QuotaChecks quotaChecks = new QuotaChecks(this);
  private final List<DelayedHeartbeat> delayedHeartbeats = new ArrayList<>();
  private final List<DelayedWrite> delayedWrites = new ArrayList<>();
  private final List<DelayedResponse> delayedResponses = new ArrayList<>();

  /** Probability that a response takes up to 5 s; a worker discards it after 4 s. */
  double slowResponseShare;

  long storeDownUntil;

  /** Time that a new leader takes to read the state, in milliseconds. */
  long leaderReadMs;

  /** Probability that a leader's transaction is unacknowledged and applied 2 to 12 s later. */
  double delayedWriteShare;

  /** Leaders whose lease expired while the store was unreachable; workers still reach them. */
  private final List<SimulatedLeader> refusedLeaders = new ArrayList<>();

  SimulatedLeader leader;
  private SimulatedLeader supersededLeader;
  private long supersededUntil;
  private long ledgerVersion;
  long now = 1000;
  long termNumber;
  long electAt;
  long cloudDownUntil;
  int startCount;
  private int machineNumber;

  /** Whether new leaders ignore the ledger, to show that the checks detect the violation. */
  boolean dropLedger;

  /** Whether new leaders ignore submission times, to show that the checks detect the violation. */
  boolean dropArrivals;

  /** Whether healthy leaders are superseded without noticing at first. */
  boolean supersede;

  double lostResponseShare;
  boolean clocksSkewed;

  /** Ratio of the actual run time of tasks to their estimate. */
  double runtimeFactor = 1;

  private long revision;

  /** Recorded inputs of the queue order, or {@code null} if none were recorded. */
  private QueueOrderInputs orderInputs;

  int orderInputWrites;
  final Map<String, DailyDeadline> dailyDeadlines = new TreeMap<>();
  int dailyDeadlineWrites;

  /** Probability that a copy of a heartbeat arrives again, about three leases later at most. */
  double duplicateShare;

  /** Whether outages of the key-value store are combined with other faults. */
  boolean storeFaults;

  /** Whether machines also lose responses or restart, in addition to the other faults. */
  boolean asymmetricPartitions;

  /** Probability that a leader's transaction is applied at once but its response is lost. */
  double lostWriteResponseShare;

  /** Time until which ledger writes are unacknowledged and applied 2 to 12 s later. */
  long ledgerDelayedUntil;

  long bootMs = 8000;

  /** Exclusive bound of the random number of steps added to the minimum boot time. */
  int bootSteps = 16;

  /** Time until which a zone is partitioned, including its controllers, by zone. */
  final Map<String, Long> zoneCutUntil = new TreeMap<>();

  int heartbeatsToPartitionedLeaders;
  int launchesByPartitionedLeaders;
  int completionsToPartitionedLeaders;
  final DuplicateHeartbeats duplicates = new DuplicateHeartbeats(this);
  final LivenessChecks liveness = new LivenessChecks(this);
  int maxMachines = 24;
  int maxMachinesInZone = Integer.MAX_VALUE;

  ClusterSimulation(long seed, Policy policy) {
    this.random = new SplitMix64(seed);
    this.policy = policy;
    this.electAt = now;
  }

  static Policy policy(TimeSpan lease) {
    return TestPolicies.of(
        lease,
        LeaderLease.workerRenewalBound(TimeSpan.millis(LEASE_MS), TimeSpan.millis(CANCEL_BOUND_MS)),
        1800,
        new Policy.TeamQuota("red", 16, 48, 0, 0),
        new Policy.TeamQuota("blue", 0, 0, 0, 0),
        new Policy.TeamQuota("green", 0, 0, 0, 0));
  }

  MonotonicTime time() {
    return new MonotonicTime(now);
  }

  void log(String event) {
    trace.add(String.format("%7.1f  %s", now / 1000.0, event));
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  void submit(JobSpec spec) {
    // Clocks of the controllers that accept jobs differ by up to a quarter of a second.
    records.put(spec.id(), new JobRecord(spec, now - skewMs(spec), ++revision));
    log(spec.id() + " submitted");
  }

  private long skewMs(JobSpec spec) {
    return clocksSkewed ? Math.floorMod(spec.id().hashCode(), 250) : 0;
  }

  void cancel(JobId id) {
    JobRecord record = records.get(id);
    if (!record.ended && now >= storeDownUntil) {
      record.ended = true;
      record.cancelledAt = now;
      log(id + " cancelled");
    }
  }

  /** Checks a starting task for uniqueness, its team's limit, its placement and cancellation. */
  private void checkStart(SimulatedWorker worker, TaskId id, JobRecord job) {
    startCount++;
    job.startedAt = job.startedAt < 0 ? now : job.startedAt;
    log(id + " starts on " + worker.id);
    double teamCores = 0;
    int zoneHere = 0;
    int zoneElsewhere = 0;
    for (SimulatedWorker other : workers.values()) {
      // A worker paused beyond its lease discards its tasks before it does anything else.
      if (other.dead || (now < other.hungUntil && now - other.leaseRenewedAt > LEASE_MS)) {
        continue;
      }
      for (Map.Entry<TaskId, SimulatedTask> entry : other.tasks.entrySet()) {
        boolean running = entry.getValue().state == WorkerHeartbeat.TaskState.RUNNING;
        boolean self = other == worker && entry.getKey().equals(id);
        if (!running && !self) {
          continue;
        }
        if (!self && entry.getKey().equals(id)) {
          violations.add(
              "ran_twice: " + id + " on " + worker.id + " and " + other.id + " at " + now);
        }
        JobRecord otherRecord = records.get(entry.getKey().job());
        if (otherRecord.spec.team().equals(job.spec.team())) {
          teamCores += otherRecord.spec.size().cores();
        }
        if (otherRecord == job && !self) {
          if (other.zone.equals(worker.zone)) {
            zoneHere++;
          } else {
            zoneElsewhere++;
          }
        }
      }
    }
    double limit = policy.teams().get(job.spec.team()).coreLimit();
    if (limit > 0 && teamCores > limit) {
      violations.add("quota: " + job.spec.team() + " uses " + teamCores + " at " + now);
    }
    JobSpec spec = job.spec;
    if (!spec.allows("box", worker.zone, worker.spot)
        || (spec.oneZone() && zoneElsewhere > 0)
        || (spec.spread() && zoneHere + 1 > spec.spreadLimit())) {
      violations.add("wrong_place: " + id + " on " + worker.id + " at " + now);
    }
    if (job.cancelledAt >= 0 && now > job.cancelledAt + CANCEL_BOUND_MS) {
      violations.add("ran_cancelled: " + id + " starts at " + now);
    }
  }

  private void checkCancelled() {
    for (SimulatedWorker worker : workers.values()) {
      for (TaskId id : worker.tasks.keySet()) {
        JobRecord record = records.get(id.job());
        boolean active = !worker.dead && !worker.tasks.get(id).exited();
        if (active
            && record.cancelledAt >= 0
            && now > record.cancelledAt + CANCEL_BOUND_MS
            && now >= worker.hungUntil) {
          violations.add("ran_cancelled: " + id + " on " + worker.id + " at " + now);
        }
      }
    }
  }

  void step() {
    now += STEP_MS;
    delayedWrites();
    expireLeaderLease();
    elect();
    readState();
    workers.values().forEach(SimulatedWorker::expireLease);
    workers.values().forEach(SimulatedWorker::step);
    deliverDelayedHeartbeats();
    deliverDelayedResponses();
    for (SimulatedWorker worker : new ArrayList<>(workers.values())) {
      sendHeartbeat(worker);
    }
    if (leader != null && !leader.isPartitioned()) {
      driveLeader(leader);
    }
    for (SimulatedLeader former : refusedLeaders) {
      driveLeader(former);
    }
    refusedLeaders.removeIf(
        former -> former.storeReachable() || !former.lease.mayRenewWorkerLeases(time()));
    driveSupersededLeader();
    tickPartitionedLeaders();
    checkCancelled();
    quotaChecks.check();
    PlacementChecks.check(this);
    liveness.check();
  }

  private void tickPartitionedLeaders() {
    for (SimulatedLeader former : formerLeaders) {
      if (former.isPartitioned()) {
        former.core.tick(time());
      }
    }
  }

  void run(double seconds) {
    for (long end = now + (long) (seconds * 1000); now < end; ) {
      step();
    }
  }

  /** Makes the key-value store unreachable for the leader only; workers still reach the leader. */
  void refuseLeader(long durationMs) {
    if (leader != null) {
      log("key-value store unreachable for the leader of term " + leader.term);
      leader.refusedUntil = now + durationMs;
      electAt = now + LEADER_LEASE_MS + 500;
    }
  }

  /** Starts a key-value store outage; leases in the store regain their full duration after it. */
  void takeStoreDown(long durationMs) {
    log("key-value store outage begins");
    storeDownUntil = now + durationMs;
    electAt = Math.max(electAt, storeDownUntil + LEADER_LEASE_MS);
  }

  /** Expires the lease of a leader that alone cannot reach the key-value store. */
  private void expireLeaderLease() {
    if (leader != null && now < leader.refusedUntil && now >= storeDownUntil && now >= electAt) {
      leader.replaced = true;
      refusedLeaders.add(leader);
      leader = null;
    }
  }

  private void elect() {
    if (leader != null || now < electAt || now < storeDownUntil) {
      return;
    }
    Term term = new Term(++termNumber);
    LeaderLease leaderLease =
        new LeaderLease(TimeSpan.millis(LEADER_LEASE_MS), policy.leaseRenewalWindow());
    leaderLease.onElected(term, Revision.ABSENT, time());
    leader = new SimulatedLeader(term, leaderLease);
    leader.readingUntil = now + leaderReadMs;
    log("term " + term + " begins");
  }

  private void readState() {
    if (leader == null
        || leader.core != null
        || now < leader.readingUntil
        || !leader.storeReachable()) {
      return;
    }
    List<Job> jobs = new ArrayList<>();
    for (JobRecord record : records.values()) {
      if (!record.ended) {
        long arrived = dropArrivals ? now : record.submittedAt;
        Job job = new Job(record.spec, arrived, (BitSet) record.done.clone(), record.started);
        job.dependenciesMet(record.started);
        job.queueState().setOrderKey(record.lane(), record.position);
        jobs.add(job);
      }
    }
    List<LedgerEntry> known = dropLedger ? List.of() : new ArrayList<>(ledger);
    leader.ledgerPage.addAll(ledger);
    leader.core =
        new LeaderCore(
            policy,
            leader.term,
            new InheritedState(jobs, known, true, List.of(machineType)),
            time(),
            now);
    leader.lease.onSynced(time());
    leader.core.decisions().restoreOrderInputs(orderInputs);
    leader.core.decisions().restoreDailyDeadlines(dailyDeadlines.values());
    duplicates.deliver(leader);
  }

  /** Applies a leader's write now, or later and unacknowledged. Returns whether it succeeded. */
  private boolean write(SimulatedLeader writer, BooleanSupplier guard, Runnable write) {
    return write(writer, delayedWriteShare > 0 && chance(delayedWriteShare), guard, write);
  }

  private boolean write(
      SimulatedLeader writer, boolean delayed, BooleanSupplier guard, Runnable write) {
    if (delayed) {
      long until = now + 2000 + random.nextInt(20) * STEP_MS;
      delayedWrites.add(new DelayedWrite(until, writer.term, guard, write));
      return false;
    }
    if (guard.getAsBoolean()) {
      write.run();
      return lostWriteResponseShare == 0 || !chance(lostWriteResponseShare);
    }
    return false;
  }

  /** Applies the delayed writes that are due and whose leader still holds its election key. */
  private void delayedWrites() {
    for (DelayedWrite delayed : List.copyOf(delayedWrites)) {
      if (now >= delayed.until && now >= storeDownUntil) {
        delayedWrites.remove(delayed);
        if (leader != null && leader.term.equals(delayed.by) && delayed.guard.getAsBoolean()) {
          delayed.write.run();
        }
      }
    }
  }

  /**
   * Crashes the leader or partitions it. A successor is elected when its lease expires.
   *
   * @param partitionMs duration of the partition in milliseconds, or 0 for a crash
   */
  void failLeader(long partitionMs) {
    if (leader == null) {
      return;
    }
    log(partitionMs > 0 ? "leader partitioned" : "leader crashed");
    leader.replaced = true;
    if (partitionMs > 0 && leader.core != null) {
      leader.partitionedUntil = now + partitionMs;
      formerLeaders.add(leader);
    }
    leader = null;
    electAt = now + LEADER_LEASE_MS + 500;
  }

  /**
   * Elects another leader while the current one is healthy and does not notice. From then on the
   * writes and lease renewals of the superseded leader fail, but workers still send it heartbeats,
   * and the machines that it creates and deletes are created and deleted.
   *
   * @param unawareMs time until the superseded leader notices, in milliseconds
   */
  void supersede(long unawareMs) {
    if (leader == null || leader.core == null) {
      return;
    }
    log("leader superseded without noticing");
    supersededLeader = leader;
    supersededUntil = now + unawareMs;
    leader = null;
    electAt = now;
  }

  private void driveSupersededLeader() {
    if (supersededLeader != null && now >= supersededUntil) {
      supersededLeader = null;
    }
    if (supersededLeader == null) {
      return;
    }
    // Renewals are valid only with a read of its election key, so none succeeds; the watch of the
    // job records continues.
    supersededLeader.lease.onSynced(time());
    LeaderCore core = supersededLeader.core;
    for (JobRecord record : records.values()) {
      if (record.ended && core.jobs().find(record.spec.id()) != null) {
        core.jobs().onRemoved(record.spec.id(), time());
      } else if (!record.ended) {
        // Whether an earlier leader may have started the job was read at this leader's election.
        core.jobs().onAdded(record.spec, record.submittedAt, false);
      }
    }
    core.jobs().toMarkStarted();
    core.tick(time(), supersededLeader.lease.renewedAt());
    core.machines().toRecord();
    scale(core);
  }

  private void sendHeartbeat(SimulatedWorker worker) {
    if (worker.dead
        || now < worker.upAt
        || now < worker.hungUntil
        || now < worker.nextHeartbeat
        || now < worker.awaitsResponseUntil) {
      return;
    }
    worker.nextHeartbeat = now + 3000;
    WorkerHeartbeat heartbeat = worker.heartbeat();
    if (now < worker.outboundLostUntil || now < worker.partitionedUntil()) {
      worker.retriesElsewhere = true;
    }
    if (now < worker.outboundLostUntil) {
      // The connection is refused at once; the next controller is tried a second later.
      worker.nextHeartbeat = now + 1000;
      return;
    }
    duplicates.sent(heartbeat);
    if (now < worker.partitionedUntil()) {
      // Delayed until the partition ends, and then delivered regardless of age.
      delayedHeartbeats.add(new DelayedHeartbeat(worker.partitionedUntil(), heartbeat));
      return;
    }
    if (chance(duplicateShare)) {
      delayedHeartbeats.add(
          new DelayedHeartbeat(now + 1000 + random.nextInt(3 * (int) LEASE_MS), heartbeat));
    }
    // Workers stay with the superseded leader until it redirects them.
    SimulatedLeader to =
        supersededLeader != null
                && (leader == null || worker.token.equals(supersededLeader.core.term()))
            ? supersededLeader
            : leader;
    if (supersededLeader != null && (worker.retriesElsewhere || chance(0.2))) {
      to = leader;
    }
    if (refusedLeaders.contains(worker.servedBy)
        && worker.servedBy.lease.mayRenewWorkerLeases(time())) {
      to = worker.servedBy;
    }
    for (SimulatedLeader former : formerLeaders) {
      if (former.isPartitioned() && worker.zone.equals("b")) {
        to = former;
      }
    }
    if (to == null) {
      return;
    }
    worker.servedBy = to;
    deliverHeartbeat(worker, to, heartbeat, true);
  }

  private void deliverHeartbeat(
      SimulatedWorker worker, SimulatedLeader to, WorkerHeartbeat heartbeat, boolean inTime) {
    if (!to.lease.mayRenewWorkerLeases(time()) || heartbeat.fencingToken().compareTo(to.term) > 0) {
      return;
    }
    if (to.core == null) {
      // A leader that has not read the state yet responds with its term and no commands.
      if (inTime) {
        worker.onResponse(to, now, List.of());
      }
      return;
    }
    List<WorkerCommand> commands =
        to.core.onHeartbeat(heartbeat, to.lease.mayLaunch(time()), time());
    if (!inTime) {
      return;
    }
    if (to.isPartitioned()) {
      countAtPartitionedLeader(heartbeat, commands);
    }
    if (now < worker.inboundLostUntil) {
      // The worker times out after 4 s; responses of the other controllers are lost as well.
      worker.sequence += 2;
      worker.nextHeartbeat = now + 15_000;
      return;
    }
    if (commands == null || chance(lostResponseShare)) {
      return;
    }
    if (slowResponseShare > 0 && chance(slowResponseShare)) {
      long at = now + STEP_MS * (1 + random.nextInt(10));
      delayedResponses.add(new DelayedResponse(at, now, worker.epoch, worker, to, commands));
      worker.awaitsResponseUntil = Math.min(at, now + RESPONSE_TIMEOUT_MS);
      return;
    }
    worker.onResponse(to, now, commands);
  }

  private void countAtPartitionedLeader(WorkerHeartbeat heartbeat, List<WorkerCommand> commands) {
    heartbeatsToPartitionedLeaders++;
    completionsToPartitionedLeaders +=
        (int)
            heartbeat.tasks().stream()
                .filter(status -> status.cause() == WorkerHeartbeat.ExitCause.DONE)
                .count();
    if (commands != null) {
      launchesByPartitionedLeaders +=
          (int)
              commands.stream().filter(command -> command instanceof WorkerCommand.Launch).count();
    }
  }

  private void deliverDelayedResponses() {
    for (DelayedResponse response : List.copyOf(delayedResponses)) {
      // A response that arrived during a process pause is read when the worker resumes.
      boolean read = response.to.isUp() || now - response.sent > RESPONSE_TIMEOUT_MS;
      if (now >= response.at && read) {
        delayedResponses.remove(response);
        boolean received =
            response.to.isUp()
                && now >= response.to.inboundLostUntil
                && response.session == response.to.epoch;
        if (received && now - response.sent <= RESPONSE_TIMEOUT_MS) {
          response.to.onResponse(response.by, response.sent, response.orders);
        }
      }
    }
  }

  private void deliverDelayedHeartbeats() {
    for (DelayedHeartbeat delayed : new ArrayList<>(delayedHeartbeats)) {
      if (now >= delayed.until && leader != null) {
        delayedHeartbeats.remove(delayed);
        SimulatedWorker worker = workers.get(delayed.report.machine());
        if (worker != null) {
          deliverHeartbeat(worker, leader, delayed.report, false);
        }
      }
    }
  }

  private void driveLeader(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    if (core == null) {
      return;
    }
    if (!driven.storeReachable() || driven.replaced) {
      core.tick(time(), driven.lease.renewedAt());
      return;
    }
    driven.lease.onRenewed(time());
    driven.lease.onSynced(time());
    readJobRecords(driven);
    // Alternates between high and moderate load.
    core.onLoadSample(now / 9000 % 3 == 0 ? 1 : 0.3, 0.1, 0, time());
    core.tick(time(), driven.lease.renewedAt());
    writeJobRecords(driven);
    writeDecisions(core);
    writeLedger(driven);
    scale(core);
  }

  private void readJobRecords(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    for (JobRecord record : records.values()) {
      if (record.ended && core.jobs().find(record.spec.id()) != null) {
        core.jobs().onRemoved(record.spec.id(), time());
      } else if (!record.ended) {
        core.jobs()
            .onAdded(
                record.spec, record.submittedAt, record.started, record.lane(), record.position);
      }
    }
    core.jobs().toMarkStarted();
    for (Job job : core.jobs().scheduled()) {
      // The start is written again until a write is acknowledged.
      JobRecord record = records.get(job.id());
      if (!job.isStartRecorded()
          && !job.isCancelled()
          && write(driven, () -> true, () -> record.started = true)) {
        core.jobs().onProgressRecorded(job, (BitSet) record.done.clone());
      }
    }
  }

  private void writeJobRecords(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    for (Job job : core.jobs().toFinish()) {
      JobRecord record = records.get(job.id());
      if (write(driven, () -> !record.ended, () -> finish(record)) || record.ended) {
        core.jobs().onFinished(job, time());
      }
    }
    for (Job job : core.jobs().toRecord()) {
      JobRecord record = records.get(job.id());
      BitSet done = (BitSet) job.doneTasks().clone();
      long version = record.version;
      core.jobs().onRecordingStarted(job);
      if (write(driven, () -> record.version == version, () -> record.recordProgress(done))) {
        core.jobs().onProgressRecorded(job, done);
      } else {
        job.setUnrecordedProgress(true);
      }
    }
  }

  private void writeDecisions(LeaderCore core) {
    QueueOrderInputs written = core.decisions().orderInputsToRecord(time());
    if (written != null) {
      orderInputs = written;
      orderInputWrites++;
      core.decisions().onOrderInputsRecorded(written, true);
    }
    DailyDeadline deadline = core.decisions().dailyDeadlineToRecord(time());
    if (deadline != null) {
      dailyDeadlineWrites++;
      dailyDeadlines.put(deadline.recordName(), deadline);
      core.decisions().onDailyDeadlineRecorded(deadline, true);
    }
    core.decisions().dailyDeadlinesToDelete().forEach(dailyDeadlines::remove);
  }

  private void writeLedger(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    List<LedgerEntry> entries = core.machines().toRecord();
    driven.ledgerPage.addAll(entries);
    driven.unwritten.addAll(entries);
    if (!driven.unwritten.isEmpty()) {
      Set<LedgerEntry> all = new LinkedHashSet<>(driven.ledgerPage);
      long version = ledgerVersion;
      boolean delayed =
          now < ledgerDelayedUntil || (delayedWriteShare > 0 && chance(delayedWriteShare));
      if (write(driven, delayed, () -> ledgerVersion == version, () -> replaceLedger(all))) {
        core.machines().onRecorded(List.copyOf(driven.unwritten));
        driven.unwritten.clear();
      }
    }
  }

  private void replaceLedger(Set<LedgerEntry> entries) {
    ledger.clear();
    ledger.addAll(entries);
    ledgerVersion++;
  }

  /** Records the end of a job; the caller guards against a job that has already ended. */
  private void finish(JobRecord record) {
    record.ended = true;
    record.doneAt = now;
    log(record.spec.id() + " completed");
    if (record.completed.cardinality() < record.spec.tasks()) {
      violations.add("not_done: " + record.spec.id() + " at " + now);
    }
  }

  private void scale(LeaderCore core) {
    if (now < cloudDownUntil) {
      return;
    }
    for (ScaleOutRequest request : core.machines().planScaleOut(time())) {
      List<MachineId> created = new ArrayList<>();
      for (int i = 0; i < request.count() && mayCreateMachine(request.zone()); i++) {
        MachineId id = new MachineId(String.format("vm-%06d", machineNumber++));
        workers.put(
            id,
            new SimulatedWorker(
                id,
                request.zone(),
                request.spot(),
                now + bootMs + random.nextInt(bootSteps) * STEP_MS));
        created.add(id);
      }
      log(created.size() + " of " + request.count() + " machines created in " + request.zone());
      core.machines().onCreated(request, created, time());
    }
    List<MachineId> deleted = core.machines().planScaleIn(time());
    if (!deleted.isEmpty()) {
      deleted.forEach(workers::remove);
      // A deleted machine leaves the ledger, regardless of which leader records the deletion.
      if (leader != null) {
        leader.ledgerPage.removeIf(entry -> deleted.contains(entry.id()));
      }
      ledger.removeIf(entry -> deleted.contains(entry.id()));
      core.machines().onDeleted(deleted, time());
      log(deleted.size() + " machines deleted");
    }
  }

  private boolean mayCreateMachine(String zone) {
    return workers.size() < maxMachines
        && workers.values().stream().filter(worker -> worker.zone.equals(zone)).count()
            < maxMachinesInZone;
  }

  /** Stops injecting new faults; faults in progress end by themselves. */
  void endFaults() {
    lostResponseShare = 0;
    delayedWriteShare = 0;
    slowResponseShare = 0;
    duplicateShare = 0;
    lostWriteResponseShare = 0;
    duplicates.share = 0;
    liveness.begin();
  }

  boolean hasFaults() {
    boolean machines =
        workers.values().stream()
            .anyMatch(
                worker ->
                    now < worker.partitionedUntil()
                        || now < worker.hungUntil
                        || now < worker.inboundLostUntil
                        || worker.failsAll);
    boolean leaders = leader == null || supersededLeader != null || now < leader.refusedUntil;
    return machines
        || leaders
        || now < storeDownUntil
        || now < cloudDownUntil
        || !delayedHeartbeats.isEmpty()
        || !delayedWrites.isEmpty()
        || formerLeaders.stream().anyMatch(SimulatedLeader::isPartitioned);
  }

  boolean inLedger(MachineId id) {
    return ledger.stream().anyMatch(entry -> entry.id().equals(id));
  }

  boolean allJobsEnded() {
    return records.values().stream().allMatch(record -> record.ended);
  }

  SimulatedWorker anyWorker() {
    List<SimulatedWorker> all = new ArrayList<>(workers.values());
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }
}
