package io.saltflow.fencing;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.HeartbeatState;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.reachability.AnswerEvidence;
import io.saltflow.reachability.AnswerLossDetector;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the machines and reconciles their heartbeats with the task placements. A placement ends
 * only on proof: a heartbeat that was created after the last command and carries this term's
 * fencing token, a new agent epoch, a successful deletion, or a lease that has certainly expired.
 * Silence alone and the cloud's list of machines are no proof.
 */
public final class TaskReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);

  private final Policy policy;
  private final Term term;
  private final MonotonicTime leaderSince;
  private final EventSummary eventSummary;
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final UnreconciledMachines unreconciled = new UnreconciledMachines();
  private final EndedJobs endedJobs = new EndedJobs();
  private final Placements placements;
  private final TaskStatusReconciler taskStatuses;

  /**
   * Creates the reconciler of one term.
   *
   * @param jobs a live view of the scheduled jobs
   * @param leaderSince when the term began, on this leader's monotonic clock
   */
  public TaskReconciler(
      Policy policy,
      Term term,
      Map<JobId, Job> jobs,
      QuotaUsage quotaUsage,
      OutcomeListener listener,
      EventSummary eventSummary,
      MonotonicTime leaderSince) {
    this.policy = policy;
    this.term = term;
    this.leaderSince = leaderSince;
    this.eventSummary = eventSummary;
    this.placements = new Placements(quotaUsage, listener);
    this.taskStatuses =
        new TaskStatusReconciler(jobs, endedJobs, placements, listener, eventSummary);
  }

  /** Returns a live view of all known machines in the order in which they became known. */
  public Collection<Machine> machines() {
    return machines.values();
  }

  /** Returns the machine with this id, or {@code null} if it is unknown. */
  public Machine findMachine(MachineId id) {
    return machines.get(id);
  }

  /** Adds a machine unless it is already known. */
  public void addMachine(Machine machine) {
    if (machines.putIfAbsent(machine.id, machine) == null && machine.mayRunEarlierTermTasks()) {
      unreconciled.add(machine);
    }
  }

  /** Handles the end of a job whose tasks from earlier terms may still be on machines. */
  public void onJobEnded(Job job) {
    if (!allReconciled()) {
      endedJobs.add(job);
    }
  }

  /** Discards the ended jobs once every machine is reconciled. */
  public void clearEndedJobs() {
    endedJobs.clear();
  }

  /** Recomputes the usage of unreconciled machines after machine types have become known. */
  public void recountUnreconciled() {
    unreconciled.recount(machines.values());
  }

  /** Marks the machine ledger as incomplete, so that unknown machines may exist. */
  public void setLedgerIncomplete() {
    unreconciled.setLedgerIncomplete(true);
  }

  /** Returns whether every machine that earlier terms may have used is reconciled. */
  public boolean allReconciled() {
    return unreconciled.isEmpty();
  }

  /**
   * Returns the maximum resources that tasks of earlier terms may hold on unreconciled machines.
   */
  public Resources maxUnreconciledUsage() {
    return unreconciled.maxUsage();
  }

  /**
   * Processes a heartbeat.
   *
   * @param types the known machine types by name
   * @param answersMayBeLate whether answers of this leader may have arrived too late to be
   *     processed
   * @return the machine, or {@code null} if the heartbeat is outdated and must not be answered with
   *     commands
   */
  public Machine onHeartbeat(
      WorkerHeartbeat heartbeat,
      Map<String, MachineType> types,
      boolean answersMayBeLate,
      MonotonicTime now) {
    Machine machine = findOrAdd(heartbeat, types, now);
    HeartbeatState state = machine.heartbeats();
    boolean currentToken = heartbeat.fencingToken().equals(term);
    if (!heartbeat.newerThan(state.agentEpoch(), state.sequence())) {
      return null;
    }
    if (machine.isReconciled() && !currentToken) {
      // A worker process never forgets a token, so this is a late copy from an earlier process on
      // the machine, and its epoch may even be higher. Accepting it would end placements launched
      // since, and their tasks would run twice.
      return null;
    }
    boolean newEpoch = state.agentEpoch() != 0 && heartbeat.agentEpoch() != state.agentEpoch();
    detectAnswerLoss(machine, heartbeat, currentToken, answersMayBeLate, now);
    updateMachine(machine, heartbeat, types, now);
    if (newEpoch) {
      // The worker stopped all tasks and discarded its state when its lease expired.
      placements.removeIf(
          machine,
          placement -> placement.launchEpoch < heartbeat.agentEpoch(),
          "its worker began a new session",
          now);
    }
    reconcileTasks(machine, heartbeat, currentToken, now);
    updateIdleSince(machine, now);
    return machine;
  }

  private Machine findOrAdd(
      WorkerHeartbeat heartbeat, Map<String, MachineType> types, MonotonicTime now) {
    Machine known = machines.get(heartbeat.machine());
    if (known != null) {
      return known;
    }
    Machine machine =
        new Machine(
            heartbeat.machine(),
            types.get(heartbeat.type()),
            heartbeat.type(),
            heartbeat.zone(),
            heartbeat.spot(),
            now);
    machines.put(machine.id, machine);
    eventSummary.countEvent("machines unknown to this leader sent a heartbeat", machine.id);
    return machine;
  }

  private void detectAnswerLoss(
      Machine machine,
      WorkerHeartbeat heartbeat,
      boolean tokenSeen,
      boolean answersMayBeLate,
      MonotonicTime now) {
    HeartbeatState state = machine.heartbeats();
    if (state.answerLossDetector() == null) {
      state.setAnswerLossDetector(
          new AnswerLossDetector(policy.heartbeatInterval(), policy.workerLease()));
    }
    AnswerEvidence evidence =
        new AnswerEvidence(
            heartbeat.agentEpoch(),
            heartbeat.sequence(),
            tokenSeen,
            launchOutcome(machine, heartbeat));
    state.answerLossDetector().onHeartbeat(evidence, answersMayBeLate, now);
  }

  /** Returns the outcome of the launches in the last answer to the machine. */
  private static AnswerEvidence.LaunchOutcome launchOutcome(
      Machine machine, WorkerHeartbeat heartbeat) {
    AnswerEvidence.LaunchOutcome outcome = AnswerEvidence.LaunchOutcome.NONE;
    for (TaskPlacement placement : machine.placements.values()) {
      if (placement.state() == TaskPlacement.State.LAUNCHED
          && heartbeat.newerThan(placement.launchEpoch, placement.launchSequence)) {
        for (WorkerHeartbeat.TaskStatus reported : heartbeat.tasks()) {
          if (reported.task().equals(placement.taskId())
              && reported.attempt().equals(placement.attempt)) {
            return AnswerEvidence.LaunchOutcome.CARRIED_OUT;
          }
        }
        outcome = AnswerEvidence.LaunchOutcome.NOT_LISTED;
      }
    }
    return outcome;
  }

  private void updateMachine(
      Machine machine,
      WorkerHeartbeat heartbeat,
      Map<String, MachineType> types,
      MonotonicTime now) {
    machine.heartbeats().onHeartbeat(heartbeat, now);
    if (!machine.isUp()) {
      machine.setUp(true);
      LOG.debug(
          "machine {} is up, {} s after scale-out",
          machine.id,
          now.since(machine.provisionedAt).toSeconds());
    }
    if (machine.type() == null) {
      machine.setType(types.get(heartbeat.type()));
    }
    if (heartbeat.preemptionNotice() == null) {
      machine.setReclaimAt(null);
      return;
    }
    if (machine.reclaimAt() == null) {
      eventSummary.countEvent("machines are to be reclaimed by the cloud", machine.id);
    }
    machine.setReclaimAt(now.plus(heartbeat.preemptionNotice()));
  }

  private void reconcileTasks(
      Machine machine, WorkerHeartbeat heartbeat, boolean currentToken, MonotonicTime now) {
    Map<TaskId, WorkerHeartbeat.TaskStatus> listed = new HashMap<>();
    for (WorkerHeartbeat.TaskStatus reported : heartbeat.tasks()) {
      listed.put(reported.task(), reported);
      taskStatuses.reconcile(machine, reported, currentToken, now);
    }
    if (!currentToken) {
      return;
    }
    machine.setReconciled(true);
    unreconciled.markReconciled(machine);
    // Commands are sent only in answers, and the worker created this heartbeat after it had
    // executed or dropped every earlier answer. A task missing from its list is not on the machine.
    placements.removeIf(
        machine,
        placement -> {
          WorkerHeartbeat.TaskStatus reported = listed.get(placement.taskId());
          boolean sameAttempt = reported != null && reported.attempt().equals(placement.attempt);
          return !sameAttempt
              && heartbeat.newerThan(placement.launchEpoch, placement.launchSequence);
        },
        "its machine does not have it",
        now);
  }

  private static void updateIdleSince(Machine machine, MonotonicTime now) {
    if (!machine.placements.isEmpty()) {
      machine.setIdleSince(null);
    } else if (machine.idleSince() == null) {
      machine.setIdleSince(now);
    }
  }

  /** Accepts only the task results in a heartbeat of a deleted machine. */
  public void acceptResults(WorkerHeartbeat heartbeat, MonotonicTime now) {
    taskStatuses.acceptResults(heartbeat, now);
  }

  /** Adds a placement for an attempt launched by the answer to the machine's heartbeat. */
  public TaskPlacement launch(
      Job job, int index, Attempt attempt, Machine machine, boolean backfilled, MonotonicTime now) {
    TaskPlacement placement = placements.add(job, index, attempt, machine, now);
    placement.setBackfilled(backfilled);
    machine.setIdleSince(null);
    return placement;
  }

  /**
   * Removes a machine and its placements after the cloud confirmed its deletion.
   *
   * @return the machine, or {@code null} if it was unknown
   */
  public Machine onMachineDeleted(MachineId id, MonotonicTime now) {
    Machine machine = machines.remove(id);
    if (machine != null) {
      unreconciled.markReconciled(machine);
      placements.removeAll(machine, "its machine was returned", now);
    }
    return machine;
  }

  /**
   * Ends the placements on machines whose lease has certainly expired.
   *
   * <p>A successor that was elected without this leader's knowledge may have answered the machine
   * and renewed its lease. Only expiry during a period in which no other controller can have been
   * elected is proof. Comparing with the current time could restart a task that is still running.
   *
   * @param soleLeaderUntil time before which no other controller was elected
   */
  public void expireLeases(MonotonicTime now, MonotonicTime soleLeaderUntil) {
    MonotonicTime provenSoleLeaderUntil = MonotonicTime.earlier(now, soleLeaderUntil);
    MonotonicTime earlierTermRenewalsUntil = leaderSince.plus(policy.leaseRenewalWindow());
    if (unreconciled.isLedgerIncomplete()
        && !provenSoleLeaderUntil.before(
            earlierTermRenewalsUntil.plus(policy.leaseExpiryBound()))) {
      LOG.info("machine ledger incomplete: leases of all missing machines have expired");
      unreconciled.setLedgerIncomplete(false);
    }
    for (Machine machine : machines.values()) {
      MonotonicTime lastRenewal = lastLeaseRenewal(machine, earlierTermRenewalsUntil);
      if (!provenSoleLeaderUntil.before(lastRenewal.plus(policy.leaseExpiryBound()))) {
        expireLease(machine, now);
      }
    }
  }

  /**
   * Returns the time from which the machine's lease counts, based on the arrival of the last
   * answered heartbeat, which was sent earlier. A heartbeat that was not answered with status 200
   * renews nothing; counting it would let a worker that receives no answers delay a failover
   * indefinitely.
   */
  private static MonotonicTime lastLeaseRenewal(
      Machine machine, MonotonicTime earlierTermRenewalsUntil) {
    return machine.isReconciled()
        ? machine.heartbeats().lastAnsweredAt()
        : MonotonicTime.later(machine.heartbeats().lastAnsweredAt(), earlierTermRenewalsUntil);
  }

  private void expireLease(Machine machine, MonotonicTime now) {
    if (machine.mayRunEarlierTermTasks()) {
      eventSummary.countEvent("machines reconciled by lease expiry", machine.id);
      unreconciled.markReconciled(machine);
    }
    if (!machine.placements.isEmpty()) {
      placements.removeAll(machine, "its machine was silent until its lease was over", now);
    }
  }
}
