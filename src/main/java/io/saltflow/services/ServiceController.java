package io.saltflow.services;

import io.saltflow.cluster.Job;
import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.probes.ReplicaHealth;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.records.JobOutcome;
import io.saltflow.records.LeaderContext;
import io.saltflow.records.ServiceRepository;
import io.saltflow.rollouts.Rollout;
import io.saltflow.rollouts.RolloutCommand;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Controls services during a leader's term and records each decision before it takes effect. */
public final class ServiceController extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceController.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan EVALUATION_INTERVAL = TimeSpan.seconds(1);
  private static final int MAX_CONCURRENT_ADVANCES = 4;
  private static final TimeSpan RECORD_LOAD_INTERVAL = TimeSpan.millis(5);

  private final EventLoop loop;
  private final ServiceNode node;
  private final LeaderCore leader;
  private final ServiceRepository repository;
  private final Map<String, LiveService> services = new TreeMap<>();
  private final ProbeLoop probeLoop;
  private final RolloutTraces traces;
  private final ServiceOperations operations;

  /**
   * Names of services whose rollouts are ready to advance, in the order in which they became so.
   */
  private final ArrayDeque<String> advanceQueue = new ArrayDeque<>();

  private int advancesInFlight;
  private TimeSpan pausedTime;

  private boolean ready;

  /** Creates the controller for a leader's term. It is cancelled with its parent. */
  public ServiceController(Routine parent, EventLoop loop, ServiceNode node, LeaderCore leader) {
    super(parent);
    this.loop = loop;
    this.node = node;
    this.leader = leader;
    pausedTime = loop.pausedTime();
    traces = new RolloutTraces(node.tracer(), node.wallMs());
    operations =
        new ServiceOperations(
            loop,
            node,
            services,
            this::ready,
            (live, next, then) -> record(live, next, true, then),
            this::show);
    probeLoop = new ProbeLoop(this, loop, node.probes(), this::onProbeResult);
    repository =
        new ServiceRepository(
            this, new LeaderContext(loop, node.state(), node.authority(), node.onDeposed()));
  }

  /** Reads the records. No task of a service is started or stopped before that has succeeded. */
  public void start() {
    repository.readInherited(
        records -> {
          if (cancelled()) {
            return;
          }
          if (records == null) {
            loop.schedule(RETRY_DELAY, this, this::start);
            return;
          }
          loadNext(new ArrayDeque<>(records.entrySet()));
        });
  }

  /**
   * Loads one record per turn of the event loop: loading all of them at once on a slow machine can
   * outlast the new leader's lease, and the next leader would repeat it.
   */
  private void loadNext(ArrayDeque<Map.Entry<String, MessageBody>> remaining) {
    Map.Entry<String, MessageBody> next = remaining.poll();
    if (next == null) {
      startLoops();
    } else {
      load(next.getKey(), next.getValue());
      loop.schedule(RECORD_LOAD_INTERVAL, this, () -> loadNext(remaining));
    }
  }

  private void startLoops() {
    ready = true;
    services.values().stream()
        .filter(l -> l.service().isRollingOut())
        .forEach(traces::stateRecorded);
    probeLoop.start();
    loop.scheduleRepeating(
        EVALUATION_INTERVAL,
        this,
        () -> {
          services.values().forEach(this::evaluate);
          advanceRollouts();
        });
  }

  private void load(String name, MessageBody record) {
    try {
      services.put(name, new LiveService(ServiceCodec.decode(record)));
    } catch (InvalidMessageException exception) {
      // Its jobs keep running: an unreadable record does not mean that the service has no replicas.
      LOG.error(
          "record of service {} cannot be read: {}; its jobs are left unchanged",
          name,
          exception.getMessage());
    }
  }

  // ---- Decisions

  private void evaluate(LiveService live) {
    noticePause();
    live.updateDisruptionBudget(leader, loop.now());
    probeLoop.setTargets(live.service().name(), live.probeTargets(leader));
    if (live.writeInFlight) {
      return;
    }
    reconcile(live);
    Service service = live.service();
    if (!service.isRollingOut()) {
      return;
    }
    Rollout next = next(live);
    if (!next.equals(service.current().rollout())) {
      if (isDeferrable(next)) {
        if (!advanceQueue.contains(service.name())) {
          advanceQueue.add(service.name());
        }
      } else {
        record(live, service.withRollout(next), true, result -> {});
      }
    }
  }

  /** Advancing a rollout yields to users' writes; a rollback does not. */
  private static boolean isDeferrable(Rollout next) {
    return next.phase() != Rollout.Phase.BACK && !next.phase().isFinal();
  }

  /**
   * Advances a few rollouts at a time, those that have waited longest first. The write budget alone
   * is not fair: a rollout whose write was refused would rejoin the queue behind all others.
   */
  private void advanceRollouts() {
    for (int n = advanceQueue.size(); n > 0 && advancesInFlight < MAX_CONCURRENT_ADVANCES; n--) {
      LiveService live = services.get(advanceQueue.poll());
      if (live == null || live.writeInFlight || !live.service().isRollingOut()) {
        continue;
      }
      Service service = live.service();
      // Evaluate again: the rollout may have to roll back by now.
      Rollout next = next(live);
      if (!next.equals(service.current().rollout())) {
        advancesInFlight++;
        record(
            live,
            service.withRollout(next),
            !isDeferrable(next),
            result -> {
              advancesInFlight--;
              if (result == ServiceRepository.WriteResult.NOT_WRITTEN) {
                advanceQueue.addFirst(service.name());
              } else {
                advanceRollouts();
              }
            });
      }
    }
  }

  private void onProbeResult(ReplicaHealth replicaHealth) {
    LiveService live = services.get(replicaHealth.probe().service());
    if (live != null && live.service().isRollingOut()) {
      ProbeFrame.ProbeTarget place = replicaHealth.probe().target();
      live.recordProbe(place, replicaHealth.latencyMs(), loop.now());
      traces.replicaProbed(live, place, replicaHealth.latencyMs());
    }
  }

  /** Handles a peer's results for probes that this leader requested from it. */
  public void onProbeResponse(ProbeFrame.ProbeResponse answers) {
    probeLoop.onResponse(answers.from(), answers.batch(), answers.latenciesMs());
  }

  /** Discards what all services believed before a pause of this process. */
  private void noticePause() {
    TimeSpan paused = loop.pausedTime();
    if (!paused.equals(pausedTime)) {
      pausedTime = paused;
      services.values().forEach(live -> live.onProcessPaused(loop.now()));
    }
  }

  /** Returns the next state by the current observations, and traces what changed. */
  private Rollout next(LiveService live) {
    // Read before pauses are noticed: a later pause must not count as time observed.
    MonotonicTime now = loop.now();
    noticePause();
    if (!live.isObserved(leader)) {
      return live.service().current().rollout();
    }
    GateEvaluator.Verdict before = live.verdict();
    Rollout next = live.nextRollout(leader, now, node.wallMs().getAsLong());
    traces.verdictChanged(live, before);
    traces.replicasStarted(live);
    return next;
  }

  @Override
  protected void onCancel() {
    for (LiveService live : services.values()) {
      if (live.service().isRollingOut()) {
        traces.leadershipLost(live);
      }
    }
  }

  private void record(
      LiveService live,
      Service next,
      boolean urgent,
      Consumer<ServiceRepository.WriteResult> then) {
    live.writeInFlight = true;
    live.updateDisruptionBudget(leader, loop.now());
    MessageBody body =
        node.state().limits().truncatedFromStart(ServiceCodec.encode(next), "history");
    repository.write(
        next.name(),
        body,
        urgent,
        result -> {
          live.writeInFlight = false;
          if (result == ServiceRepository.WriteResult.RECORDED) {
            logTransition(live.service(), next);
            boolean rolloutChanged =
                next.current() != null && !next.current().equals(live.service().current());
            live.applyRecord(next);
            reconcile(live);
            live.updateDisruptionBudget(leader, loop.now());
            if (rolloutChanged) {
              traces.stateRecorded(live);
            }
          }
          then.accept(result);
        });
  }

  private static void logTransition(Service before, Service next) {
    if (next.current() == null || next.current().equals(before.current())) {
      return;
    }
    Rollout rollout = next.current().rollout();
    if (rollout.phase().isFinal()) {
      LOG.info(
          "rollout of {} ended: {}", next.name(), next.history().get(next.history().size() - 1));
    } else {
      LOG.info(
          "rollout of {} at step {} of {}, phase {}: {} old and {} new replicas desired",
          next.name(),
          rollout.step() + 1,
          next.current().plan().steps().size(),
          rollout.phase(),
          rollout.desiredOld(),
          rollout.desiredNew());
    }
  }

  // ---- Applying the record

  /**
   * Sets the desired replicas of each version as recorded, and cancels the jobs of versions that
   * are no longer needed.
   */
  private void reconcile(LiveService live) {
    Service service = live.service();
    for (Service.Version version : service.versions()) {
      int wanted = service.desiredCount(version.number());
      Job job = leader.jobs().find(live.jobIdOf(version));
      if (job != null) {
        leader
            .jobs()
            .setDesiredReplicas(job.id(), service.desiredReplicas(version), live.disruptions());
        boolean needed =
            service.isRollingOut()
                && (version.number() == service.current().to()
                    || version.number() == service.current().from());
        if (wanted == 0 && !needed) {
          node.jobs().cancel(job.id(), outcome -> {});
        }
      } else if (wanted > 0 && !live.admissionInFlight) {
        admit(live, version);
      }
    }
  }

  private void admit(LiveService live, Service.Version version) {
    live.admissionInFlight = true;
    node.jobs()
        .admit(
            live.jobSpecOf(version),
            node.wallMs().getAsLong(),
            outcome -> {
              live.admissionInFlight = false;
              if (outcome instanceof JobOutcome.TooLarge) {
                LOG.error(
                    "job of image {}, version {} not admitted: its record is too large",
                    version.image(),
                    version.number());
              }
            });
  }

  // ---- Operators' requests

  /** Creates a service, or changes its number of replicas. */
  public void apply(MessageBody request, BiConsumer<Integer, MessageBody> answer) {
    operations.apply(request, answer);
  }

  /** Starts a rollout to an image, which becomes a new version unless a version already runs it. */
  public void begin(String name, MessageBody request, BiConsumer<Integer, MessageBody> answer) {
    operations.begin(name, request, answer);
  }

  /** Applies an operator's command to a rollout. */
  public void command(
      String name, RolloutCommand command, BiConsumer<Integer, MessageBody> answer) {
    operations.command(name, command, answer);
  }

  // ---- Views

  /**
   * Parameters of a version's tasks: its first port, or 0 if it has none, and its own parameters.
   */
  public record TaskParameters(int port, Map<String, String> parameters) {}

  /**
   * Returns the parameters of a job's tasks by a service's record, or {@code null} if the job does
   * not belong to the service.
   */
  public static TaskParameters taskParameters(MessageBody record, JobId job)
      throws InvalidMessageException {
    LiveService live = new LiveService(ServiceCodec.decode(record));
    for (Service.Version version : live.service().versions()) {
      if (live.jobIdOf(version).equals(job)) {
        return new TaskParameters(version.port(), version.parameters());
      }
    }
    return null;
  }

  /** Returns whether the records have been read. */
  public boolean ready() {
    return ready;
  }

  /** Returns the view of the service with this name, or {@code null} if there is none. */
  public MessageBody show(String name) {
    LiveService live = services.get(name);
    return live == null
        ? null
        : ServiceView.of(live, leader, loop.now(), node.wallMs().getAsLong());
  }

  /** Returns the views of all services in the order of their names. */
  public MessageBody list() {
    List<Object> out = new ArrayList<>();
    services.keySet().forEach(name -> out.add(show(name)));
    return MessageBody.of().with("services", out);
  }
}
