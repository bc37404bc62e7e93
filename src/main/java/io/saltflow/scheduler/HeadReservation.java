package io.saltflow.scheduler;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.MachineReservation;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Reserves capacity for the job at the head of the queue and for minimum shares, and preempts
 * backfilled tasks when the head's reservation is due.
 */
final class HeadReservation {
  /** Maximum number of tasks that capacity is reserved for, which bounds the work of a round. */
  static final int MAX_RESERVED_TASKS = 256;

  /** Maximum number of jobs that capacity is reserved for by their minimum share. */
  private static final int MAX_RESERVED_JOBS = 16;

  /**
   * Remaining boot time of an overdue machine, as a fraction of the time since it was requested.
   */
  private static final double OVERDUE_BOOT_FRACTION = 0.3;

  /** The time by which the head should start. Kept across rounds so that it is not postponed. */
  private record TargetStart(JobId job, MonotonicTime at) {}

  /** The time at which resources of a machine are predicted to become free. */
  private record CapacityRelease(MonotonicTime at, int order, Machine machine, Resources size) {}

  private static final Comparator<CapacityRelease> BY_RELEASE_TIME =
      Comparator.comparing(CapacityRelease::at).thenComparingInt(CapacityRelease::order);

  private final RunTimeEstimates estimates;
  private final FairShareScheduler fairShare;
  private final EventSummary eventSummary;
  private TargetStart targetStart;

  HeadReservation(
      RunTimeEstimates estimates, FairShareScheduler fairShare, EventSummary eventSummary) {
    this.eventSummary = eventSummary;
    this.fairShare = fairShare;
    this.estimates = estimates;
  }

  /**
   * A job that capacity is reserved for, with the number of its tasks that have no reservation yet.
   */
  static final class ReservationRequest {
    final Job job;
    int tasks;

    ReservationRequest(Job job, int tasks) {
      this.job = job;
      this.tasks = tasks;
    }
  }

  /**
   * Reserves capacity for the head: adds up the resources of running tasks and booting machines in
   * the order of their predicted release until the head's tasks fit.
   */
  void reserveForHead(
      Job head, int tasks, List<Machine> usable, List<Machine> booting, MonotonicTime now) {
    List<ReservationRequest> requests =
        List.of(new ReservationRequest(head, Math.min(tasks, MAX_RESERVED_TASKS)));
    MonotonicTime firstStart = claimCapacity(requests, false, usable, booting, now);
    if (firstStart == null) {
      targetStart = null;
    } else if (targetStart == null
        || !targetStart.job.equals(head.id())
        || firstStart.before(targetStart.at)) {
      targetStart = new TargetStart(head.id(), firstStart);
    }
  }

  /**
   * Reserves capacity for jobs whose class or team holds less than its minimum share, in the given
   * order. Capacity that is released by a preemption is left to the job that the preemption was
   * made for.
   */
  void reserveForMinimumShares(
      Collection<ReservationRequest> requests,
      List<Machine> usable,
      List<Machine> booting,
      MonotonicTime now) {
    int remaining = MAX_RESERVED_TASKS;
    List<ReservationRequest> selected = new ArrayList<>();
    for (ReservationRequest request : requests) {
      request.tasks = Math.min(remaining, request.tasks);
      remaining -= request.tasks;
      if (request.tasks > 0 && selected.size() < MAX_RESERVED_JOBS) {
        selected.add(request);
      }
    }
    if (!selected.isEmpty()) {
      claimCapacity(selected, true, usable, booting, now);
    }
  }

  private static boolean anyAllowed(List<ReservationRequest> requests, Machine machine) {
    for (ReservationRequest request : requests) {
      if (request.tasks > 0 && PlacementRules.allowed(request.job, machine)) {
        return true;
      }
    }
    return false;
  }

  private MonotonicTime claimCapacity(
      List<ReservationRequest> requests,
      boolean forMinimumShare,
      List<Machine> usable,
      List<Machine> booting,
      MonotonicTime now) {
    List<CapacityRelease> releases = new ArrayList<>();
    Map<Machine, Resources> futureRoom = new HashMap<>();
    for (Machine machine : usable) {
      if (machine.reservation() != null || !anyAllowed(requests, machine)) {
        continue;
      }
      futureRoom.put(machine, machine.available());
      for (TaskPlacement placement : machine.placements.values()) {
        if (!forMinimumShare || !placement.isStopping()) {
          releases.add(
              new CapacityRelease(
                  estimates.predictedEnd(placement, now),
                  releases.size(),
                  machine,
                  placement.job.spec.size()));
        }
      }
      for (Machine.Assignment assigned : machine.assignments) {
        MonotonicTime end =
            now.plus(estimates.fetchTime(assigned.job(), machine))
                .plus(estimates.predict(assigned.job(), assigned.taskIndex()));
        MonotonicTime at = assigned.job().spec.daemon() ? MonotonicTime.NEVER : end;
        releases.add(new CapacityRelease(at, releases.size(), machine, assigned.job().spec.size()));
      }
    }
    for (Machine machine : booting) {
      if (anyAllowed(requests, machine)) {
        futureRoom.put(machine, Resources.ZERO);
        releases.add(
            new CapacityRelease(
                readyAt(machine, now), releases.size(), machine, machine.type().size()));
      }
    }
    return claimCapacity(requests, forMinimumShare, releases, futureRoom);
  }

