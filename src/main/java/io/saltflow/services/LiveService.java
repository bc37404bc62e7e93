package io.saltflow.services;

import io.saltflow.cluster.DisruptionBudget;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.ServiceReplicas;
import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.healthgates.ReplicaObservations;
import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.probes.ReplicaProbe;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.ReplicaStatus;
import io.saltflow.rollouts.Rollout;
import io.saltflow.rollouts.RolloutPlan;
import io.saltflow.rollouts.RolloutStateMachine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;

/** A service during a leader's term, with its record and this leader's observations. */
final class LiveService {
  private static final TimeSpan NO_DATA_TIMEOUT = TimeSpan.seconds(60);
  private static final ServiceReplicas.ReplicaCounts NO_REPLICAS =
      new ServiceReplicas.ReplicaCounts(0, 0, 0, 0, 0);

  /**
   * Consecutive failures, without a replica becoming ready, after which the old version counts as
   * unable to start.
   */
  private static final int MAX_OLD_FAILURES = 5;

  /** Factor by which a service can be scaled without a new job. */
  private static final int GROWTH_FACTOR = 4;

  private static final int MIN_TASK_SLOTS = 16;

  private Service service;
  private ReplicaObservations observations = new ReplicaObservations();
  private GateEvaluator gate;
  private GateEvaluator stop;
  private int evaluatedStep = -1;

  /** End of the last pause of this process, in which no replica was observed. */
  private MonotonicTime observedSince = MonotonicTime.LONG_AGO;

  private GateEvaluator.Verdict lastVerdict;

  /** Budget for voluntary disruptions, shared by all versions of the service. */
  private final DisruptionBudget disruptions = new DisruptionBudget();

  /** Consecutive failures of the old version during a rollback. */
  private int oldFailures;

  /** Largest number of ready replicas of the old version during a rollback. */
  private int maxOldReady;

  private final List<TimeSpan> startLatencies = new ArrayList<>();

  /** Whether a write of the record is in flight. */
  boolean writeInFlight;

  /** Whether a job of the service is being admitted. */
  boolean admissionInFlight;

  LiveService(Service service) {
    this.service = service;
  }

  Service service() {
    return service;
  }

  /** Replaces the record. A new rollout clears the observations. */
  void applyRecord(Service next) {
    boolean newRollout =
        next.current() != null
            && (service.current() == null
                || next.current().to() != service.current().to()
                || next.version(next.current().to()).generation()
                    != service.version(service.current().to()).generation());
    service = next;
    if (newRollout) {
      observations = new ReplicaObservations();
      evaluatedStep = -1;
      lastVerdict = null;
    }
  }

