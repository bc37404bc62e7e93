package io.saltflow.leader;

/** Fault that interrupts the communication between the leader and a machine. */
enum MachineFault {
  HANGS {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.hungUntil = until;
    }
  },
  IS_PARTITIONED {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.partitionedUntil = until;
    }
  },
  LOSES_INBOUND {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.inboundLostUntil = until;
    }
  },
  LOSES_OUTBOUND {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.outboundLostUntil = until;
    }
  };

  abstract void apply(ClusterSimulation.SimulatedWorker worker, long until);
}
