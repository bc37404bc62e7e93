package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.fairshare.FairSharePlan;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.fairshare.ShareGrant;
import io.saltflow.fairshare.ShareGroup;
import io.saltflow.fairshare.ShareRequest;
import io.saltflow.fairshare.ShareStatus;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Computes the fair and minimum shares of classes and teams: which jobs are granted tasks ahead of
 * the queue order, and which tasks may not be preempted. Reserving capacity only for the head of
 * the queue is not enough, as the head is one job of tens of tasks among a thousand machines: a
 * stream of narrow tasks behind it would fill all capacity that becomes free elsewhere, and wide
 * jobs of low priority would starve.
 */
public final class FairShareScheduler {
  /**
   * Fraction of a job's total work that it may lose to preemptions before it is no longer
   * preempted.
   */
  private static final double MAX_LOST_WORK_FRACTION = 0.5;

  private final FairShareRules rules;
  private final RunTimeEstimates estimates;
  private final QuotaUsage quotaUsage;
  private FairSharePlan plan = FairSharePlan.NONE;
  private Resources fleet = Resources.ZERO;

  /** Resources of tasks that are stopping, by group. They are still held, but soon released. */
  private final Map<ShareGroup, Resources> stoppingByGroup = new HashMap<>();

  FairShareScheduler(Policy policy, RunTimeEstimates estimates, QuotaUsage quotaUsage) {
    this.rules = policy.fairShare();
    this.estimates = estimates;
    this.quotaUsage = quotaUsage;
  }

  private record MachineKind(String type, String zone, boolean spot, Resources size) {}

  /**
   * Recomputes the shares.
   *
   * @param startable the jobs whose tasks may be started now
   */
  void update(Collection<Job> jobs, Set<Job> startable, List<Machine> usable, MonotonicTime now) {
    fleet = Resources.ZERO;
    stoppingByGroup.clear();
    Map<MachineKind, Integer> machineCounts = new HashMap<>();
    for (Machine machine : usable) {
      fleet = fleet.plus(machine.type().size());
      machineCounts.merge(
          new MachineKind(machine.typeName, machine.zone, machine.spot, machine.type().size()),
          1,
          Integer::sum);
      for (TaskPlacement placement : machine.placements.values()) {
        if (placement.isStopping()) {
          onStopRequested(placement);
        }
      }
    }
    if (rules.minimumShare() <= 0 || usable.isEmpty()) {
      plan = FairSharePlan.NONE;
      return;
    }
    List<ShareRequest> requests = new ArrayList<>();
    for (Job job : jobs) {
      addRequest(requests, job, startable.contains(job), machineCounts, now);
    }
    plan = FairSharePlan.of(requests, rules);
  }

  private void addRequest(
      List<ShareRequest> requests,
      Job job,
      boolean startable,
      Map<MachineKind, Integer> machineCounts,
      MonotonicTime now) {
    // Services are placed by their own rules, and jobs that fail everywhere get no share.
    if (job.isService() || job.isCancelled() || job.isFinishing() || job.failsEverywhere()) {
      return;
    }
    double taskFraction = fleetFraction(job.spec.size());
    int held = job.assignedCount();
    int pending = 0;
    if (startable && taskFraction > 0) {
      int maxPending = (int) Math.min(quotaUsage.remainingTasks(job), Math.ceil(1 / taskFraction));
      pending = job.isStartRecorded() ? job.countPending(0, maxPending, now) : 0;
    }
    if (pending == 0 && held == 0) {
      return;
    }
    double runS = estimates.predict(job, 0).toSeconds();
    double remainingS = taskFraction * (job.pendingCount() + held / 2.0) * runS;
    requests.add(
        new ShareRequest(
            job.id(),
            job.jobClass,
            job.team,
            job.queueState().priority(),
            taskFraction,
            pending,
            held,
            pending == 0 ? 0 : eligibleFleetFraction(job, machineCounts),
            remainingS,
            job.queueState().eligibleWallMs(),
            now.since(job.queueState().eligibleAt())));
  }

  /** Returns the fraction of the fleet that the job's tasks may run on. */
  private double eligibleFleetFraction(Job job, Map<MachineKind, Integer> machineCounts) {
    Resources eligible = Resources.ZERO;
    for (Map.Entry<MachineKind, Integer> entry : machineCounts.entrySet()) {
      MachineKind kind = entry.getKey();
      if (job.spec.allows(kind.type, kind.zone, kind.spot) && job.spec.size().fitsIn(kind.size)) {
        eligible = eligible.plus(kind.size.times(entry.getValue()));
      }
    }
    return fleetFraction(eligible);
  }

