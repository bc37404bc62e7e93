package io.saltflow.scheduler;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.MachineReservation;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The results of a scheduling round that hold until the next one: the machines, the jobs within
 * their team's guaranteed quota, the head of the queue and the smallest waiting task. Confined to
 * the leader's thread.
 */
final class RoundState {
  private List<Machine> usableMachines = List.of();
  private List<Machine> bootingMachines = List.of();
  private double cheapestPricePerCore;
  private Set<JobId> guaranteedJobs = Set.of();
  private Job head;
  private Resources smallestWaitingTask;
  private TimeSpan shortestWaitingRun;

  /** Clears the machines of the previous round. */
  void clearMachines() {
    usableMachines = new ArrayList<>();
    bootingMachines = new ArrayList<>();
  }

  void addUsable(Machine machine) {
    usableMachines.add(machine);
  }

  void addBooting(Machine machine) {
    bootingMachines.add(machine);
  }

  /** Returns the machines that tasks may be placed on, in the order in which they were added. */
  List<Machine> usableMachines() {
    return usableMachines;
  }

  /** Returns the machines that have been requested and are not up yet. */
  List<Machine> bootingMachines() {
    return bootingMachines;
  }

  /** Recomputes the lowest price per core among the usable machines. */
  void updateCheapestPrice() {
    cheapestPricePerCore = PlacementRules.cheapestPricePerCore(usableMachines);
  }

  /** Returns the lowest price per core among the usable machines. */
  double cheapestPricePerCore() {
    return cheapestPricePerCore;
  }

  void setGuaranteedJobs(Set<JobId> jobs) {
    guaranteedJobs = jobs;
  }

  /** Returns the jobs within their team's guaranteed quota. */
  Set<JobId> guaranteedJobs() {
    return guaranteedJobs;
  }

  void setHead(Job job) {
    head = job;
  }

  /** Returns the first job in the queue that did not fit, or {@code null} if every job did. */
  Job head() {
    return head;
  }

  /**
   * Recomputes the minimum of each resource over the tasks of the jobs, and the shortest predicted
   * run.
   */
  void updateWaitingMinimums(List<Job> jobs, RunTimeEstimates estimates) {
    smallestWaitingTask = null;
    shortestWaitingRun = new TimeSpan(Long.MAX_VALUE / 2);
    for (Job job : jobs) {
      Resources size = job.spec.size();
      smallestWaitingTask = smallestWaitingTask == null ? size : smallestWaitingTask.min(size);
      TimeSpan run = estimates.predict(job, 0);
      shortestWaitingRun = run.longerThan(shortestWaitingRun) ? shortestWaitingRun : run;
    }
  }

  /** Returns the usable machines on which the smallest waiting task fits. */
  List<Machine> machinesWithRoom() {
    List<Machine> withRoom = new ArrayList<>();
    if (smallestWaitingTask != null) {
      for (Machine machine : usableMachines) {
        if (smallestWaitingTask.fitsIn(machine.available())) {
          withRoom.add(machine);
        }
      }
    }
    return withRoom;
  }

  /**
   * Returns whether the smallest waiting task fits on the machine, or {@code false} if no job
   * waits.
   */
  boolean hasRoom(Machine machine) {
    return smallestWaitingTask != null && smallestWaitingTask.fitsIn(machine.available());
  }

  /**
   * Returns whether all free resources of the machine are reserved for a minimum share, so that no
   * other job needs to be considered. A machine that accumulates free resources reports several
   * times before the reservation is due.
   */
  boolean fullyReserved(Machine machine, MonotonicTime now) {
    MachineReservation reservation = machine.reservation();
    return reservation != null
        && reservation.forMinimumShare
        && now.plus(shortestWaitingRun).after(reservation.availableAt)
        && !smallestWaitingTask.fitsIn(reservation.leftover());
  }
}
