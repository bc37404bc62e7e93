package io.saltflow.leader;

import io.saltflow.autoscaler.ControllerCapacity;
import io.saltflow.autoscaler.ScaleOutPlanner;
import io.saltflow.cluster.CoreTimeUsage;
import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QueueDemand;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.fencing.TaskOutcomes;
import io.saltflow.fencing.TaskReconciler;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.scheduler.DependencyTracker;
import io.saltflow.scheduler.Preemption;
import io.saltflow.scheduler.Scheduler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deterministic state machine of the leader for one term. It takes events with their timestamps and
 * returns the records to write, the tasks to launch and stop, and the machines to create and
 * delete. It performs no I/O, reads no clock, uses no random numbers and runs on a single thread.
 */
public final class LeaderCore {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderCore.class);

  /** Minimum time between two ticks, as a fraction of the minimum time between two rounds. */
  private static final double MIN_TICK_INTERVAL_FRACTION = 0.25;

  /**
   * Number of tasks in a heartbeat at which its machine gets no further launches. At about 130
   * bytes per task, the heartbeat stays well below the maximum body size of 64 KiB.
   */
  private static final int MAX_TASKS_IN_HEARTBEAT = 400;

  private final ClusterState cluster;
  private final TaskReconciler reconciler;
  private final QuotaUsage quotaUsage;
  private final Scheduler scheduler;
  private final RecordedDecisions decisions;
  private final Reconciliation reconciliation;
  private final SchedulingRounds rounds;
  private final JobLifecycle jobs;
  private final MachineLifecycle machines;
  private final WorkerCommands workerCommands;
  private final WorkerContact workerContact;
  private final HealthMonitor healthMonitor;
  private final CoreTimeUsage coreTimeUsage = new CoreTimeUsage();
  private final ControllerCapacity capacity = new ControllerCapacity();
  private MonotonicTime lastTick = MonotonicTime.LONG_AGO;

  /**
   * Starts a term with the state that was read after the election.
   *
   * @param inherited the state read from the key-value store after the election
   * @param now the current time of the monotonic clock
   * @param wallClockMs the wall clock at the same moment, in milliseconds since the epoch
   */
  public LeaderCore(
      Policy policy, Term term, InheritedState inherited, MonotonicTime now, long wallClockMs) {
    LeaderTerm leaderTerm = LeaderTerm.startingAt(term, now, wallClockMs);
    Map<JobId, Job> scheduled = new LinkedHashMap<>();
    RunTimeEstimates estimates = new RunTimeEstimates(policy);
    EventSummary eventSummary = new EventSummary();
    quotaUsage = new QuotaUsage(policy.teams());
    TaskOutcomes taskOutcomes =
        new TaskOutcomes(policy, scheduled, estimates, coreTimeUsage, eventSummary);
    reconciler =
        new TaskReconciler(policy, term, scheduled, quotaUsage, taskOutcomes, eventSummary, now);
    taskOutcomes.setReconciler(reconciler);
    DependencyTracker dependencies =
        new DependencyTracker(policy, estimates, leaderTerm.wallClockOffsetMs(), scheduled::get);
    cluster =
        new ClusterState(
            policy,
            leaderTerm,
            new LiveJobs(scheduled, dependencies),
            new LinkedHashMap<>(),
            reconciler,
            estimates,
            quotaUsage,
            eventSummary);
    RoundTrigger roundTrigger = new RoundTrigger();
    decisions = new RecordedDecisions(cluster);
    reconciliation = new Reconciliation(cluster, decisions, capacity, roundTrigger);
    scheduler = new Scheduler(policy, estimates, quotaUsage, eventSummary, decisions.orderInputs());
    workerCommands = new WorkerCommands(cluster, scheduler, reconciliation);
    workerContact = new WorkerContact(policy, now);
    healthMonitor = new HealthMonitor(policy, eventSummary);
    ScaleOutPlanner scaleOutPlanner = new ScaleOutPlanner(policy, term, estimates, eventSummary);
    rounds =
        new SchedulingRounds(
            cluster,
            scheduler,
            scaleOutPlanner,
            taskOutcomes,
            decisions,
            reconciliation,
            roundTrigger);
    jobs = new JobLifecycle(cluster, taskOutcomes, decisions, reconciliation, roundTrigger);
    machines =
        new MachineLifecycle(
            cluster, taskOutcomes, reconciliation, rounds, scaleOutPlanner, capacity);
    restore(inherited, now);
  }

  private void restore(InheritedState inherited, MonotonicTime now) {
    jobs.restore(inherited.jobs());
    machines.onTypesRead(inherited.machineTypes());
    machines.restore(inherited.ledger(), inherited.ledgerComplete(), now);
    LOG.info(
        "failover started, term {}: {} jobs, {} machines to reconcile",
        term(),
        jobs.scheduled().size(),
        inherited.ledger().size());
  }

  /** Returns the term in which this controller leads. */
  public Term term() {
    return cluster.term().number();
  }

  /** Returns the lifecycle of the jobs, including the job records to write. */
  public JobLifecycle jobs() {
    return jobs;
  }

  /** Returns the lifecycle of the machines: those to create, to record and to delete. */
  public MachineLifecycle machines() {
    return machines;
  }

  /** Returns the tracker of dependencies between jobs. */
  public DependencyTracker dependencies() {
    return cluster.jobs().dependencies();
  }

  /** Returns the recorded decisions other than launches. */
  public RecordedDecisions decisions() {
    return decisions;
  }

  /** Returns the wall clock extrapolated from the election, in milliseconds since the epoch. */
  public long wallClockMs(MonotonicTime now) {
    return cluster.term().wallClockMs(now);
  }

  /**
   * Processes a worker's heartbeat.
   *
   * @param mayLaunch whether the leader lease currently permits launching tasks
   * @return the commands that answer the heartbeat, or {@code null} if it must not be answered
   *     because any answer renews the worker's lease
   */
  public List<WorkerCommand> onHeartbeat(
      WorkerHeartbeat heartbeat, boolean mayLaunch, MonotonicTime now) {
    if (machines.isDeleted(heartbeat.machine())) {
      // A partition delayed this heartbeat until its machine was deleted. Treating the machine as
      // up would block its tasks from restarting elsewhere until it is found silent and deleted
      // again.
      reconciler.acceptResults(heartbeat, now);
      return null;
    }
    Machine machine = reconcile(heartbeat, now);
    if (machine == null) {
      // A late duplicate does not prove that the worker can currently reach this leader.
      return null;
    }
    if (machine.mayRunEarlierTermTasks()
        && machine.heartbeats().answerLossDetector().answersCertainlyLost()) {
      // The worker has received no answer of this leader, and the leader could not tell whether the
      // next one arrives. Without an answer, the worker's lease is certain to expire soon.
      return null;
    }
    machine.heartbeats().setLastAnsweredAt(now);
    machine
        .heartbeats()
        .answerLossDetector()
        .onAnswered(
            heartbeat.agentEpoch(),
            heartbeat.sequence(),
            heartbeat.fencingToken().equals(term()),
            now);
    return commandsFor(machine, heartbeat, mayLaunch, now);
  }

  /** Returns the updated machine, or {@code null} if a newer heartbeat was received before. */
  private Machine reconcile(WorkerHeartbeat heartbeat, MonotonicTime now) {
    Machine known = reconciler.findMachine(heartbeat.machine());
    boolean wasUsable = known != null && known.isReconciled() && !known.isUnresponsive();
    Machine machine =
        reconciler.onHeartbeat(heartbeat, cluster.machineTypes(), capacity.isOverloaded(now), now);
    if (machine == null) {
      return null;
    }
    workerContact.onHeartbeat(now);
    machine.setUnresponsive(machine.answersLost());
    if (machine.isUnresponsive()) {
      rounds.withdrawAssignments(machine);
    }
    if (machine.isReconciled() && !wasUsable) {
      rounds.request();
    }
    reconciliation.check(now);
    return machine;
  }

  private List<WorkerCommand> commandsFor(
      Machine machine, WorkerHeartbeat heartbeat, boolean mayLaunch, MonotonicTime now) {
    List<WorkerCommand> commands = new ArrayList<>();
    workerCommands.clearRecordedResults(heartbeat, commands);
    if (rounds.isDue(now)) {
      rounds.run(now);
    } else if (machine.schedulable()) {
      rounds.fillMachine(machine, now);
    }
    if (!machine.isReconciled()) {
      workerCommands.stopEndedJobs(heartbeat, commands);
      return commands;
    }
    workerCommands.stopUnwantedTasks(machine, heartbeat, commands, now);
    if (mayLaunch && machine.schedulable()) {
      int maxLaunches = MAX_TASKS_IN_HEARTBEAT - heartbeat.tasks().size();
      boolean urgentOnly = reconciliation.hasPrecedence(now);
      workerCommands.launchAssigned(machine, maxLaunches, urgentOnly, commands, now);
    }
    return commands;
  }

  /** Runs a tick for a leader that cannot have been replaced. */
  public void tick(MonotonicTime now) {
    tick(now, now);
  }

  /**
   * Handles timed events: lease expiry, reclaimed machines and scheduling rounds. A tick examines
   * every machine and task, so most calls return at once in a large cluster.
   *
   * @param soleLeaderUntil time before which no other controller was elected ({@link
   *     LeaderLease#renewedAt()})
   */
  public void tick(MonotonicTime now, MonotonicTime soleLeaderUntil) {
    TimeSpan minInterval = rounds.minInterval().times(MIN_TICK_INTERVAL_FRACTION);
    if (now.since(lastTick).compareTo(minInterval) < 0) {
      return;
    }
    lastTick = now;
    jobs.scheduleReleased(now);
    coreTimeUsage.sample(cluster.machines(), now);
    reconciler.expireLeases(now, soleLeaderUntil);
    reconciliation.check(now);
    for (Machine machine : cluster.machines()) {
      drain(machine, now);
      machine.setUnresponsive(workerContact.isUnresponsive(machine, now));
    }
    for (Job job : new ArrayList<>(jobs.scheduled())) {
      jobs.stopExcessReplicas(job, now);
      jobs.removeIfStopped(job);
    }
    rounds.tick(now);
    healthMonitor.check(cluster.machines(), jobs.scheduled(), rounds.waitingJobs(), scheduler, now);
  }

  /**
   * Requests checkpoints of the tasks on a machine that the cloud is about to reclaim. Tasks that
   * cannot checkpoint keep running, as they may still finish in time.
   */
  private static void drain(Machine machine, MonotonicTime now) {
    if (machine.reclaimAt() == null) {
      return;
    }
    for (TaskPlacement placement : machine.placements.values()) {
      if (placement.job.spec.checkpoints() && placement.state() == TaskPlacement.State.RUNNING) {
        placement.requestStop(now, Preemption.gracePeriod(placement));
      }
    }
  }

  /** Returns the waiting jobs by lane, with the reason why the first of each does not start. */
  public List<LaneSummary> queueView(MonotonicTime now) {
    return QueueView.of(
        rounds.waitingJobs(),
        reconciliation.isComplete(),
        scheduler.guaranteedJobs(),
        quotaUsage,
        decisions.migrationWaitReasons(),
        now);
  }

  /** Returns the ids of the waiting jobs in the order of the last round. */
  public List<JobId> waitingJobIds() {
    return rounds.waitingJobs().stream().map(waitingJob -> waitingJob.job().id()).toList();
  }

  /** Returns the jobs that were within their team's guaranteed quota in the last round. */
  Set<JobId> jobsWithinGuarantee() {
    return scheduler.guaranteedJobs();
  }

  /** Returns whether every machine that an earlier leader may have used is reconciled. */
  public boolean isReconciled() {
    return reconciliation.isComplete();
  }

  /** Sets the demand of the message queues, which share the quotas of the teams with jobs. */
  public void setQueueDemands(List<QueueDemand> demands) {
    quotaUsage.setQueueDemands(demands);
  }

  /**
   * Returns whether a message may be delivered to its consumer. The team's quota must have room for
   * the message in addition to running tasks and to jobs ahead of it by priority and arrival.
   *
   * @param arrivedWallMs when the message arrived, in milliseconds since the epoch
   */
  public boolean mayDeliver(String team, Resources size, Priority priority, long arrivedWallMs) {
    if (!quotaUsage.hasLimit(team)) {
      return true;
    }
    Resources earlierDemand = cluster.jobs().demandAheadOf(team, priority, arrivedWallMs);
    return quotaUsage.mayDeliver(team, size, earlierDemand);
  }

  /** Returns the number of machines examined for tasks, to bound the work of a round in tests. */
  long machinesExamined() {
    return scheduler.placementChecks();
  }

  /**
   * Processes a sample of this process's load over the last second.
   *
   * @param busy fraction of the time in which the event loop was busy, 0 to 1
   * @param heap fraction of the heap in use, 0 to 1
   * @param rejectedConnections number of connections closed because no socket was available
   */
  public void onLoadSample(double busy, double heap, int rejectedConnections, MonotonicTime now) {
    int machineCount = cluster.machines().size();
    capacity.onLoadSample(
        new ControllerCapacity.Load(busy, heap, rejectedConnections), machineCount, now);
    cluster
        .eventSummary()
        .updateCondition(
            EventSummary.PersistentCondition.CONTROLLER_AT_CAPACITY,
            capacity.isFull() ? machineCount : 0,
            capacity.mostUsedResource(),
            now);
  }

  /** Returns whether all expected workers are silent, so that this leader may be partitioned. */
  public boolean isCutOff(MonotonicTime now) {
    return workerContact.isCutOff(cluster.machines(), now);
  }

  /**
   * Handles the end of a process pause, in which missing heartbeats do not indicate silent
   * machines. Worker leases kept running during the pause, as they did on the workers.
   */
  public void onProcessResumed(MonotonicTime now) {
    workerContact.onProcessResumed(now);
    capacity.onProcessResumed(now);
  }

  /** Returns the number of jobs and machines for the log. */
  public String sizeSummary() {
    return jobs.scheduled().size() + " jobs and " + cluster.machines().size() + " machines";
  }

  /** Returns the state of the cluster as one line for the log. */
  public String statusLine() {
    return StatusLine.format(
        jobs.scheduled().size(),
        cluster.machines(),
        rounds.waitingJobs(),
        workerCommands.launches(),
        coreTimeUsage);
  }
}