  /**
   * Returns an id derived from the service's name, the version and its generation, so that a
   * retried admission is idempotent.
   */
  JobId jobIdOf(Service.Version version) {
    String text = service.name() + "\0" + version.number() + "\0" + version.generation();
    UUID uuid = UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8));
    return JobId.of(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
  }

  /** Returns the most replicas that a version can have; with ports, one per port of its range. */
  private int taskSlots() {
    int ports = service.template().ports();
    return ports > 0 ? ports : taskSlots(service.replicas());
  }

  static int taskSlots(int replicas) {
    return Math.max(MIN_TASK_SLOTS, GROWTH_FACTOR * replicas);
  }

  JobSpec jobSpecOf(Service.Version version) {
    return new JobSpec(
        jobIdOf(version),
        Wire.SERVICE_CLASS + service.name(),
        service.team(),
        true,
        service.priority(),
        taskSlots(),
        service.template().size(),
        null,
        null,
        false,
        false,
        service.template().spot(),
        version.image(),
        service.template().imageGb(),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        null,
        List.of());
  }

  ServiceReplicas.ReplicaCounts replicas(LeaderCore leader, int version, MonotonicTime now) {
    Job job = leader.jobs().find(jobIdOf(service.version(version)));
    TimeSpan settle =
        service.current() == null ? TimeSpan.millis(0) : service.current().plan().settle();
    return job == null ? NO_REPLICAS : job.replicas().counts(settle, observedSince, now);
  }

  /**
   * Handles the end of a pause of this process. Like a new leader, it has observed nothing until
   * now, except that failures and relapses seen before still count.
   */
  void onProcessPaused(MonotonicTime now) {
    observedSince = now;
    observations.interrupted();
    if (gate != null) {
      gate.restartDurations(now);
    }
    if (stop != null) {
      stop.restartDurations(now);
    }
  }

  /** Returns whether the replicas' machines were heard after the last pause of this process. */
  boolean isObserved(LeaderCore leader) {
    for (Service.Version version : service.versions()) {
      Job job = leader.jobs().find(jobIdOf(version));
      if (job != null && !job.replicas().isHeardSince(observedSince)) {
        return false;
      }
    }
    return true;
  }

  DisruptionBudget disruptions() {
    return disruptions;
  }

  /**
   * Sets how many replicas may be disrupted now: those available beyond the required minimum, less
   * those that the record already removes. The budget is not positive while a write of the record
   * is in flight, since its outcome may change the numbers.
   */
  void updateDisruptionBudget(LeaderCore leader, MonotonicTime now) {
    int spare = service.maxUnavailable() - service.replicas();
    for (Service.Version version : service.versions()) {
      ServiceReplicas.ReplicaCounts replicaCounts = replicas(leader, version.number(), now);
      spare += replicaCounts.available() - replicaCounts.excess();
    }
    disruptions.setRemaining(writeInFlight ? Math.min(0, spare) : spare);
  }

  /**
   * Returns a probe for each serving replica of the new version and each path in the plan's gates.
   */
  List<ReplicaProbe> probeTargets(LeaderCore leader) {
    if (!service.isRollingOut()) {
      return List.of();
    }
    Service.Version version = service.version(service.current().to());
    Job job = leader.jobs().find(jobIdOf(version));
    Set<String> paths = service.current().plan().probePaths();
    if (job == null || version.port() == 0 || paths.isEmpty()) {
      return List.of();
    }
    List<ReplicaProbe> out = new ArrayList<>();
    for (ServiceReplicas.TaskEndpoint endpoint : job.replicas().servingEndpoints()) {
      int colon = endpoint.address().lastIndexOf(':');
      if (colon > 0) {
        String host = endpoint.address().substring(0, colon);
        for (String path : paths) {
          String get = path.equals(RolloutPlan.CONNECT) ? "" : path;
          out.add(
              new ReplicaProbe(
                  service.name(),
                  new ProbeFrame.ProbeTarget(host, version.port() + endpoint.index(), get)));
        }
      }
    }
    return out;
  }

  /** Records a probe of a replica of the new version. */
  void recordProbe(ProbeFrame.ProbeTarget place, long ms, MonotonicTime now) {
    observations.recordProbe(place.path().isEmpty() ? RolloutPlan.CONNECT : place.path(), ms, now);
  }

  /** Returns why the old version cannot be started any more, or {@code null} if it can. */
  private String oldVersionFailure(
      LeaderCore leader, Service.RolloutRecord current, ServiceReplicas.ReplicaCounts oldCounts) {
    Job job = leader.jobs().find(jobIdOf(service.version(current.from())));
    List<ServiceReplicas.UnexpectedExit> exits =
        job == null ? List.of() : job.replicas().takeUnexpectedExits();
    if (current.rollout().phase() != Rollout.Phase.BACK || oldCounts.available() > maxOldReady) {
      oldFailures = 0;
      maxOldReady = oldCounts.available();
      return null;
    }
    for (ServiceReplicas.UnexpectedExit unexpectedExit : exits) {
      oldFailures += unexpectedExit.failure() ? 1 : 0;
    }
    return oldFailures < MAX_OLD_FAILURES
        ? null
        : "its replicas failed " + oldFailures + " times and none came up";
  }

  /**
   * Returns the next state of the current rollout by the current observations, or the same state if
   * there is nothing to do.
   */
  Rollout nextRollout(LeaderCore leader, MonotonicTime now, long wallMs) {
    Service.RolloutRecord current = service.current();
    startStepEvaluation(current, now);
    ServiceReplicas.ReplicaCounts oldCounts = replicas(leader, current.from(), now);
    ServiceReplicas.ReplicaCounts newCounts = replicas(leader, current.to(), now);
    observe(leader, current, newCounts, now);
    lastVerdict = gate.evaluate(observations, now);
    ReplicaStatus seen =
        new ReplicaStatus(
            oldCounts.available(),
            oldCounts.unreachable(),
            newCounts.available(),
            newCounts.unreachable(),
            lastVerdict,
            stop == null ? null : stop.evaluate(observations, now),
            oldVersionFailure(leader, current, oldCounts),
            wallMs);
    return new RolloutStateMachine(current.plan()).next(current.rollout(), seen);
  }

  /**
   * Evaluates each step afresh: a condition that held during one step does not count for the next.
   */
  private void startStepEvaluation(Service.RolloutRecord current, MonotonicTime now) {
    RolloutPlan plan = current.plan();
    if (evaluatedStep != current.rollout().step()) {
      evaluatedStep = current.rollout().step();
      gate = new GateEvaluator(plan.gate(), NO_DATA_TIMEOUT);
      stop = plan.stop() == null ? null : new GateEvaluator(plan.stop(), NO_DATA_TIMEOUT);
      observations.stepStarted();
    }
    if (current.rollout().phase() == Rollout.Phase.CHECKING) {
      observations.stepCompleted(now);
    }
  }

  private void observe(
      LeaderCore leader,
      Service.RolloutRecord current,
      ServiceReplicas.ReplicaCounts newCounts,
      MonotonicTime now) {
    Job job = leader.jobs().find(jobIdOf(service.version(current.to())));
    if (job == null) {
      return;
    }
    observations.ready(newCounts.ready(), current.rollout().desiredNew(), now);
    for (ServiceReplicas.UnexpectedExit unexpectedExit : job.replicas().takeUnexpectedExits()) {
      observations.recordExit(unexpectedExit.cause(), unexpectedExit.failure(), now);
      observations.recordRestart(now);
    }
    for (TimeSpan took : job.replicas().takeStartLatencies()) {
      observations.recordStart(took, now);
      startLatencies.add(took);
    }
    observations.dropExpired(now);
  }

  /** Returns and clears the start latencies observed since the last call. */
  List<TimeSpan> takeStartLatencies() {
    List<TimeSpan> out = List.copyOf(startLatencies);
    startLatencies.clear();
    return out;
  }

  /** Returns the gate's last verdict, or {@code null} if it has not been evaluated. */
  GateEvaluator.Verdict verdict() {
    return lastVerdict;
  }

  /** Returns the id of the rollout in progress, or of the last one. */
  RolloutEvent.RolloutId rolloutId() {
    Service.RolloutRecord current = service.current();
    return new RolloutEvent.RolloutId(
        service.name(),
        service.version(current.from()).description(),
        service.version(current.to()).description(),
        current.beganWallMs());
  }

  /** Returns why the gate does not pass now; empty if it passes or has not been evaluated. */
  List<String> unmetConditions() {
    boolean waits = lastVerdict != null && lastVerdict.truth() != TernaryTruth.TRUE;
    return waits ? lastVerdict.reasons() : List.of();
  }
}
