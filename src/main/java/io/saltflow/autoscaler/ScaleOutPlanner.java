package io.saltflow.autoscaler;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.Term;
import io.saltflow.scheduler.WaitingJob;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Plans which machines to request from the cloud, and tracks requests not yet answered. */
public final class ScaleOutPlanner {
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /** Maximum number of unanswered requests over all kinds of instances. */
  private static final int MAX_OPEN_REQUESTS = 8;

  private final Policy policy;
  private final Term term;
  private final RunTimeEstimates estimates;
  private final EventSummary eventSummary;
  private final RequestBackoffs backoffs = new RequestBackoffs();
  private final InstanceSelector selector;
  private final Map<String, ScaleOutRequest> openRequests = new LinkedHashMap<>();
  private long requestSequence;

  /** Creates a planner for one term; the term is part of each request's name. */
  public ScaleOutPlanner(
      Policy policy, Term term, RunTimeEstimates estimates, EventSummary eventSummary) {
    this.policy = policy;
    this.term = term;
    this.estimates = estimates;
    this.eventSummary = eventSummary;
    selector = new InstanceSelector(policy, backoffs);
  }

  /**
   * Returns the requests to send for the waiting jobs, taking into account machines that are
   * already being created.
   *
   * @param waiting the waiting jobs in queue order
   * @param maxMachines the maximum total number of machines
   */
  public List<ScaleOutRequest> plan(
      List<WaitingJob> waiting,
      Backlog backlog,
      Collection<Machine> machines,
      Collection<MachineType> types,
      int maxMachines,
      MonotonicTime now) {
    int requested = 0;
    for (ScaleOutRequest request : openRequests.values()) {
      requested += request.count();
    }
    int remainingMachines = maxMachines - machines.size() - requested;
    if (openRequests.size() >= MAX_OPEN_REQUESTS || remainingMachines <= 0) {
      return List.of();
    }
    Plan plan = new Plan(backlog, machines, types, remainingMachines, now);
    for (WaitingJob waitingJob : waiting) {
      if (!plan.addMachinesFor(waitingJob)) {
        break;
      }
    }
    return createRequests(plan.machinesByKind, now);
  }

  /** A plan under construction: existing and pending capacity, and the machines to request. */
  private final class Plan {
    private final Backlog backlog;
    private final Collection<Machine> machines;
    private final Collection<MachineType> types;
    private final MonotonicTime now;
    private final double maxHourlyPrice;

    /**
     * Machines to request per kind, combined over all jobs as the cloud limits the request rate.
     */
    private final Map<InstanceKind, Integer> machinesByKind = new LinkedHashMap<>();

    private final PendingCapacity pendingCapacity = new PendingCapacity();
    private int remainingMachines;
    private double totalCores;
    private double missingCores;
    private double preemptibleCores;

    Plan(
        Backlog backlog,
        Collection<Machine> machines,
        Collection<MachineType> types,
        int remainingMachines,
        MonotonicTime now) {
      this.backlog = backlog;
      this.machines = machines;
      this.types = types;
      this.remainingMachines = remainingMachines;
      this.now = now;
      countMachines();
      countOpenRequests();
      // One expensive machine must not cost a large fraction of all others, even for overdue jobs:
      // a large one would be mostly idle during its last long task.
      maxHourlyPrice = hourlyCost(machines) * policy.maxMachinePriceShare();
      preemptibleCores = backlog.preemptibleCores();
      missingCores = backlog.desiredCores() - totalCores;
    }

    private static boolean isUsable(Machine machine) {
      return machine.type() != null
          && !machine.isScalingIn()
          && !machine.isFaulty()
          && !machine.answersLost();
    }

    private void countMachines() {
      for (Machine machine : machines) {
        if (!isUsable(machine)) {
          continue;
        }
        boolean overdue = machine.bootOverdue(now);
        if (!overdue && machine.reclaimAt() == null) {
          totalCores += machine.type().size().cores();
        }
        if (machine.booting() && !overdue) {
          pendingCapacity.add(machine.type().size(), 1);
        }
      }
    }

    private void countOpenRequests() {
      for (ScaleOutRequest request : openRequests.values()) {
        Resources size = request.instanceKind().type().size();
        pendingCapacity.add(size, request.count());
        totalCores += request.count() * size.cores();
      }
    }

    /** Adds the machines that a job needs. Returns false if no further machines may be created. */
    boolean addMachinesFor(WaitingJob waitingJob) {
      Job job = waitingJob.job();
      Resources taskSize = job.spec.size();
      int tasks = Math.min(waitingJob.tasks(), job.demandedTasks());
      tasks = pendingCapacity.take(taskSize, tasks);
      if (tasks == 0) {
        return true;
      }
      double taskCores = taskSize.cores();
      boolean urgent = isUrgent(job, taskCores * tasks);
      if (!urgent && totalCores > 0 && taskCores > 0) {
        tasks = (int) Math.min(tasks, Math.ceil(missingCores / taskCores));
        if (tasks <= 0 && !fitsSomewhere(job)) {
          // The other machines' cores do not help this job, however many are free.
          tasks = 1;
        }
      }
      if (tasks <= 0) {
        return true;
      }
      InstanceKind kind = selector.select(job, tasks, types, priceLimit(job, urgent), now);
      // An open request for the best kind that covers the whole need is awaited first. If the need
      // exceeds one request, the next is sent without waiting.
      return kind == null || hasPartialOpenRequest(kind) || addMachines(kind, taskSize, tasks);
    }

