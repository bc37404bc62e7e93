package io.saltflow.autoscaler;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Selects machines to delete: silent, faulty, failed to boot, about to be reclaimed, or idle. */
public final class ScaleInPlanner {
  /** Number of machines with lost answers below which each is assessed individually. */
  private static final int CORRELATED_ANSWERS_LOST_THRESHOLD = 4;

  private static final int CORRELATED_ANSWERS_LOST_FRACTION = 10;

  private static final int CORRELATED_SILENCE_THRESHOLD = 3;
  private static final int CORRELATED_SILENCE_FRACTION = 2;

  /**
   * Factor of the silence timeout for unreconciled machines once four of five machines are
   * reconciled. The last ones are given less time because they delay all launches.
   */
  private static final double LAST_UNRECONCILED_TIMEOUT_FACTOR = 0.65;

  private static final int LAST_UNRECONCILED_FRACTION = 5;

  /** Maximum time that a faulty machine is kept for its replicas, in silence timeouts. */
  private static final double FAULTY_TIMEOUT_FACTOR = 2;

  private static final TimeSpan BOOT_TIMEOUT_MARGIN = TimeSpan.seconds(10);

  private final Policy policy;
  private final EventSummary eventSummary;

  /** Creates a planner that uses the operators' settings. */
  public ScaleInPlanner(Policy policy, EventSummary eventSummary) {
    this.policy = policy;
    this.eventSummary = eventSummary;
  }

  /**
   * The leader's own contact with the machines.
   *
   * @param heartbeatLossUntil the time until which heartbeats may have been lost at this
   *     controller; silence before it is not attributed to the machines, but for no longer than
   *     their lease
   * @param leaderSince the time at which this leader was elected
   * @param reconciledAt the time at which the failover was complete, or {@code null} if it is not
   * @param now the current monotonic time
   */
  public record Contact(
      MonotonicTime heartbeatLossUntil,
      MonotonicTime leaderSince,
      MonotonicTime reconciledAt,
      MonotonicTime now) {}

  /** Simultaneous silence of many machines, probably a fault of the network or the leader. */
  private record CorrelatedFaults(
      boolean partitioned, boolean answersLost, TimeSpan unreconciledTimeout) {}

  /** Returns the machines to delete and marks them, so that each is returned only once. */
  public List<MachineId> machinesToRemove(Collection<Machine> machines, Contact contact) {
    CorrelatedFaults faults = correlatedFaults(machines, contact);
    List<MachineId> removals = new ArrayList<>();
    for (Machine machine : machines) {
      if (machine.isScalingIn() || (faults.answersLost && machine.answersLost())) {
        continue;
      }
      ScaleInReason reason = reasonFor(machine, faults, contact);
      if (reason != null) {
        eventSummary.countEvent("machines scaled in: " + reason, machine.id + " " + machine.kind());
        machine.setScalingIn(true);
        removals.add(machine.id);
      }
    }
    return removals;
  }

  private CorrelatedFaults correlatedFaults(Collection<Machine> machines, Contact contact) {
    int expected = 0;
    int silent = 0;
    int unreconciled = 0;
    int answersLost = 0;
    for (Machine machine : machines) {
      answersLost += machine.answersLost() ? 1 : 0;
      if (machine.isUp() || machine.mayRunEarlierTermTasks()) {
        expected++;
        unreconciled += machine.mayRunEarlierTermTasks() ? 1 : 0;
        TimeSpan silence = silenceOf(machine, contact);
        silent += silence.longerThan(policy.heartbeatTimeout()) ? 1 : 0;
      }
    }
    boolean fewUnreconciled = unreconciled * LAST_UNRECONCILED_FRACTION <= expected;
    return new CorrelatedFaults(
        silent >= CORRELATED_SILENCE_THRESHOLD && silent * CORRELATED_SILENCE_FRACTION > expected,
        answersLost >= CORRELATED_ANSWERS_LOST_THRESHOLD
            && answersLost * CORRELATED_ANSWERS_LOST_FRACTION > expected,
        policy.silenceTimeout().times(fewUnreconciled ? LAST_UNRECONCILED_TIMEOUT_FACTOR : 1));
  }

