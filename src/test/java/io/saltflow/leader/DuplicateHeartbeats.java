package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.model.MachineId;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Delivers copies of old heartbeats to a new leader before any other heartbeat. A copy may stem
 * from an earlier agent epoch or attempt. Each delivery asserts that the copy reconciles no
 * machine, launches and frees no task, and marks no machine as faulty.
 */
final class DuplicateHeartbeats {
  private static final int MAX_KEPT_PER_MACHINE = 40;

  private final ClusterSimulation simulation;
  private final Map<MachineId, List<WorkerHeartbeat>> sent = new LinkedHashMap<>();

  /** Probability that a copy is delivered, for each machine that sent heartbeats. */
  double probability;

  /** Number of delivered copies. */
  int deliveredCount;

  /** Number of delivered copies from an earlier agent epoch. */
  int earlierEpochCount;

  DuplicateHeartbeats(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  void sent(WorkerHeartbeat heartbeat) {
    if (probability > 0) {
      List<WorkerHeartbeat> all =
          sent.computeIfAbsent(heartbeat.machine(), machine -> new ArrayList<>());
      all.add(heartbeat);
      if (all.size() > MAX_KEPT_PER_MACHINE) {
        all.remove(0);
      }
    }
  }

  /** Delivers copies to a leader that has just read the recorded state. */
  void deliver(ClusterSimulation.SimulatedLeader newLeader) {
    for (List<WorkerHeartbeat> all : sent.values()) {
      if (simulation.chance(probability)) {
        deliver(newLeader, all.get(simulation.random.nextInt(all.size())));
      }
    }
  }

  private void deliver(ClusterSimulation.SimulatedLeader newLeader, WorkerHeartbeat copy) {
    if (!newLeader.lease.mayRenewWorkerLeases(simulation.time())
        || copy.fencingToken().compareTo(newLeader.term) >= 0) {
      return;
    }
    LeaderCore core = newLeader.core;
    Map<MachineId, Boolean> before = reconciled(core);
    String placements = placements(core);
    List<WorkerCommand> commands = core.onHeartbeat(copy, true, simulation.time());
    deliveredCount++;
    ClusterSimulation.SimulatedWorker worker = simulation.workers.get(copy.machine());
    earlierEpochCount += worker != null && worker.epoch != copy.agentEpoch() ? 1 : 0;
    assertEquals(placements, placements(core), "a copy changes the placements");
    reconciled(core)
        .forEach(
            (id, isReconciled) ->
                assertEquals(
                    before.getOrDefault(id, isReconciled),
                    isReconciled,
                    "a copy reconciles " + id));
    for (Machine machine : core.machines().all()) {
      assertFalse(
          machine.isReconciled() && !before.containsKey(machine.id()),
          "a copy adds reconciled machine " + machine.id());
      assertFalse(
          machine.isFaulty() || machine.answersLost(),
          "a copy marks " + machine.id() + " as faulty");
    }
    if (commands != null) {
      assertEquals(
          0,
          commands.stream().filter(command -> command instanceof WorkerCommand.Launch).count(),
          "a copy causes launches");
    }
  }

  private static Map<MachineId, Boolean> reconciled(LeaderCore core) {
    Map<MachineId, Boolean> out = new LinkedHashMap<>();
    for (Machine machine : core.machines().all()) {
      out.put(machine.id(), machine.isReconciled() || !machine.mayRunEarlierTermTasks());
    }
    return out;
  }

  private static String placements(LeaderCore core) {
    StringBuilder out = new StringBuilder();
    for (Job job : core.jobs().scheduled()) {
      job.placements
          .values()
          .forEach(
              placement -> out.append(placement.taskId()).append('@').append(placement.machine.id));
    }
    return out.toString();
  }
}
