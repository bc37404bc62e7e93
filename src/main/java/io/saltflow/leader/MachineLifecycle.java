package io.saltflow.leader;

import io.saltflow.autoscaler.ControllerCapacity;
import io.saltflow.autoscaler.ScaleInPlanner;
import io.saltflow.autoscaler.ScaleOutPlanner;
import io.saltflow.autoscaler.ScaleOutRequest;
import io.saltflow.cluster.Machine;
import io.saltflow.fencing.TaskOutcomes;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.CloudCodec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks each machine from the scale-out request to its deletion and selects the machines to write
 * to the ledger. The caller sends the cloud requests, writes the ledger and reports each result
 * here.
 */
public final class MachineLifecycle {
  private static final int MAX_REMEMBERED_DELETIONS = 4000;

  /**
   * Time after an election during which demand is uncertain, in silence timeouts. After that,
   * nearly every machine of an earlier leader has sent a heartbeat.
   */
  private static final double UNCERTAIN_DEMAND_TIMEOUT_FACTOR = 1.5;

  private final ClusterState cluster;
  private final TaskOutcomes taskOutcomes;
  private final Reconciliation reconciliation;
  private final SchedulingRounds rounds;
  private final ScaleOutPlanner scaleOutPlanner;
  private final ScaleInPlanner scaleInPlanner;
  private final ControllerCapacity capacity;
  private final Set<MachineId> deleted = new LinkedHashSet<>();

  MachineLifecycle(
      ClusterState cluster,
      TaskOutcomes taskOutcomes,
      Reconciliation reconciliation,
      SchedulingRounds rounds,
      ScaleOutPlanner scaleOutPlanner,
      ControllerCapacity capacity) {
    this.cluster = cluster;
    this.taskOutcomes = taskOutcomes;
    this.reconciliation = reconciliation;
    this.rounds = rounds;
    this.scaleOutPlanner = scaleOutPlanner;
    this.scaleInPlanner = new ScaleInPlanner(cluster.policy(), cluster.eventSummary());
    this.capacity = capacity;
  }

  /** Restores the machines recorded by earlier leaders, each of which must be reconciled. */
  void restore(Collection<LedgerEntry> ledger, boolean ledgerComplete, MonotonicTime now) {
    if (!ledgerComplete) {
      cluster.reconciler().setLedgerIncomplete();
    }
    for (LedgerEntry entry : ledger) {
      MachineType type = cluster.machineTypes().get(entry.type());
      Machine machine =
          new Machine(entry.id(), type, entry.type(), entry.zone(), entry.spot(), now);
      machine.setMayRunEarlierTermTasks(true);
      machine.setInLedger(true);
      cluster.reconciler().addMachine(machine);
    }
  }

  /** Returns all known machines. */
  Collection<Machine> all() {
    return cluster.machines();
  }

  /** Returns whether the machine was deleted at the request of this leader. */
  boolean isDeleted(MachineId id) {
    return deleted.contains(id);
  }

  /** Returns whether the machine types are known. */
  public boolean hasTypes() {
    return !cluster.machineTypes().isEmpty();
  }

  /** Updates the machine types from those that the cloud offers. */
  public void onTypesRead(Collection<MachineType> types) {
    for (MachineType type : types) {
      cluster.machineTypes().put(type.name(), type);
    }
    for (Machine machine : cluster.machines()) {
      machine.setType(cluster.machineTypes().get(machine.typeName));
    }
    cluster.reconciler().recountUnreconciled();
    rounds.request();
  }

  /**
   * Returns the scale-out requests to send to the cloud. Each stays open until {@link #onCreated}
   * or {@link #onScaleOutRefused} is called for it.
   */
  public List<ScaleOutRequest> planScaleOut(MonotonicTime now) {
    if (!hasTypes() || isDemandUncertain(now)) {
      return List.of();
    }
    return scaleOutPlanner.plan(
        rounds.waitingJobs(),
        rounds.backlog(),
        cluster.machines(),
        cluster.machineTypes().values(),
        capacity.maxMachines(),
        now);
  }

  /**
   * Returns whether tasks that appear to be waiting may still run on machines that have not sent a
   * heartbeat to this new leader. Scaling out for them would create unneeded machines.
   */
  private boolean isDemandUncertain(MonotonicTime now) {
    TimeSpan uncertaintyPeriod =
        cluster.policy().silenceTimeout().times(UNCERTAIN_DEMAND_TIMEOUT_FACTOR);
    return !reconciliation.isComplete()
        && now.since(cluster.term().since()).compareTo(uncertaintyPeriod) < 0;
  }

