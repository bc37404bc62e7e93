package io.saltflow.leader;

import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.Collection;

/** Detects silent workers, and whether all are silent so that this leader may be partitioned. */
final class WorkerContact {
  /**
   * Number of machines from which the heartbeat timeout applies, as some heartbeat is always due.
   */
  private static final int LARGE_CLUSTER_THRESHOLD = 6;

  /**
   * Minimum number of expected machines, as a single silent machine does not indicate a fault of
   * this leader's network.
   */
  private static final int MIN_MACHINES = 2;

  private static final int MISSED_HEARTBEATS = 3;

  private final Policy policy;
  private MonotonicTime lastHeartbeat;
  private MonotonicTime resumedAt;
  private boolean anyHeartbeatReceived;

  WorkerContact(Policy policy, MonotonicTime now) {
    this.policy = policy;
    lastHeartbeat = now;
    resumedAt = now;
  }

  /** Records a heartbeat that is newer than all previous ones of its machine. */
  void onHeartbeat(MonotonicTime now) {
    lastHeartbeat = now;
    anyHeartbeatReceived = true;
  }

  /**
   * Handles the end of a process pause, in which missing heartbeats do not indicate silent
   * machines.
   */
  void onProcessResumed(MonotonicTime now) {
    resumedAt = now;
  }

  /** Returns whether a machine is up and its heartbeat is overdue or its answers are being lost. */
  boolean isUnresponsive(Machine machine, MonotonicTime now) {
    MonotonicTime lastHeard =
        MonotonicTime.later(machine.heartbeats().lastHeartbeatAt(), resumedAt);
    return machine.isUp()
        && (machine.answersLost() || now.since(lastHeard).longerThan(policy.heartbeatTimeout()));
  }

  /** Returns whether all expected workers are silent, so that this leader may be partitioned. */
  boolean isCutOff(Collection<Machine> machines, MonotonicTime now) {
    int expected = 0;
    for (Machine machine : machines) {
      if (machine.isUp() || machine.mayRunEarlierTermTasks()) {
        expected++;
      }
    }
    TimeSpan timeout =
        expected >= LARGE_CLUSTER_THRESHOLD
            ? policy.heartbeatTimeout()
            : policy.heartbeatInterval().times(MISSED_HEARTBEATS);
    // A process pause is no partition. A leader that resumes during an outage of the key-value
    // store must not step down, as one did, while its workers are about to send heartbeats and no
    // other controller can be elected.
    MonotonicTime lastHeard = MonotonicTime.later(lastHeartbeat, resumedAt);
    return anyHeartbeatReceived
        && expected >= MIN_MACHINES
        && now.since(lastHeard).longerThan(timeout);
  }
}