  private TimeSpan silenceOf(Machine machine, Contact contact) {
    MonotonicTime lastHeard =
        MonotonicTime.later(machine.heartbeats().lastHealthyAt(), contact.leaderSince);
    MonotonicTime excusedUntil =
        MonotonicTime.earlier(
            contact.heartbeatLossUntil, lastHeard.plus(policy.leaseExpiryBound()));
    return contact.now.since(MonotonicTime.later(lastHeard, excusedUntil));
  }

  /** Returns the reason to delete the machine, or {@code null} if it is kept. */
  private ScaleInReason reasonFor(Machine machine, CorrelatedFaults faults, Contact contact) {
    TimeSpan silence = silenceOf(machine, contact);
    boolean expected = machine.isUp() || machine.mayRunEarlierTermTasks();
    if (expected && silence.longerThan(silenceTimeout(machine, faults))) {
      return machine.answersLost() ? ScaleInReason.ANSWERS_LOST : ScaleInReason.SILENT;
    }
    if (machine.type() == null) {
      return machine.placements.isEmpty() ? ScaleInReason.UNKNOWN_TYPE : null;
    }
    if (machine.isFaulty()
        && (silence.longerThan(policy.heartbeatTimeout())
            || replicasCovered(machine, contact.now))) {
      return ScaleInReason.FAULTY;
    }
    if (machine.booting()) {
      TimeSpan age = contact.now.since(machine.provisionedAt);
      return age.longerThan(bootTimeout(machine)) ? ScaleInReason.BOOT_TIMEOUT : null;
    }
    return idleReason(machine, contact);
  }

  private TimeSpan silenceTimeout(Machine machine, CorrelatedFaults faults) {
    boolean unreconciled = machine.mayRunEarlierTermTasks();
    if (machine.isMissingFromCloudList()) {
      return unreconciled ? policy.heartbeatInterval() : policy.heartbeatTimeout();
    }
    if (faults.partitioned) {
      return policy.leaseExpiryBound();
    }
    return unreconciled ? faults.unreconciledTimeout : policy.silenceTimeout();
  }

  private TimeSpan bootTimeout(Machine machine) {
    return machine.type().boot().times(policy.bootTimeoutFactor()).plus(BOOT_TIMEOUT_MARGIN);
  }

  /**
   * Returns whether services with replicas on this faulty machine have enough other replicas, or
   * the machine has been faulty for too long to be kept for them.
   */
  private boolean replicasCovered(Machine machine, MonotonicTime now) {
    TimeSpan faultyTimeout = policy.silenceTimeout().times(FAULTY_TIMEOUT_FACTOR);
    if (now.since(machine.faultySince()).longerThan(faultyTimeout)) {
      return true;
    }
    for (TaskPlacement placement : machine.placements.values()) {
      if (placement.job.isService()
          && (placement.job.replicas().disruptionBudget() == null
              || !placement.job.replicas().disruptionBudget().allows(0))) {
        return false;
      }
    }
    return true;
  }

  private ScaleInReason idleReason(Machine machine, Contact contact) {
    if (!machine.placements.isEmpty()
        || !machine.assignments.isEmpty()
        || machine.idleSince() == null
        || !machine.isReconciled()) {
      return null;
    }
    if (machine.reclaimAt() != null) {
      return ScaleInReason.RECLAIMED;
    }
    if (contact.reconciledAt == null) {
      // Most tasks may not be launched before reconciliation, so empty machines are not idle yet.
      return null;
    }
    // The minimum billed time is charged whether the machine is used or not.
    TimeSpan billed = contact.now.since(machine.billedFrom());
    if (!billed.longerThan(policy.minimumBilledTime())) {
      return null;
    }
    if (machine.isCordoned()) {
      return ScaleInReason.EXPENSIVE;
    }
    // Keeping an idle machine for longer than a boot takes costs more than it can save.
    TimeSpan idleTimeout = machine.type().boot().times(policy.idleTimeoutBootFactor());
    MonotonicTime idleSince = MonotonicTime.later(machine.idleSince(), contact.reconciledAt);
    return contact.now.since(idleSince).longerThan(idleTimeout) ? ScaleInReason.IDLE : null;
  }
}