  /**
   * Returns the dominant share of the resources: the largest of their fractions of the fleet's
   * cores, GPUs and memory.
   */
  double fleetFraction(Resources size) {
    return Math.max(
        ratio(size.cores(), fleet.cores()),
        Math.max(ratio(size.gpus(), fleet.gpus()), ratio(size.memoryGb(), fleet.memoryGb())));
  }

  private static double ratio(double amount, double total) {
    return total <= 0 ? 0 : Math.min(1, amount / total);
  }

  /**
   * Returns the classes that have waited for long and demand more than their fair share. Within
   * these classes, the jobs that can end soonest come first.
   */
  Set<String> underservedClasses() {
    Set<String> classes = new TreeSet<>();
    plan.statuses().keySet().stream()
        .filter(group -> group.kind() == ShareGroup.Kind.CLASS && plan.isUnderserved(group))
        .forEach(group -> classes.add(group.name()));
    return classes;
  }

  /** Returns the tasks that may start ahead of the queue order. */
  List<ShareGrant> grants() {
    return plan.grants();
  }

  /** Returns the shares of each class and team at the last round. */
  public Map<ShareGroup, ShareStatus> shareStatuses() {
    return plan.statuses();
  }

  /** Returns the fraction of the fleet that the group holds now. */
  public double heldFraction(ShareGroup group) {
    return fleetFraction(quotaUsage.knownUsage(group));
  }

  /** Returns whether the group has waited for long and still holds less than its minimum share. */
  boolean belowMinimumShare(ShareGroup group) {
    return plan.isOwedMinimumShare(group, heldFraction(group));
  }

  /**
   * Returns how many tasks of the job would bring the group up to its minimum share, in addition to
   * the earlier requests.
   */
  int tasksBelowMinimumShare(
      ShareGroup group, Collection<HeadReservation.ReservationRequest> earlierRequests, Job job) {
    double missingFraction = plan.statuses().get(group).minimumShare() - heldFraction(group);
    for (HeadReservation.ReservationRequest request : earlierRequests) {
      if (request.job.jobClass.equals(group) || request.job.team.equals(group)) {
        missingFraction -= request.tasks * fleetFraction(request.job.spec.size());
      }
    }
    return (int) Math.max(0, Math.ceil(missingFraction / fleetFraction(job.spec.size())));
  }

  /** Returns whether the job's class and team stay within their fair share with one more task. */
  boolean withinFairShare(Job job) {
    double taskFraction = fleetFraction(job.spec.size());
    return plan.fitsFairShare(job.jobClass, heldFraction(job.jobClass), taskFraction)
        && plan.fitsFairShare(job.team, heldFraction(job.team), taskFraction);
  }

  /** Adds a task that was requested to stop to the resources that are being released. */
  void onStopRequested(TaskPlacement placement) {
    stoppingByGroup.merge(placement.job.jobClass, placement.job.spec.size(), Resources::plus);
    stoppingByGroup.merge(placement.job.team, placement.job.spec.size(), Resources::plus);
  }

  /**
   * Returns whether the task may be preempted in addition to the victims chosen before it: its
   * class and its team keep their minimum share, and its job has not lost too much work to
   * preemptions.
   */
  boolean mayPreempt(TaskPlacement placement, List<TaskPlacement> victims) {
    double totalWorkS =
        placement.job.spec.tasks() * estimates.predict(placement.job, placement.index).toSeconds();
    return placement.job.lostToPreemptionS() <= MAX_LOST_WORK_FRACTION * totalWorkS
        && keepsMinimumShare(placement.job.jobClass, placement, victims)
        && keepsMinimumShare(placement.job.team, placement, victims);
  }

  private boolean keepsMinimumShare(
      ShareGroup group, TaskPlacement placement, List<TaskPlacement> victims) {
    ShareStatus status = plan.statuses().get(group);
    if (status == null || !status.waitsBeyondThreshold()) {
      return true;
    }
    Resources remaining =
        quotaUsage.knownUsage(group).minus(stoppingByGroup.getOrDefault(group, Resources.ZERO));
    remaining = remaining.minus(placement.job.spec.size());
    for (TaskPlacement victim : victims) {
      if (victim.job.jobClass.equals(group) || victim.job.team.equals(group)) {
        remaining = remaining.minus(victim.job.spec.size());
      }
    }
    return fleetFraction(remaining) >= status.minimumShare();
  }
}
