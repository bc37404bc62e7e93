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
  static final long CANCELLATION_BOUND_MS = 41_000;
  static final long LEADER_LEASE_MS = 5_000;

  /** Time after which a worker stops waiting for a response, in milliseconds. */
  private static final long RESPONSE_TIMEOUT_MS = 4_000;

  /** Job class whose tasks fail on every machine. */
  static final String ALWAYS_FAILING_CLASS = "broken";

  /** Job record in the key-value store. */
  static final class JobRecord {
    final JobSpec spec;
    final long submittedAt;
    BitSet recordedTasks = new BitSet();
    boolean started;
    boolean ended;
    long cancelledAt = -1;

    /** Time at which the first task started, or -1 if none has. */
    long startedAt = -1;

    /** Time at which all tasks were recorded as done, or -1 if they are not. */
    long doneAt = -1;

    /** Queue position given by the revision at which the job was accepted. */
    final AdmissionPosition admissionPosition;

    JobRecord(JobSpec spec, long at, long revision) {
      this.spec = spec;
      this.submittedAt = at;
      this.admissionPosition = new AdmissionPosition(revision, 0);
    }

    /** Tasks that ran to completion, whether recorded or not. */
    final BitSet completedTasks = new BitSet();

    /** Number of progress writes; each write is guarded by the version before it. */
    long progressVersion;

    void recordProgress(BitSet doneTasks) {
      recordedTasks = (BitSet) doneTasks.clone();
      progressVersion++;
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

    boolean hasExited() {
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
    final long bootedAt;
    final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
    long epoch = 1;
    long sequence;
    Term term = Term.NONE;
    long leaseRenewedAt;
    long nextHeartbeatAt;

    /** Time of the last early heartbeat caused by a new term; at most one per half lease. */
    private long termAnnouncedAt = -LEASE_MS;

    boolean failed;
    boolean failsAllTasks;
    long partitionedUntil;
    long pausedUntil;

    /** Time until which heartbeats arrive but no response reaches the worker. */
    long inboundLostUntil;

    /** Time until which the worker cannot connect to any controller and sends no heartbeats. */
    long outboundLostUntil;

    /** Whether the worker tries another controller because the last one did not respond. */
    private boolean triesNextController;

    /** Time until which the worker waits for the response to its only heartbeat in flight. */
    long responseDeadline;

    /** Leader that the worker last sent a heartbeat to, and stays with until it is redirected. */
    SimulatedLeader lastLeader;

    SimulatedWorker(MachineId id, String zone, boolean spot, long upAt) {
      this.id = id;
      this.zone = zone;
      this.spot = spot;
      this.bootedAt = upAt;
      this.leaseRenewedAt = upAt;
      this.nextHeartbeatAt = upAt;
    }

    WorkerHeartbeat heartbeat() {
      List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>();
      tasks.forEach(
          (id, task) ->
              statuses.add(
                  new WorkerHeartbeat.TaskStatus(id, task.attempt, task.state, task.cause, false)));
      return new WorkerHeartbeat(
          this.id, "", machineType.name(), zone, spot, epoch, ++sequence, term, null, statuses);
    }

    /** Restarts the worker under the same machine id, without its tasks, epoch and term. */
    void restart() {
      tasks.clear();
      epoch = 1;
      sequence = 0;
      term = Term.NONE;
      leaseRenewedAt = now;
      nextHeartbeatAt = now;
      log(id + " restarts without tasks");
    }

    long partitionedUntil() {
      return Math.max(partitionedUntil, zonePartitionedUntil.getOrDefault(zone, 0L));
    }

    /** Returns whether the worker is up, executes commands and receives responses. */
    boolean isHealthy() {
      return isUp() && !failsAllTasks && now >= partitionedUntil() && now >= inboundLostUntil;
    }

    /** Returns the resources of the tasks that have not exited. */
    Resources usedResources() {
      Resources sum = Resources.ZERO;
      for (Map.Entry<TaskId, SimulatedTask> entry : tasks.entrySet()) {
        if (!entry.getValue().hasExited()) {
          sum = sum.plus(records.get(entry.getKey().job()).spec.size());
        }
      }
      return sum;
    }

    /** Returns whether the task is on this machine and has not exited. */
    boolean holdsTask(TaskId task) {
      SimulatedTask heldTask = tasks.get(task);
      return heldTask != null && !heldTask.hasExited();
    }

    private boolean isUp() {
      return !failed && now >= bootedAt && now >= pausedUntil;
    }

    /** Discards the tasks if the lease expired; runs for all workers before any of them steps. */
    void expireLease() {
      if (isUp() && now - leaseRenewedAt > LEASE_MS) {
        tasks.clear();
        epoch++;
        leaseRenewedAt = now;
        nextHeartbeatAt = now;
        log("lease expired on machine " + id);
      }
    }

    void step() {
      if (isUp()) {
        tasks.forEach(this::advanceTask);
      }
    }

    private void advanceTask(TaskId id, SimulatedTask task) {
      JobRecord job = records.get(id.job());
      if (task.state == WorkerHeartbeat.TaskState.FETCHING && now >= task.fetchedAt) {
        if (failsAllTasks || job.spec.jobClass().equals(ALWAYS_FAILING_CLASS)) {
          task.state = WorkerHeartbeat.TaskState.EXITED;
          task.cause = WorkerHeartbeat.ExitCause.ERROR;
          nextHeartbeatAt = now;
          return;
        }
        checkStart(this, id, job);
        task.state = WorkerHeartbeat.TaskState.RUNNING;
        task.endsAt = now + job.spec.estimate().times(runTimeFactor).ms();
      } else if (task.state == WorkerHeartbeat.TaskState.RUNNING && now >= task.endsAt) {
        task.state = WorkerHeartbeat.TaskState.EXITED;
        task.cause = WorkerHeartbeat.ExitCause.DONE;
        job.completedTasks.set(id.index());
        nextHeartbeatAt = now;
      }
    }

    /** Renews the lease from the time at which the heartbeat was sent, and runs the commands. */
    void onResponse(SimulatedLeader responder, long sentAt, List<WorkerCommand> commands) {
      if (responder.term.compareTo(term) >= 0) {
        triesNextController = false;
        leaseRenewedAt = sentAt;
        execute(responder.term, commands);
      }
    }

    void execute(Term newTerm, List<WorkerCommand> commands) {
      if (newTerm.compareTo(term) < 0) {
        return;
      }
      if (!newTerm.equals(term)) {
        term = newTerm;
        if (now - termAnnouncedAt >= LEASE_MS / 2) {
          termAnnouncedAt = now;
          nextHeartbeatAt = now + STEP_MS;
        }
      }
      for (WorkerCommand command : commands) {
        SimulatedTask task = tasks.get(command.task());
        if (command instanceof WorkerCommand.Launch) {
          if (task == null) {
            tasks.put(command.task(), new SimulatedTask(command.attempt(), now + 1000));
            log(id + " accepts launch of " + command.task());
            nextHeartbeatAt = now + STEP_MS;
          }
        } else if (task != null && task.attempt.equals(command.attempt())) {
          if (command instanceof WorkerCommand.Stop && !task.hasExited()) {
            task.state = WorkerHeartbeat.TaskState.EXITED;
            task.cause = WorkerHeartbeat.ExitCause.STOPPED;
            log(id + " stops " + command.task());
            nextHeartbeatAt = now + STEP_MS;
          } else if (command instanceof WorkerCommand.Clear && task.hasExited()) {
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
    final Set<LedgerEntry> ledgerView = new LinkedHashSet<>();

    /** Entries that no acknowledged write has stored in the ledger. */
    final Set<LedgerEntry> unwrittenEntries = new LinkedHashSet<>();

    long partitionedUntil;
    long readingUntil;

    /** Time until which the key-value store is unreachable for this leader only. */
    long storeUnreachableUntil;

    boolean replaced;

    SimulatedLeader(Term term, LeaderLease lease) {
      this.term = term;
      this.lease = lease;
    }

    boolean canReachStore() {
      return now >= storeUnreachableUntil && now >= storeOutageUntil;
    }

    boolean isPartitioned() {
      return now < partitionedUntil;
    }
  }

  private record DelayedHeartbeat(long arrivesAt, WorkerHeartbeat heartbeat) {}

  /** Response that arrives late; the worker discards it after {@link #RESPONSE_TIMEOUT_MS}. */
  private record DelayedResponse(
      long arrivesAt,
      long sentAt,
      long epoch,
      SimulatedWorker worker,
      SimulatedLeader leader,
      List<WorkerCommand> commands) {}

  /** Unacknowledged transaction that is applied late, provided that its guard still holds. */
  private record DelayedWrite(long appliesAt, Term term, BooleanSupplier guard, Runnable write) {}

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
  double slowResponseProbability;

  long storeOutageUntil;

  /** Time that a new leader takes to read the state, in milliseconds. */
  long leaderReadMs;

  /** Probability that a leader's transaction is unacknowledged and applied 2 to 12 s later. */
  double delayedWriteProbability;

  /** Leaders whose lease expired while the store was unreachable; workers still reach them. */
  private final List<SimulatedLeader> leadersWithoutStore = new ArrayList<>();

  SimulatedLeader leader;
  private SimulatedLeader supersededLeader;
  private long supersededUntil;
  private long ledgerVersion;
  long now = 1000;
  long lastTermNumber;
  long nextElectionAt;
  long cloudOutageUntil;
  int taskStartCount;
  private int nextMachineNumber;

  /** Whether new leaders ignore the ledger, to show that the checks detect the violation. */
  boolean ignoreLedger;

  /** Whether new leaders ignore submission times, to show that the checks detect the violation. */
  boolean ignoreSubmissionTimes;

  /** Whether healthy leaders are superseded without noticing at first. */
  boolean supersede;

  double lostResponseProbability;
  boolean clocksSkewed;

  /** Ratio of the actual run time of tasks to their estimate. */
  double runTimeFactor = 1;

  private long revision;

  /** Recorded inputs of the queue order, or {@code null} if none were recorded. */
  private QueueOrderInputs orderInputs;

  int orderInputWrites;
  final Map<String, DailyDeadline> dailyDeadlines = new TreeMap<>();
  int dailyDeadlineWrites;

  /** Probability that a copy of a heartbeat arrives again, about three leases later at most. */
  double duplicateProbability;

  /** Whether outages of the key-value store are combined with other faults. */
  boolean storeFaults;

  /** Whether machines also lose responses or restart, in addition to the other faults. */
  boolean asymmetricPartitions;

  /** Probability that a leader's transaction is applied at once but its response is lost. */
  double lostWriteResponseProbability;

  /** Time until which ledger writes are unacknowledged and applied 2 to 12 s later. */
  long ledgerDelayedUntil;

  long minBootMs = 8000;

  /** Exclusive bound of the random number of steps added to the minimum boot time. */
  int maxExtraBootSteps = 16;

  /** Time until which a zone is partitioned, including its controllers, by zone. */
  final Map<String, Long> zonePartitionedUntil = new TreeMap<>();

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
    this.nextElectionAt = now;
  }

  static Policy policy(TimeSpan lease) {
    return TestPolicies.of(
        lease,
        LeaderLease.workerRenewalBound(
            TimeSpan.millis(LEASE_MS), TimeSpan.millis(CANCELLATION_BOUND_MS)),
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
    if (!record.ended && now >= storeOutageUntil) {
      record.ended = true;
      record.cancelledAt = now;
      log(id + " cancelled");
    }
  }

  /** Checks a starting task for uniqueness, its team's limit, its placement and cancellation. */
  private void checkStart(SimulatedWorker worker, TaskId id, JobRecord job) {
    taskStartCount++;
    job.startedAt = job.startedAt < 0 ? now : job.startedAt;
    log(id + " starts on " + worker.id);
    double teamCores = 0;
    int zoneHere = 0;
    int zoneElsewhere = 0;
    for (SimulatedWorker other : workers.values()) {
      // A worker paused beyond its lease discards its tasks before it does anything else.
      if (other.failed || (now < other.pausedUntil && now - other.leaseRenewedAt > LEASE_MS)) {
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
    if (job.cancelledAt >= 0 && now > job.cancelledAt + CANCELLATION_BOUND_MS) {
      violations.add("ran_cancelled: " + id + " starts at " + now);
    }
  }

  private void checkCancelled() {
    for (SimulatedWorker worker : workers.values()) {
      for (TaskId id : worker.tasks.keySet()) {
        JobRecord record = records.get(id.job());
        boolean active = !worker.failed && !worker.tasks.get(id).hasExited();
        if (active
            && record.cancelledAt >= 0
            && now > record.cancelledAt + CANCELLATION_BOUND_MS
            && now >= worker.pausedUntil) {
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
    readRecordedState();
    workers.values().forEach(SimulatedWorker::expireLease);
    workers.values().forEach(SimulatedWorker::step);
    deliverDelayedHeartbeats();
    deliverDelayedResponses();
    for (SimulatedWorker worker : new ArrayList<>(workers.values())) {
      sendHeartbeat(worker);
    }
    if (leader != null && !leader.isPartitioned()) {
      stepLeader(leader);
    }
    for (SimulatedLeader former : leadersWithoutStore) {
      stepLeader(former);
    }
    leadersWithoutStore.removeIf(
        former -> former.canReachStore() || !former.lease.mayRenewWorkerLeases(time()));
    stepSupersededLeader();
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
  void disconnectLeaderFromStore(long durationMs) {
    if (leader != null) {
      log("key-value store unreachable for the leader of term " + leader.term);
      leader.storeUnreachableUntil = now + durationMs;
      nextElectionAt = now + LEADER_LEASE_MS + 500;
    }
  }

  /** Starts a key-value store outage; leases in the store regain their full duration after it. */
  void startStoreOutage(long durationMs) {
    log("key-value store outage begins");
    storeOutageUntil = now + durationMs;
    nextElectionAt = Math.max(nextElectionAt, storeOutageUntil + LEADER_LEASE_MS);
  }

  /** Expires the lease of a leader that alone cannot reach the key-value store. */
  private void expireLeaderLease() {
    if (leader != null
        && now < leader.storeUnreachableUntil
        && now >= storeOutageUntil
        && now >= nextElectionAt) {
      leader.replaced = true;
      leadersWithoutStore.add(leader);
      leader = null;
    }
  }

  private void elect() {
    if (leader != null || now < nextElectionAt || now < storeOutageUntil) {
      return;
    }
    Term term = new Term(++lastTermNumber);
    LeaderLease leaderLease =
        new LeaderLease(TimeSpan.millis(LEADER_LEASE_MS), policy.leaseRenewalWindow());
    leaderLease.onElected(term, Revision.ABSENT, time());
    leader = new SimulatedLeader(term, leaderLease);
    leader.readingUntil = now + leaderReadMs;
    log("term " + term + " begins");
  }

  private void readRecordedState() {
    if (leader == null
        || leader.core != null
        || now < leader.readingUntil
        || !leader.canReachStore()) {
      return;
    }
    List<Job> jobs = new ArrayList<>();
    for (JobRecord record : records.values()) {
      if (!record.ended) {
        long arrived = ignoreSubmissionTimes ? now : record.submittedAt;
        Job job =
            new Job(record.spec, arrived, (BitSet) record.recordedTasks.clone(), record.started);
        job.dependenciesMet(record.started);
        job.queueState().setOrderKey(record.lane(), record.admissionPosition);
        jobs.add(job);
      }
    }
    List<LedgerEntry> known = ignoreLedger ? List.of() : new ArrayList<>(ledger);
    leader.ledgerView.addAll(ledger);
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
    return write(
        writer, delayedWriteProbability > 0 && chance(delayedWriteProbability), guard, write);
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
      return lostWriteResponseProbability == 0 || !chance(lostWriteResponseProbability);
    }
    return false;
  }

  /** Applies the delayed writes that are due and whose leader still holds its election key. */
  private void delayedWrites() {
    for (DelayedWrite delayed : List.copyOf(delayedWrites)) {
      if (now >= delayed.appliesAt && now >= storeOutageUntil) {
        delayedWrites.remove(delayed);
        if (leader != null && leader.term.equals(delayed.term) && delayed.guard.getAsBoolean()) {
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
    nextElectionAt = now + LEADER_LEASE_MS + 500;
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
    nextElectionAt = now;
  }

  private void stepSupersededLeader() {
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
    scaleMachines(core);
  }

  private void sendHeartbeat(SimulatedWorker worker) {
    if (worker.failed
        || now < worker.bootedAt
        || now < worker.pausedUntil
        || now < worker.nextHeartbeatAt
        || now < worker.responseDeadline) {
      return;
    }
    worker.nextHeartbeatAt = now + 3000;
    WorkerHeartbeat heartbeat = worker.heartbeat();
    if (now < worker.outboundLostUntil || now < worker.partitionedUntil()) {
      worker.triesNextController = true;
    }
    if (now < worker.outboundLostUntil) {
      // The connection is refused at once; the next controller is tried a second later.
      worker.nextHeartbeatAt = now + 1000;
      return;
    }
    duplicates.sent(heartbeat);
    if (now < worker.partitionedUntil()) {
      // Delayed until the partition ends, and then delivered regardless of age.
      delayedHeartbeats.add(new DelayedHeartbeat(worker.partitionedUntil(), heartbeat));
      return;
    }
    if (chance(duplicateProbability)) {
      delayedHeartbeats.add(
          new DelayedHeartbeat(now + 1000 + random.nextInt(3 * (int) LEASE_MS), heartbeat));
    }
    // Workers stay with the superseded leader until it redirects them.
    SimulatedLeader to =
        supersededLeader != null
                && (leader == null || worker.term.equals(supersededLeader.core.term()))
            ? supersededLeader
            : leader;
    if (supersededLeader != null && (worker.triesNextController || chance(0.2))) {
      to = leader;
    }
    if (leadersWithoutStore.contains(worker.lastLeader)
        && worker.lastLeader.lease.mayRenewWorkerLeases(time())) {
      to = worker.lastLeader;
    }
    for (SimulatedLeader former : formerLeaders) {
      if (former.isPartitioned() && worker.zone.equals("b")) {
        to = former;
      }
    }
    if (to == null) {
      return;
    }
    worker.lastLeader = to;
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
      countPartitionedLeaderTraffic(heartbeat, commands);
    }
    if (now < worker.inboundLostUntil) {
      // The worker times out after 4 s; responses of the other controllers are lost as well.
      worker.sequence += 2;
      worker.nextHeartbeatAt = now + 15_000;
      return;
    }
    if (commands == null || chance(lostResponseProbability)) {
      return;
    }
    if (slowResponseProbability > 0 && chance(slowResponseProbability)) {
      long at = now + STEP_MS * (1 + random.nextInt(10));
      delayedResponses.add(new DelayedResponse(at, now, worker.epoch, worker, to, commands));
      worker.responseDeadline = Math.min(at, now + RESPONSE_TIMEOUT_MS);
      return;
    }
    worker.onResponse(to, now, commands);
  }

  private void countPartitionedLeaderTraffic(
      WorkerHeartbeat heartbeat, List<WorkerCommand> commands) {
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
      boolean read = response.worker.isUp() || now - response.sentAt > RESPONSE_TIMEOUT_MS;
      if (now >= response.arrivesAt && read) {
        delayedResponses.remove(response);
        boolean received =
            response.worker.isUp()
                && now >= response.worker.inboundLostUntil
                && response.epoch == response.worker.epoch;
        if (received && now - response.sentAt <= RESPONSE_TIMEOUT_MS) {
          response.worker.onResponse(response.leader, response.sentAt, response.commands);
        }
      }
    }
  }

  private void deliverDelayedHeartbeats() {
    for (DelayedHeartbeat delayed : new ArrayList<>(delayedHeartbeats)) {
      if (now >= delayed.arrivesAt && leader != null) {
        delayedHeartbeats.remove(delayed);
        SimulatedWorker worker = workers.get(delayed.heartbeat.machine());
        if (worker != null) {
          deliverHeartbeat(worker, leader, delayed.heartbeat, false);
        }
      }
    }
  }

  private void stepLeader(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    if (core == null) {
      return;
    }
    if (!driven.canReachStore() || driven.replaced) {
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
    scaleMachines(core);
  }

  private void readJobRecords(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    for (JobRecord record : records.values()) {
      if (record.ended && core.jobs().find(record.spec.id()) != null) {
        core.jobs().onRemoved(record.spec.id(), time());
      } else if (!record.ended) {
        core.jobs()
            .onAdded(
                record.spec,
                record.submittedAt,
                record.started,
                record.lane(),
                record.admissionPosition);
      }
    }
    core.jobs().toMarkStarted();
    for (Job job : core.jobs().scheduled()) {
      // The start is written again until a write is acknowledged.
      JobRecord record = records.get(job.id());
      if (!job.isStartRecorded()
          && !job.isCancelled()
          && write(driven, () -> true, () -> record.started = true)) {
        core.jobs().onProgressRecorded(job, (BitSet) record.recordedTasks.clone());
      }
    }
  }

  private void writeJobRecords(SimulatedLeader driven) {
    LeaderCore core = driven.core;
    for (Job job : core.jobs().toFinish()) {
      JobRecord record = records.get(job.id());
      if (write(driven, () -> !record.ended, () -> recordCompletion(record)) || record.ended) {
        core.jobs().onFinished(job, time());
      }
    }
    for (Job job : core.jobs().toRecord()) {
      JobRecord record = records.get(job.id());
      BitSet done = (BitSet) job.doneTasks().clone();
      long version = record.progressVersion;
      core.jobs().onRecordingStarted(job);
      if (write(
          driven, () -> record.progressVersion == version, () -> record.recordProgress(done))) {
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
    driven.ledgerView.addAll(entries);
    driven.unwrittenEntries.addAll(entries);
    if (!driven.unwrittenEntries.isEmpty()) {
      Set<LedgerEntry> all = new LinkedHashSet<>(driven.ledgerView);
      long version = ledgerVersion;
      boolean delayed =
          now < ledgerDelayedUntil
              || (delayedWriteProbability > 0 && chance(delayedWriteProbability));
      if (write(driven, delayed, () -> ledgerVersion == version, () -> replaceLedger(all))) {
        core.machines().onRecorded(List.copyOf(driven.unwrittenEntries));
        driven.unwrittenEntries.clear();
      }
    }
  }

  private void replaceLedger(Set<LedgerEntry> entries) {
    ledger.clear();
    ledger.addAll(entries);
    ledgerVersion++;
  }

  /** Records the end of a job; the caller guards against a job that has already ended. */
  private void recordCompletion(JobRecord record) {
    record.ended = true;
    record.doneAt = now;
    log(record.spec.id() + " completed");
    if (record.completedTasks.cardinality() < record.spec.tasks()) {
      violations.add("not_done: " + record.spec.id() + " at " + now);
    }
  }

  private void scaleMachines(LeaderCore core) {
    if (now < cloudOutageUntil) {
      return;
    }
    for (ScaleOutRequest request : core.machines().planScaleOut(time())) {
      List<MachineId> created = new ArrayList<>();
      for (int i = 0; i < request.count() && cloudHasCapacity(request.zone()); i++) {
        MachineId id = new MachineId(String.format("vm-%06d", nextMachineNumber++));
        workers.put(
            id,
            new SimulatedWorker(
                id,
                request.zone(),
                request.spot(),
                now + minBootMs + random.nextInt(maxExtraBootSteps) * STEP_MS));
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
        leader.ledgerView.removeIf(entry -> deleted.contains(entry.id()));
      }
      ledger.removeIf(entry -> deleted.contains(entry.id()));
      core.machines().onDeleted(deleted, time());
      log(deleted.size() + " machines deleted");
    }
  }

  private boolean cloudHasCapacity(String zone) {
    return workers.size() < maxMachines
        && workers.values().stream().filter(worker -> worker.zone.equals(zone)).count()
            < maxMachinesInZone;
  }

  /** Stops injecting new faults; faults in progress end by themselves. */
  void endFaults() {
    lostResponseProbability = 0;
    delayedWriteProbability = 0;
    slowResponseProbability = 0;
    duplicateProbability = 0;
    lostWriteResponseProbability = 0;
    duplicates.probability = 0;
    liveness.onFaultsEnded();
  }

  boolean hasFaults() {
    boolean machines =
        workers.values().stream()
            .anyMatch(
                worker ->
                    now < worker.partitionedUntil()
                        || now < worker.pausedUntil
                        || now < worker.inboundLostUntil
                        || worker.failsAllTasks);
    boolean leaders =
        leader == null || supersededLeader != null || now < leader.storeUnreachableUntil;
    return machines
        || leaders
        || now < storeOutageUntil
        || now < cloudOutageUntil
        || !delayedHeartbeats.isEmpty()
        || !delayedWrites.isEmpty()
        || formerLeaders.stream().anyMatch(SimulatedLeader::isPartitioned);
  }

  boolean isInLedger(MachineId id) {
    return ledger.stream().anyMatch(entry -> entry.id().equals(id));
  }

  boolean allJobsEnded() {
    return records.values().stream().allMatch(record -> record.ended);
  }

  SimulatedWorker randomWorker() {
    List<SimulatedWorker> all = new ArrayList<>(workers.values());
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }
}
