package io.saltflow.leader;

/** Fault that interrupts the communication between the leader and a machine. */
enum MachineFault {
  PROCESS_PAUSE {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.pausedUntil = until;
    }
  },
  PARTITION {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.partitionedUntil = until;
    }
  },
  INBOUND_LOSS {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.inboundLostUntil = until;
    }
  },
  OUTBOUND_LOSS {
    @Override
    void apply(ClusterSimulation.SimulatedWorker worker, long until) {
      worker.outboundLostUntil = until;
    }
  };

  abstract void apply(ClusterSimulation.SimulatedWorker worker, long until);
}
