package io.saltflow.scheduler;

import io.saltflow.cluster.DisruptionBudget;
import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.MachineReservation;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Preempts running tasks for jobs of higher priority and for guaranteed quotas. Capacity that
 * becomes free without preemption within {@link Policy#preemptionLookahead} is used first, so that
 * no task is stopped unnecessarily.
 */
public final class Preemption {
  private final Policy policy;
  private final RunTimeEstimates estimates;
  private final QuotaUsage quotaUsage;
  private final FairShareScheduler fairShare;
  private final EventSummary eventSummary;

  Preemption(
      Policy policy,
      RunTimeEstimates estimates,
      QuotaUsage quotaUsage,
      FairShareScheduler fairShare,
      EventSummary eventSummary) {
    this.policy = policy;
    this.estimates = estimates;
    this.quotaUsage = quotaUsage;
    this.fairShare = fairShare;
    this.eventSummary = eventSummary;
  }

  /**
   * A machine with the resources that will soon be free, and the tasks that run longer than that.
   */
  private static final class MachineRoom {
    final Machine machine;
    final int order;
    final List<TaskPlacement> longRunning = new ArrayList<>();
    Resources upcomingRoom;

    MachineRoom(Machine machine, int order, Resources upcomingRoom) {
      this.machine = machine;
      this.order = order;
      this.upcomingRoom = upcomingRoom;
    }
  }

  /** The tasks to stop so that one more task of a job fits, with the cost in lost core-seconds. */
  private record PreemptionOption(MachineRoom room, List<TaskPlacement> victims, double cost) {}

  private static final Comparator<PreemptionOption> BY_COST =
      Comparator.comparingDouble(PreemptionOption::cost).thenComparingInt(o -> o.room.order);

  void preempt(
      List<WaitingJob> waiting,
      List<Machine> usable,
      List<Machine> booting,
      Set<JobId> guaranteed,
      MonotonicTime now) {
    List<MachineRoom> machineRooms = null;
    Map<String, Resources> stoppedByTeam = new HashMap<>();
    for (WaitingJob waitingJob : waiting) {
      boolean urgent =
          waitingJob.job().queueState().priority().compareTo(policy.preemptingPriority()) >= 0;
      if ((!urgent && !guaranteed.contains(waitingJob.job().id()))
          || waitingJob.job().failsEverywhere()
          || waitingJob.awaitingStartRecord()) {
        continue;
      }
      if (machineRooms == null) {
        machineRooms = machineRooms(usable, booting, now);
      }
      int unplaced = useUpcomingRoom(waitingJob, machineRooms);
      if (unplaced > 0) {
        preemptFor(waitingJob.job(), unplaced, machineRooms, guaranteed, stoppedByTeam, now);
      }
    }
  }

  private List<MachineRoom> machineRooms(
      List<Machine> usable, List<Machine> booting, MonotonicTime now) {
    MonotonicTime horizon = now.plus(policy.preemptionLookahead());
    List<MachineRoom> rooms = new ArrayList<>();
    for (Machine machine : usable) {
      // Resources that are reserved for a minimum share are not available to other jobs.
      MachineReservation shareReservation =
          machine.reservation() != null && machine.reservation().forMinimumShare
              ? machine.reservation()
              : null;
      MachineRoom machineRoom =
          new MachineRoom(
              machine,
              rooms.size(),
              shareReservation == null
                  ? machine.available()
                  : machine.available().min(shareReservation.leftover()));
      for (TaskPlacement placement : machine.placements.values()) {
        MonotonicTime end = estimates.predictedEnd(placement, now);
        if (shareReservation != null
            && !placement.isStopping()
            && !end.after(shareReservation.availableAt)) {
          continue;
        }
        if (placement.isStopping() || !end.after(horizon)) {
          machineRoom.upcomingRoom = machineRoom.upcomingRoom.plus(placement.job.spec.size());
        } else {
          machineRoom.longRunning.add(placement);
        }
      }
      machineRoom.longRunning.sort(
          Comparator.comparingDouble((TaskPlacement placement) -> lostCoreSeconds(placement, now)));
      rooms.add(machineRoom);
    }
    for (Machine machine : booting) {
      if (!HeadReservation.readyAt(machine, now).after(horizon)) {
        rooms.add(new MachineRoom(machine, rooms.size(), machine.type().size()));
      }
    }
    return rooms;
  }

  /**
   * Uses the resources that become free without preemption. Returns how many tasks do not fit in
   * them.
   */
  private static int useUpcomingRoom(WaitingJob waitingJob, List<MachineRoom> machineRooms) {
    Resources size = waitingJob.job().spec.size();
    int unplaced = Math.min(waitingJob.tasks(), HeadReservation.MAX_RESERVED_TASKS);
    for (MachineRoom machineRoom : machineRooms) {
      while (unplaced > 0
          && size.fitsIn(machineRoom.upcomingRoom)
          && PlacementRules.allowed(waitingJob.job(), machineRoom.machine)) {
        machineRoom.upcomingRoom = machineRoom.upcomingRoom.minus(size);
        unplaced--;
      }
      if (unplaced == 0) {
        break;
      }
    }
    return unplaced;
  }

  private void preemptFor(
      Job job,
      int tasks,
      List<MachineRoom> machineRooms,
      Set<JobId> guaranteed,
      Map<String, Resources> stoppedByTeam,
      MonotonicTime now) {
    PriorityQueue<PreemptionOption> options = new PriorityQueue<>(BY_COST);
    for (MachineRoom machineRoom : machineRooms) {
      addOption(job, machineRoom, options, guaranteed, stoppedByTeam, now);
    }
    int unplaced = tasks;
    while (unplaced > 0 && !options.isEmpty()) {
      PreemptionOption best = options.poll();
      MachineRoom machineRoom = best.room;
      for (TaskPlacement placement : best.victims) {
        // Stops made since this option was computed may have brought the team within its
        // guaranteed quota, or used up the service's disruption budget.
        if (!mayPreempt(placement, job, guaranteed, stoppedByTeam, List.of())
            || !withinDisruptionBudget(placement, List.of())) {
          continue;
        }
        if (placement.job.isService()) {
          placement.job.replicas().disruptionBudget().consume(1);
        }
        eventSummary.countEvent(
            guaranteed.contains(job.id())
                ? "tasks preempted for jobs within their team's guaranteed quota"
                : "tasks preempted for jobs of higher priority",
            placement.taskId() + " for " + job.id());
        fairShare.onStopRequested(placement);
        placement.requestStop(now, gracePeriod(placement));
        machineRoom.upcomingRoom = machineRoom.upcomingRoom.plus(placement.job.spec.size());
        machineRoom.longRunning.remove(placement);
        stoppedByTeam.merge(placement.job.spec.team(), placement.job.spec.size(), Resources::plus);
      }
      while (unplaced > 0 && job.spec.size().fitsIn(machineRoom.upcomingRoom)) {
        machineRoom.upcomingRoom = machineRoom.upcomingRoom.minus(job.spec.size());
        unplaced--;
      }
      addOption(job, machineRoom, options, guaranteed, stoppedByTeam, now);
    }
  }

  private void addOption(
      Job job,
      MachineRoom machineRoom,
      PriorityQueue<PreemptionOption> options,
      Set<JobId> guaranteed,
      Map<String, Resources> stoppedByTeam,
      MonotonicTime now) {
    if (machineRoom.longRunning.isEmpty() || !PlacementRules.allowed(job, machineRoom.machine)) {
      return;
    }
    Resources available = machineRoom.upcomingRoom;
    double cost = estimates.fetchTime(job, machineRoom.machine).toSeconds();
    List<TaskPlacement> victims = new ArrayList<>();
    for (TaskPlacement placement : machineRoom.longRunning) {
      if (job.spec.size().fitsIn(available)) {
        break;
      }
      if (mayPreempt(placement, job, guaranteed, stoppedByTeam, victims)
          && withinDisruptionBudget(placement, victims)) {
        available = available.plus(placement.job.spec.size());
        cost += lostCoreSeconds(placement, now);
        victims.add(placement);
      }
    }
    if (!victims.isEmpty() && job.spec.size().fitsIn(available)) {
      options.add(new PreemptionOption(machineRoom, victims, cost));
    }
  }

  /**
   * Returns whether the service's disruption budget allows one more stop in addition to the chosen
   * victims.
   */
  private static boolean withinDisruptionBudget(
      TaskPlacement placement, List<TaskPlacement> victims) {
    if (!placement.job.isService()) {
      return true;
    }
    DisruptionBudget budget = placement.job.replicas().disruptionBudget();
    int chosenOfService = 0;
    for (TaskPlacement victim : victims) {
      chosenOfService += victim.job.replicas().disruptionBudget() == budget ? 1 : 0;
    }
    return budget != null && budget.allows(chosenOfService + 1);
  }

  /**
   * Returns how long a task may continue after a stop request to write its checkpoint, or 0 if it
   * writes none.
   */
  public static TimeSpan gracePeriod(TaskPlacement placement) {
    return placement.job.spec.checkpoints()
        ? placement.job.spec.checkpointWrite().plus(TimeSpan.seconds(1))
        : new TimeSpan(0);
  }

  /**
   * Returns the core-seconds that a stop would lose. A task that writes checkpoints loses little.
   */
  private static double lostCoreSeconds(TaskPlacement placement, MonotonicTime now) {
    double runTimeS =
        placement.runningSince() == null ? 0 : now.since(placement.runningSince()).toSeconds();
    double lost =
        placement.job.spec.checkpoints()
            ? placement.job.spec.checkpointWrite().toSeconds() + 1
            : runTimeS + 1;
    return lost * Math.max(0.1, placement.job.spec.size().cores());
  }

  private boolean mayPreempt(
      TaskPlacement placement,
      Job forJob,
      Set<JobId> guaranteed,
      Map<String, Resources> stoppedByTeam,
      List<TaskPlacement> victims) {
    Priority priority = forJob.queueState().priority();
    boolean victimGuaranteed = guaranteed.contains(placement.job.id());
    if (priority.higherThan(placement.job.queueState().priority())
        && priority.compareTo(policy.preemptingPriority()) >= 0
        && (!victimGuaranteed || guaranteed.contains(forJob.id()))
        && fairShare.mayPreempt(placement, victims)) {
      return true;
    }
    String victimTeam = placement.job.spec.team();
    if (!guaranteed.contains(forJob.id())
        || victimGuaranteed
        || victimTeam.equals(forJob.spec.team())) {
      return false;
    }
    Policy.TeamQuota team = policy.teams().get(victimTeam);
    Resources used =
        quotaUsage
            .maxUsage(victimTeam)
            .minus(stoppedByTeam.getOrDefault(victimTeam, Resources.ZERO));
    return team != null
        && (used.cores() > team.guaranteedCores() || used.gpus() > team.guaranteedGpus());
  }
}
