package io.saltflow.leader;

import io.saltflow.model.JobId;
import io.saltflow.model.TaskId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Fault that a randomized simulation injects. */
enum RandomFault {
  OUTBOUND_LOSS {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.OUTBOUND_LOSS, 120);
    }
  },
  PROCESS_PAUSE {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.PROCESS_PAUSE, 40);
    }
  },
  MACHINE_PARTITION {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.PARTITION, 60);
    }
  },
  INBOUND_LOSS {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.INBOUND_LOSS, 120);
    }
  },
  WORKER_RESTART {
    @Override
    void apply(ClusterSimulation simulation) {
      ClusterSimulation.SimulatedWorker worker = simulation.randomWorker();
      if (worker != null) {
        worker.restart();
      }
    }
  },
  CANCELLATION_ON_PAUSED_MACHINE {
    @Override
    void apply(ClusterSimulation simulation) {
      ClusterSimulation.SimulatedWorker worker = simulation.randomWorker();
      if (worker != null) {
        worker.tasks.keySet().stream().limit(2).map(TaskId::job).forEach(simulation::cancel);
        worker.pausedUntil = simulation.now + randomDurationMs(simulation, 30);
      }
    }
  },
  CANCELLATION_AT_COMPLETION {
    @Override
    void apply(ClusterSimulation simulation) {
      completingJobs(simulation).forEach(simulation::cancel);
    }
  },
  FAILOVER {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.failLeader(simulation.chance(0.5) ? randomDurationMs(simulation, 60) : 0);
      if (simulation.chance(0.3)) {
        simulation.nextElectionAt = simulation.now + ClusterSimulation.STEP_MS;
      }
    }
  },
  SUPERSEDED_LEADER {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.supersede(randomDurationMs(simulation, 50));
    }
  },
  STORE_OUTAGE {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.disconnectLeaderFromStore(randomDurationMs(simulation, 60));
      if (simulation.chance(0.3)) {
        simulation.run(1);
        simulation.startStoreOutage(randomDurationMs(simulation, 130));
      }
    }
  },
  CLOUD_OUTAGE {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.cloudOutageUntil = simulation.now + randomDurationMs(simulation, 120);
    }
  },
  LATE_DUPLICATES {
    @Override
    void prepare(ClusterSimulation simulation) {
      simulation.duplicateProbability = 0.1;
    }
  },
  DELAYED_WRITES {
    @Override
    void prepare(ClusterSimulation simulation) {
      simulation.delayedWriteProbability = 0.1;
    }
  },
  SLOW_RESPONSES {
    @Override
    void prepare(ClusterSimulation simulation) {
      simulation.slowResponseProbability = 0.2;
      simulation.leaderReadMs = 1000;
    }
  };

  /** Configures a fault that lasts for the whole simulation. */
  void prepare(ClusterSimulation simulation) {}

  /** Injects the fault once. */
  void apply(ClusterSimulation simulation) {}

  private static long randomDurationMs(ClusterSimulation simulation, int maxSteps) {
    return simulation.random.nextInt(maxSteps) * ClusterSimulation.STEP_MS;
  }

  private static void applyToSome(ClusterSimulation simulation, MachineFault fault, int maxSteps) {
    long until = simulation.now + randomDurationMs(simulation, maxSteps);
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      if (simulation.chance(0.3)) {
        fault.apply(worker, until);
      }
    }
  }

  private static List<JobId> completingJobs(ClusterSimulation simulation) {
    List<JobId> jobs = new ArrayList<>();
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      for (Map.Entry<TaskId, ClusterSimulation.SimulatedTask> entry : worker.tasks.entrySet()) {
        ClusterSimulation.SimulatedTask task = entry.getValue();
        if (task.isRunning() && task.endsAt <= simulation.now + ClusterSimulation.STEP_MS) {
          jobs.add(entry.getKey().job());
        }
      }
    }
    return jobs;
  }
}