  /**
   * Processes the releases by time until the requests are satisfied. Returns the time of the first
   * reservation, or {@code null} if there is none.
   */
  private static MonotonicTime claimCapacity(
      List<ReservationRequest> requests,
      boolean forMinimumShare,
      List<CapacityRelease> releases,
      Map<Machine, Resources> futureRoom) {
    int remaining = totalTasks(requests);
    Resources smallest = smallestTask(requests);
    // A heap avoids sorting all releases, as the head usually fits after the first few.
    PriorityQueue<CapacityRelease> byTime =
        new PriorityQueue<>(Math.max(1, releases.size()), BY_RELEASE_TIME);
    byTime.addAll(releases);
    MonotonicTime firstStart = null;
    while (remaining > 0 && !byTime.isEmpty()) {
      CapacityRelease release = byTime.poll();
      if (release.at.equals(MonotonicTime.NEVER)) {
        // Replicas do not end, so capacity behind them is not reserved and small tasks may use it.
        break;
      }
      Machine machine = release.machine;
      Resources available = futureRoom.get(machine).plus(release.size);
      for (ReservationRequest request :
          smallest.fitsIn(available) ? requests : List.<ReservationRequest>of()) {
        Resources size = request.job.spec.size();
        if (request.tasks == 0
            || !size.fitsIn(available)
            || !PlacementRules.allowed(request.job, machine)) {
          continue;
        }
        while (request.tasks > 0 && size.fitsIn(available)) {
          available = available.minus(size);
          request.tasks--;
          remaining--;
        }
        firstStart = firstStart == null ? release.at : firstStart;
        machine.setReservation(new MachineReservation(release.at, forMinimumShare, available));
      }
      futureRoom.put(machine, available);
      if (machine.reservation() != null) {
        machine.reservation().setLeftover(available);
      }
    }
    return firstStart;
  }

  private static int totalTasks(List<ReservationRequest> requests) {
    int total = 0;
    for (ReservationRequest request : requests) {
      total += request.tasks;
    }
    return total;
  }

  /** Returns the minimum of each resource over the tasks of all requests. */
  private static Resources smallestTask(List<ReservationRequest> requests) {
    Resources smallest = null;
    for (ReservationRequest request : requests) {
      Resources size = request.job.spec.size();
      smallest = smallest == null ? size : smallest.min(size);
    }
    return smallest;
  }

  /**
   * Returns when a requested machine is expected to be ready. An overdue machine is expected after
   * a fraction of the time that has passed since it was requested.
   */
  static MonotonicTime readyAt(Machine machine, MonotonicTime now) {
    MonotonicTime due = machine.provisionedAt.plus(machine.type().boot());
    return due.after(now)
        ? due
        : now.plus(now.since(machine.provisionedAt).times(OVERDUE_BOOT_FRACTION));
  }

  /**
   * Preempts backfilled tasks that write checkpoints, largest first, once the head's reservation is
   * due.
   */
  void preemptBackfilledWhenDue(Job head, List<Machine> usable, MonotonicTime now) {
    if (head == null) {
      targetStart = null;
      return;
    }
    if (targetStart == null || !targetStart.job.equals(head.id()) || now.before(targetStart.at)) {
      return;
    }
    for (Machine machine : usable) {
      if (PlacementRules.allowed(head, machine) && preemptBackfilledOn(head, machine, now)) {
        return;
      }
    }
  }

  /**
   * Preempts backfilled tasks on the machine. Returns whether a task of the head fits afterwards.
   */
  private boolean preemptBackfilledOn(Job head, Machine machine, MonotonicTime now) {
    Resources headSize = head.spec.size();
    Resources available = machine.available();
    List<TaskPlacement> backfilled = new ArrayList<>();
    for (TaskPlacement placement : machine.placements.values()) {
      if (placement.isStopping()) {
        available = available.plus(placement.job.spec.size());
      } else if (placement.isBackfilled()
          && placement.job.spec.checkpoints()
          && hasLowerPriority(placement.job, head)) {
        backfilled.add(placement);
      }
    }
    if (headSize.fitsIn(available)) {
      return true;
    }
    backfilled.sort(
        Comparator.comparing((TaskPlacement placement) -> -placement.job.spec.size().cores()));
    List<TaskPlacement> victims = new ArrayList<>();
    for (TaskPlacement placement : backfilled) {
      if (!headSize.fitsIn(available) && fairShare.mayPreempt(placement, victims)) {
        available = available.plus(placement.job.spec.size());
        victims.add(placement);
      }
    }
    if (victims.isEmpty() || !headSize.fitsIn(available)) {
      return false;
    }
    for (TaskPlacement placement : victims) {
      eventSummary.countEvent(
          "backfilled tasks preempted: head reservation is due",
          placement.taskId() + " for " + head.id());
      fairShare.onStopRequested(placement);
      placement.requestStop(now, Preemption.gracePeriod(placement));
    }
    return true;
  }

  /**
   * Returns whether the job has lower priority than the head. A job never preempts one of equal or
   * higher priority, even when a reservation is due.
   */
  private static boolean hasLowerPriority(Job job, Job head) {
    return head.queueState().priority().higherThan(job.queueState().priority());
  }
}
