package io.saltflow.cluster;

import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines on which tasks of a job have failed. The job avoids such a machine for a while,
 * unless a task that was launched there after the failure has succeeded.
 */
public final class FailedMachines {
  /** How long a machine is avoided after the first failure, doubled with each further one. */
  private static final TimeSpan FIRST_AVOIDANCE = TimeSpan.seconds(15);

  private static final TimeSpan MAX_AVOIDANCE = TimeSpan.seconds(60);
  private static final int MAX_DOUBLINGS = 2;

  private record Failures(int count, MonotonicTime lastAt) {
    TimeSpan avoidance() {
      TimeSpan avoidance = FIRST_AVOIDANCE.times(1 << Math.min(MAX_DOUBLINGS, count - 1));
      return avoidance.longerThan(MAX_AVOIDANCE) ? MAX_AVOIDANCE : avoidance;
    }
  }

  private final Map<MachineId, Failures> failures = new HashMap<>();

  /** Records that a task of the job has failed on a machine. */
  public void add(MachineId machine, MonotonicTime now) {
    Failures before = failures.get(machine);
    failures.put(machine, new Failures(before == null ? 1 : before.count + 1, now));
  }

  /** Returns all machines on which a task of the job has failed. */
  public Set<MachineId> ids() {
    return failures.keySet();
  }

  /** Returns whether the job avoids the machine now. */
  public boolean avoids(Machine machine, MonotonicTime now) {
    if (failures.isEmpty()) {
      return false;
    }
    Failures onMachine = failures.get(machine.id);
    return onMachine != null
        && !onMachine.lastAt.before(machine.trackRecord().provenAt())
        && onMachine.avoidance().longerThan(now.since(onMachine.lastAt));
  }
}