  /** Adds the machines that the cloud created for a request, possibly fewer than requested. */
  public void onCreated(ScaleOutRequest request, List<MachineId> machines, MonotonicTime now) {
    scaleOutPlanner.onAnswered(request, machines.size(), now);
    for (MachineId id : machines) {
      if (cluster.reconciler().findMachine(id) == null) {
        cluster.reconciler().addMachine(request.createdMachine(id));
      }
    }
    rounds.request();
  }

  /** Closes a request for which the cloud has no machine. */
  public void onScaleOutRefused(ScaleOutRequest request, MonotonicTime now) {
    scaleOutPlanner.onAnswered(request, 0, now);
  }

  /**
   * Returns the machines to write to the ledger before they may be used, each machine once.
   * Machines that are not up yet are excluded: the next leader would have to reconcile them
   * although no task was ever launched on them.
   */
  public List<LedgerEntry> toRecord() {
    List<LedgerEntry> entries = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (machine.isUp()
          && !machine.isInLedger()
          && !machine.isLedgerWriteRequested()
          && !machine.isScalingIn()) {
        machine.setLedgerWriteRequested(true);
        entries.add(new LedgerEntry(machine.id, machine.typeName, machine.zone, machine.spot));
      }
    }
    return entries;
  }

  /** Permits launches on machines that were written to the ledger. */
  public void onRecorded(List<LedgerEntry> entries) {
    for (LedgerEntry entry : entries) {
      Machine machine = cluster.reconciler().findMachine(entry.id());
      if (machine != null && !machine.isInLedger()) {
        machine.setInLedger(true);
        rounds.request();
      }
    }
  }

  /**
   * Returns the machines to delete, each machine once. A deletion stays requested until {@link
   * #onDeleted} is called for the machine.
   */
  public List<MachineId> planScaleIn(MonotonicTime now) {
    if (!hasTypes()) {
      // A new leader may not have read the machine types yet. Every machine would appear to be of
      // an unknown type and would be deleted with all its tasks.
      return List.of();
    }
    ScaleInPlanner.Contact contact =
        new ScaleInPlanner.Contact(
            capacity.heartbeatLossUntil(),
            cluster.term().since(),
            reconciliation.completedAt(),
            now);
    return scaleInPlanner.machinesToRemove(cluster.machines(), contact);
  }

  /** Removes deleted machines, which ends all tasks on them. */
  public void onDeleted(List<MachineId> ids, MonotonicTime now) {
    for (MachineId id : ids) {
      Machine machine = cluster.reconciler().findMachine(id);
      if (machine != null) {
        // Assignments of the last round must be withdrawn. Otherwise the tasks stay assigned to the
        // deleted machine and their job never finishes under this leader.
        rounds.withdrawAssignments(machine);
      }
      cluster.reconciler().onMachineDeleted(id, now);
      taskOutcomes.onMachineDeleted(id);
      deleted.add(id);
    }
    while (deleted.size() > MAX_REMEMBERED_DELETIONS) {
      deleted.remove(deleted.iterator().next());
    }
    reconciliation.check(now);
  }

  /** Adds unknown machines from the cloud's list and marks the machines that it shows as failed. */
  public void onListed(List<CloudCodec.ListedMachine> machines, MonotonicTime now) {
    for (Machine machine : cluster.machines()) {
      machine.setMissingFromCloudList(true);
    }
    for (CloudCodec.ListedMachine listed : machines) {
      MonotonicTime createdAt = new MonotonicTime(now.ms() - listed.age().ms());
      Machine machine = cluster.reconciler().findMachine(listed.id());
      if (machine == null) {
        addListed(listed, createdAt);
      } else {
        machine.setMissingFromCloudList(false);
        if (listed.failed()) {
          machine.markFaulty(now);
        }
        machine.setBilledFrom(MonotonicTime.earlier(machine.billedFrom(), createdAt));
      }
    }
  }

  private void addListed(CloudCodec.ListedMachine listed, MonotonicTime createdAt) {
    if (listed.failed() || deleted.contains(listed.id())) {
      // The list lags: deleted machines stay listed for a while and must not count as capacity.
      return;
    }
    MachineType type = cluster.machineTypes().get(listed.type());
    cluster
        .reconciler()
        .addMachine(
            new Machine(listed.id(), type, listed.type(), listed.zone(), listed.spot(), createdAt));
    cluster.eventSummary().countEvent("unknown machines found in the cloud's list", listed.id());
    rounds.request();
  }
}
