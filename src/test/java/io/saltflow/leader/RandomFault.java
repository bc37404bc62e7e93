package io.saltflow.leader;

import io.saltflow.model.JobId;
import io.saltflow.model.TaskId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Fault that a randomized simulation injects. */
enum RandomFault {
  MACHINES_LOSE_OUTBOUND {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.LOSES_OUTBOUND, 120);
    }
  },
  MACHINES_HANG {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.HANGS, 40);
    }
  },
  MACHINES_ARE_PARTITIONED {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.IS_PARTITIONED, 60);
    }
  },
  MACHINES_LOSE_INBOUND {
    @Override
    void apply(ClusterSimulation simulation) {
      applyToSome(simulation, MachineFault.LOSES_INBOUND, 120);
    }
  },
  MACHINES_RESTART {
    @Override
    void apply(ClusterSimulation simulation) {
      ClusterSimulation.SimulatedWorker worker = simulation.anyWorker();
      if (worker != null) {
        worker.restart();
      }
    }
  },
  RUNNING_JOBS_ARE_CANCELLED_AND_HANG {
    @Override
    void apply(ClusterSimulation simulation) {
      ClusterSimulation.SimulatedWorker worker = simulation.anyWorker();
      if (worker != null) {
        worker.tasks.keySet().stream().limit(2).map(TaskId::job).forEach(simulation::cancel);
        worker.hungUntil = simulation.now + steps(simulation, 30);
      }
    }
  },
  JOBS_ARE_CANCELLED_AS_THEY_END {
    @Override
    void apply(ClusterSimulation simulation) {
      completingJobs(simulation).forEach(simulation::cancel);
    }
  },
  LEADERS_FAIL_OVER {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.failLeader(simulation.chance(0.5) ? steps(simulation, 60) : 0);
      if (simulation.chance(0.3)) {
        simulation.electAt = simulation.now + ClusterSimulation.STEP_MS;
      }
    }
  },
  LEADERS_ARE_SUPERSEDED {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.supersede(steps(simulation, 50));
    }
  },
  STORE_REFUSES {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.refuseLeader(steps(simulation, 60));
      if (simulation.chance(0.3)) {
        simulation.run(1);
        simulation.takeStoreDown(steps(simulation, 130));
      }
    }
  },
  CLOUD_IS_DOWN {
    @Override
    void apply(ClusterSimulation simulation) {
      simulation.cloudDownUntil = simulation.now + steps(simulation, 120);
    }
  },
  DUPLICATES_ARRIVE_LATE {
    @Override
    void prepare(ClusterSimulation simulation) {
      simulation.duplicateShare = 0.1;
    }
  },
  WRITES_ARE_LATE {
    @Override
    void prepare(ClusterSimulation simulation) {
      simulation.delayedWriteShare = 0.1;
    }
  },
  RESPONSES_ARE_SLOW {
    @Override
    void prepare(ClusterSimulation simulation) {
      simulation.slowResponseShare = 0.2;
      simulation.leaderReadMs = 1000;
    }
  };

  /** Configures a fault that lasts for the whole simulation. */
  void prepare(ClusterSimulation simulation) {}

  /** Injects the fault once. */
  void apply(ClusterSimulation simulation) {}

  private static long steps(ClusterSimulation simulation, int maxSteps) {
    return simulation.random.nextInt(maxSteps) * ClusterSimulation.STEP_MS;
  }

  private static void applyToSome(ClusterSimulation simulation, MachineFault fault, int maxSteps) {
    long until = simulation.now + steps(simulation, maxSteps);
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
