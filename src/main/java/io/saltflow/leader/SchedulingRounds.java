package io.saltflow.leader;

import io.saltflow.autoscaler.Backlog;
import io.saltflow.autoscaler.CordonPlanner;
import io.saltflow.autoscaler.ScaleOutPlanner;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.fencing.TaskOutcomes;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.scheduler.Scheduler;
import io.saltflow.scheduler.WaitingJob;
import java.util.Collection;
import java.util.List;

/**
 * Decides when to schedule the whole queue, and runs the steps of each such round.
 *
 * <p>A round examines every machine, so rounds run at a bounded rate in a large cluster. Between
 * two rounds, tasks are assigned only to the machine that sent a heartbeat.
 */
final class SchedulingRounds {
  private static final TimeSpan ROUND_INTERVAL = TimeSpan.seconds(1);

  /** Factor by which the time between two rounds grows while reconciliation has precedence. */
  private static final double RECONCILIATION_INTERVAL_FACTOR = 3;

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final ScaleOutPlanner scaleOutPlanner;
  private final CordonPlanner cordonPlanner;
  private final TaskOutcomes taskOutcomes;
  private final RecordedDecisions decisions;
  private final Reconciliation reconciliation;
  private final RoundTrigger trigger;
  private List<WaitingJob> waitingJobs = List.of();
  private Backlog backlog = Backlog.NONE;
  private TimeSpan minInterval = new TimeSpan(0);
  private MonotonicTime lastRound = MonotonicTime.LONG_AGO;

  SchedulingRounds(
      ClusterState cluster,
      Scheduler scheduler,
      ScaleOutPlanner scaleOutPlanner,
      TaskOutcomes taskOutcomes,
      RecordedDecisions decisions,
      Reconciliation reconciliation,
      RoundTrigger trigger) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.scaleOutPlanner = scaleOutPlanner;
    this.cordonPlanner = new CordonPlanner(cluster.policy(), cluster.estimates());
    this.taskOutcomes = taskOutcomes;
    this.decisions = decisions;
    this.reconciliation = reconciliation;
    this.trigger = trigger;
  }

  /** Requests a round because of a change that it has to consider. */
  void request() {
    trigger.request();
  }

  /** Returns the jobs left waiting by the last round, in queue order. */
  List<WaitingJob> waitingJobs() {
    return waitingJobs;
  }

  /** Returns the outstanding demand of all accepted jobs at the last round. */
  Backlog backlog() {
    return backlog;
  }

  /** Returns the minimum time between two rounds, which grows with the cluster. */
  TimeSpan minInterval() {
    return minInterval;
  }

  /**
   * Returns whether a round was requested and the minimum interval since the last one has elapsed.
   */
  boolean isDue(MonotonicTime now) {
    TimeSpan interval =
        reconciliation.hasPrecedence(now)
            ? minInterval.times(RECONCILIATION_INTERVAL_FACTOR)
            : minInterval;
    return (trigger.isRequested() || taskOutcomes.changed() || decisions.changedSinceRound())
        && now.since(lastRound).compareTo(interval) >= 0;
  }

  /** Runs a round if one is due or if none has run for {@link #ROUND_INTERVAL}. */
  void tick(MonotonicTime now) {
    boolean overdue =
        !reconciliation.hasPrecedence(now) && now.since(lastRound).compareTo(ROUND_INTERVAL) >= 0;
    if (isDue(now) || overdue) {
      run(now);
    }
  }

  /** Schedules the whole queue. */
  void run(MonotonicTime now) {
    trigger.clear();
    taskOutcomes.clearChanged();
    lastRound = now;
    boolean reconciled = reconciliation.isComplete();
    Collection<Machine> machines = cluster.machines();
    Collection<Job> jobs = cluster.jobs().scheduled().values();
    cluster.jobs().dependencies().propagateRanks();
    backlog =
        Backlog.of(
            jobs, cluster.machineTypes().values(), cluster.policy(), cluster.estimates(), now);
    cordonPlanner.update(machines, jobs, backlog, now);
    decisions.beforeRound(machines, reconciled, now);
    waitingJobs = scheduler.runRound(jobs, machines, reconciled, now);
    decisions.afterRound(
        waitingJobs,
        scheduler,
        job -> scaleOutPlanner.mayBeAvailable(job, cluster.machineTypes().values(), now),
        expectedResources(now),
        reconciled,
        now);
    minInterval = cluster.policy().minRoundInterval(itemsToExamine());
  }

  private int itemsToExamine() {
    int items = cluster.jobs().scheduled().size();
    for (Machine machine : cluster.machines()) {
      items += 1 + machine.placements.size();
    }
    return items;
  }

  /**
   * Returns the resources that the cluster is expected to have soon. While the cloud grants every
   * request, that is the demand of all jobs: the current size of a cluster that has just begun to
   * scale out does not show whether a daily deadline can be met.
   */
  private Resources expectedResources(MonotonicTime now) {
    Resources current = scheduler.fleetResources();
    boolean willGrow =
        scaleOutPlanner.hasNoBackoff(now) && backlog.desiredCores() > current.cores();
    return willGrow
        ? new Resources(backlog.desiredCores(), current.gpus(), current.memoryGb())
        : current;
  }

  /** Assigns waiting tasks to one machine that sent a heartbeat between two rounds. */
  void fillMachine(Machine machine, MonotonicTime now) {
    scheduler.fillMachine(machine, reconciliation.isComplete(), now);
  }

  /** Withdraws the tasks that are assigned to the machine but not launched yet. */
  void withdrawAssignments(Machine machine) {
    scheduler.withdrawAssignments(machine);
  }
}