    /** Returns whether a task of the job can ever run on a machine that is there or requested. */
    private boolean fitsSomewhere(Job job) {
      for (Machine machine : machines) {
        if (isUsable(machine)
            && machine.reclaimAt() == null
            && job.spec.size().fitsIn(machine.type().size())
            && job.spec.allows(machine.typeName, machine.zone, machine.spot)
            && !job.failedMachines.avoids(machine, now)) {
          return true;
        }
      }
      for (ScaleOutRequest request : openRequests.values()) {
        if (canRunOn(job, request.instanceKind())) {
          return true;
        }
      }
      return machinesByKind.keySet().stream().anyMatch(kind -> canRunOn(job, kind));
    }

    private static boolean canRunOn(Job job, InstanceKind kind) {
      return kind.accepts(job) && job.spec.size().fitsIn(kind.type().size());
    }

    /** Returns whether the job needs machines regardless of the backlog. */
    private boolean isUrgent(Job job, double cores) {
      boolean urgent = job.spec.daemon();
      if (job.queueState().priority().compareTo(policy.preemptingPriority()) >= 0) {
        // Preemption frees resources sooner than a machine boots; preempted tasks then count as
        // backlog.
        urgent |= preemptibleCores < cores;
        preemptibleCores -= cores;
      }
      return urgent;
    }

    private InstanceSelector.PriceLimit priceLimit(Job job, boolean urgent) {
      double waitSeconds = backlog.coreSeconds() / Math.max(1, totalCores);
      boolean expensiveAllowed =
          urgent
              || waitSeconds > policy.onDemandHorizon().toSeconds()
              || DeadlineRisk.missesDeadline(job, waitSeconds, estimates, now);
      return new InstanceSelector.PriceLimit(
          expensiveAllowed, urgent ? Double.MAX_VALUE : maxHourlyPrice);
    }

    private boolean addMachines(InstanceKind kind, Resources taskSize, int tasks) {
      Resources machineSize = kind.type().size();
      int tasksPerMachine = taskSize.countFittingIn(machineSize);
      // Written so that it cannot overflow: any number of tasks that take nothing fit.
      int count = Math.min(remainingMachines, 1 + (tasks - 1) / tasksPerMachine);
      if (count == 0) {
        return false;
      }
      remainingMachines -= count;
      machinesByKind.merge(kind, count, Integer::sum);
      double requestedCores = count * machineSize.cores();
      totalCores += requestedCores;
      missingCores -= requestedCores;
      // Resources left on the new machines serve the jobs later in the queue.
      pendingCapacity.add(machineSize, count);
      pendingCapacity.take(taskSize, tasks);
      return true;
    }
  }

  private List<ScaleOutRequest> createRequests(
      Map<InstanceKind, Integer> machinesByKind, MonotonicTime now) {
    List<ScaleOutRequest> requests = new ArrayList<>();
    for (Map.Entry<InstanceKind, Integer> entry : machinesByKind.entrySet()) {
      int remaining = entry.getValue();
      while (remaining > 0 && openRequests.size() < MAX_OPEN_REQUESTS) {
        int count = Math.min(MAX_MACHINES_PER_REQUEST, remaining);
        remaining -= count;
        String name = "r-" + term + "-" + ++requestSequence;
        ScaleOutRequest request = new ScaleOutRequest(name, entry.getKey(), count, now);
        openRequests.put(name, request);
        requests.add(request);
        eventSummary.countEvent(
            "machines requested from the cloud", count, count + " " + request.instanceKind());
      }
    }
    return requests;
  }

  private static double hourlyCost(Collection<Machine> machines) {
    double hourly = 0;
    for (Machine machine : machines) {
      hourly += machine.type() == null ? 0 : machine.type().hourly(machine.spot);
    }
    return hourly;
  }

  private boolean hasPartialOpenRequest(InstanceKind kind) {
    for (ScaleOutRequest request : openRequests.values()) {
      if (request.count() < MAX_MACHINES_PER_REQUEST
          && request.instanceKind().toString().equals(kind.toString())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the cloud may still create a machine for the job, that is, some kind on which
   * it fits was not refused recently.
   */
  public boolean mayBeAvailable(Job job, Collection<MachineType> types, MonotonicTime now) {
    for (MachineType type : types) {
      if (!job.spec.size().fitsIn(type.size())) {
        continue;
      }
      for (String zone : type.zones()) {
        if (mayBeAvailable(job, new InstanceKind(type, zone, true), now)
            || mayBeAvailable(job, new InstanceKind(type, zone, false), now)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean mayBeAvailable(Job job, InstanceKind kind, MonotonicTime now) {
    return !backoffs.wasRefusedRecently(kind, now) && kind.accepts(job);
  }

  /** Returns whether no kind of instance is backed off after a refusal. */
  public boolean hasNoBackoff(MonotonicTime now) {
    return !backoffs.isAnyBackedOff(now);
  }

  /**
   * Records the cloud's answer to a request.
   *
   * @param granted the number of machines created, from 0 to the requested count
   */
  public void onAnswered(ScaleOutRequest request, int granted, MonotonicTime now) {
    openRequests.remove(request.name());
    if (granted >= request.count()) {
      backoffs.onGranted(request.instanceKind());
      return;
    }
    backoffs.onRefused(request.instanceKind(), granted > 0, now);
    eventSummary.countEvent(
        "machines refused by the cloud",
        request.count() - granted,
        granted + " of " + request.count() + " " + request.instanceKind());
  }
}
