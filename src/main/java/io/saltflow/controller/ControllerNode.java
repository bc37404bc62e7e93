package io.saltflow.controller;

import io.saltflow.admission.CascadeBarrier;
import io.saltflow.api.HeldHeartbeats;
import io.saltflow.api.JobValidator;
import io.saltflow.api.SchedulingApi;
import io.saltflow.api.ServiceApi;
import io.saltflow.api.UserApi;
import io.saltflow.api.WorkerApi;
import io.saltflow.broker.AmqpServer;
import io.saltflow.broker.QueueNode;
import io.saltflow.cloud.CloudClient;
import io.saltflow.cluster.Policy;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.election.LeaderElection;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.processpause.ProcessPause;
import io.saltflow.records.JobRepository;
import io.saltflow.services.ProbeLinks;
import io.saltflow.services.ProbeResponder;
import io.saltflow.services.ServiceController;
import io.saltflow.services.ServiceNode;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.PeerMesh;
import io.saltflow.transport.ReplicaProber;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one controller process: wires its components on one event loop and switches between the
 * leader and follower roles. Cancelling the node closes everything that it opened.
 */
public final class ControllerNode extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);
  private static final TimeSpan PEER_HEARTBEAT_INTERVAL = TimeSpan.seconds(1);

  /**
   * Time for which a leader that steps down on seeing a higher term does not stand for election.
   */
  private static final TimeSpan STALE_TERM_ABSTENTION = TimeSpan.seconds(1);

  private static final TimeSpan NO_ABSTENTION = TimeSpan.millis(0);

  private final EventLoop loop;
  private final PlatformSettings settings;
  private final OptionalInterfaces interfaces;
  private final LeaderLease leaderLease;
  private final KeyValueClient store;
  private final JobRepository jobs;
  private final CloudClient cloud;
  private final LeaderElection election;
  private final PeerMesh mesh;
  private final PeerTable peers;
  private final CorrectedWallClock wallClock;
  private final MachineTypeCatalog machineTypes;
  private final EarlyFailover earlyFailover;
  private final JobValidator jobValidator;
  private final UserApi userApi;
  private final WorkerEndpoint workerEndpoint;
  private final HeldHeartbeats heldHeartbeats;
  private final RequestRouter router;
  private final HttpServer server;
  private final CancellationCascade cancellationCascade;
  private final AmqpServer amqpServer;
  private final ProbeLinks probeLinks;
  private final ProbeResponder probeResponder;
  private final TaskCounts taskCounts = new TaskCounts(this::activeCore);
  private final PeerProtocol peerProtocol;
  private final SocketBudget sockets;
  private final LeaderRole leaderRole;

  /** Creates a controller that serves neither AMQP nor services. */
  public ControllerNode(
      EventLoop loop, PlatformSettings settings, OperatorSettings operator, long seed)
      throws IOException {
    this(loop, settings, operator, new OptionalInterfaces(null, false), seed);
  }

  /**
   * Opens the listening sockets. Nothing is sent before {@link #start}.
   *
   * @param seed seed of the process identity and of random delays
   * @throws IOException if listening on an address fails
   */
  public ControllerNode(
      EventLoop loop,
      PlatformSettings settings,
      OperatorSettings operator,
      OptionalInterfaces interfaces,
      long seed)
      throws IOException {
    super(null);
    this.loop = loop;
    this.settings = settings;
    this.interfaces = interfaces;
    UniformRandomProvider random = new SplitMix64(seed);
    Policy policy = operator.policy(settings);
    leaderLease = new LeaderLease(operator.leaderLease(), policy.leaseRenewalWindow());
    NodeClients clients = NodeClients.open(this, loop, settings);
    store = clients.store();
    cloud = clients.cloud();
    String process = settings.host() + "-" + Long.toHexString(random.nextLong());
    jobs = new JobRepository(this, loop, store, process, operator.lanes());
    election = newElection(operator.leaderLease(), random::nextLong);
    peers = new PeerTable(loop);
    wallClock = new CorrectedWallClock(loop, peers, settings.clockSkew());
    machineTypes = new MachineTypeCatalog(this, loop, store, cloud);
    earlyFailover = new EarlyFailover(loop, election, store, settings.peerHosts());
    heldHeartbeats = new HeldHeartbeats(this, loop);
    mesh = new PeerMesh(this, loop, settings.meshAddress(), settings.peers(), this::onFrame);
    mesh.setLinkListener(earlyFailover);
    CascadeBarrier barrier = new CascadeBarrier(settings.cancelTimeout());
    cancellationCascade = newCancellationCascade(barrier);
    jobValidator = new JobValidator(settings.teams(), machineTypes::types);
    userApi = newUserApi(barrier);
    workerEndpoint = newWorkerEndpoint();
    sockets =
        SocketBudget.of(
            settings.maxSockets(), interfaces.amqpSettings(), interfaces.servicesEnabled());
    probeLinks = interfaces.servicesEnabled() ? newProbeLinks() : null;
    probeResponder = probeLinks == null ? null : new ProbeResponder(this, loop, probeLinks);
    router = newRouter(operator);
    peerProtocol = newPeerProtocol();
    server =
        new HttpServer(
            this, loop, settings.listenAddress(), sockets.httpConnections(), router::handle);
    amqpServer = interfaces.amqpSettings() == null ? null : newAmqpServer();
    leaderRole = newLeaderRole(policy);
  }

  private LeaderRole newLeaderRole(Policy policy) {
    return new LeaderRole(
        this,
        loop,
        new LeaderSession.Resources(
            policy, leaderLease, store, jobs, cloud, settings.cloudListLag()),
        new LeaderRole.Components(
            election,
            peers,
            machineTypes,
            heldHeartbeats,
            server,
            interfaces.servicesEnabled() ? this::newServiceNode : null,
            amqpServer));
  }

  private LeaderElection newElection(TimeSpan leaseDuration, LongSupplier random) {
    return new LeaderElection(
        this,
        loop,
        store,
        new LeaderElection.Candidate(settings.host(), leaseDuration),
        leaderLease,
        random,
        new LeadershipListener());
  }

  private CancellationCascade newCancellationCascade(CascadeBarrier barrier) {
    return new CancellationCascade(
        this,
        loop,
        jobs,
        barrier,
        new CancellationCascade.Availability(this::storeAvailable, this::leaderCancelsDependents),
        settings.host());
  }

  private UserApi newUserApi(CascadeBarrier barrier) {
    return new UserApi(
        jobs, store, jobValidator, taskCounts::of, wallClock::nowMs, loop::now, barrier);
  }

  private WorkerEndpoint newWorkerEndpoint() {
    WorkerApi workerApi =
        new WorkerApi(
            settings.host(),
            leaderLease,
            new LeaderHint(election, store, peers),
            this::activeCore,
            () -> election.stepDown("a worker has seen a higher term", STALE_TERM_ABSTENTION),
            earlyFailover::leaderSuspected,
            earlyFailover::onMisdirectedHeartbeat);
    return new WorkerEndpoint(
        loop, workerApi, heldHeartbeats, earlyFailover, () -> leaderRole.recovering());
  }

  private ProbeLinks newProbeLinks() {
    return new ProbeLinks(
        settings.host(),
        new ReplicaProber(this, loop, sockets.probes()),
        peers::probingHosts,
        mesh::broadcast);
  }

  private RequestRouter newRouter(OperatorSettings operator) {
    SchedulingApi schedulingApi =
        new SchedulingApi(
            jobs,
            operator.lanes(),
            this::activeCore,
            election::leaderHost,
            store,
            operator.deadlineRules(),
            loop);
    ServiceApi serviceApi =
        interfaces.servicesEnabled()
            ? new ServiceApi(this::activeServices, election::leaderHost)
            : null;
    return new RequestRouter(
        loop,
        new RequestRouter.Interfaces(
            workerEndpoint::handle, this::healthy, userApi, schedulingApi, serviceApi));
  }

  private PeerProtocol newPeerProtocol() {
    return new PeerProtocol(
        loop,
        new PeerProtocol.Components(
            settings.host(),
            leaderLease,
            election,
            store,
            peers,
            wallClock,
            earlyFailover,
            heldHeartbeats,
            userApi,
            taskCounts,
            probeResponder,
            this::activeCore,
            this::activeServices));
  }

  private AmqpServer newAmqpServer() throws IOException {
    QueueNode queueNode =
        new QueueNode(
            settings.host(),
            leaderLease,
            store,
            jobs,
            NodeClients.storeWritesPerSecond(settings),
            settings.clockSkew(),
            System::currentTimeMillis,
            () -> !machineTypes.isEmpty(),
            jobValidator::unsatisfiableReason,
            this::onLeaderKeyLost);
    return new AmqpServer(
        this,
        loop,
        interfaces.amqpSettings(),
        sockets.amqpClients(),
        queueNode,
        election::leaderHost);
  }

  private ServiceNode newServiceNode() {
    return new ServiceNode(
        leaderLease,
        store,
        jobs,
        System::currentTimeMillis,
        jobValidator::unsatisfiableReason,
        machineTypes::zones,
        settings::teamLimit,
        probeLinks,
        interfaces.rolloutListener(),
        this::onLeaderKeyLost);
  }

  private void onLeaderKeyLost() {
    election.stepDown("leader key is held by another controller", NO_ABSTENTION);
  }

  /** Returns the port that serves users and workers. */
  public int port() {
    return server.port();
  }

  /** Returns the port of the AMQP server, or -1 if AMQP is not served. */
  public int amqpPort() {
    return amqpServer == null ? -1 : amqpServer.port();
  }

  /** Returns whether this node leads and accepts submissions on all its interfaces. */
  public boolean ready() {
    boolean queuesReady = amqpServer == null || amqpServer.ready();
    return queuesReady && !machineTypes.isEmpty() && activeCore() != null;
  }

  /** Starts serving and standing for election. Must be called once, before the loop runs. */
  public void start() {
    LOG.info("listening on {}, host {}", settings.listenAddress(), settings.host());
    settings.warnings().forEach(warning -> LOG.warn("questionable settings: {}", warning));
    loop.detectPauses(settings.clockSkew(), this::onProcessPause);
    election.start();
    cancellationCascade.start();
    machineTypes.load();
    loop.scheduleRepeating(PEER_HEARTBEAT_INTERVAL, this, this::broadcastHeartbeat);
  }

  private LeaderCore activeCore() {
    return leaderRole.core();
  }

  private ServiceController activeServices() {
    return leaderRole.services();
  }

  /** Corrects the age of the lease for the pause and logs the leadership known before it. */
  private void onProcessPause(ProcessPause pause) {
    MonotonicTime now = loop.now();
    LeaderCore core = activeCore();
    String belief = "last known leader " + election.leaderHost();
    if (leaderLease.isLeader()) {
      belief =
          String.format(
              Locale.ROOT,
              "was leader, term %s%s, lease renewed %.1f s ago",
              leaderLease.term(),
              core == null ? "" : " with " + core.sizeSummary(),
              now.since(leaderLease.renewedAt()).toSeconds());
    }
    leaderLease.onProcessPause(pause.monotonicDeficit(), now);
    if (core != null) {
      core.onProcessResumed(now);
    }
    LOG.info("{}; {}; leadership must be confirmed before it is used", pause, belief);
  }

  private final class LeadershipListener implements LeaderElection.Listener {
    @Override
    public void onLeadershipAcquired() {
      leaderRole.begin();
      broadcastHeartbeat();
    }

    @Override
    public void onLeadershipLost(String why) {
      leaderRole.end();
    }
  }

  private void broadcastHeartbeat() {
    router.logRefusedAfterPause();
    mesh.broadcast(peerProtocol.nextHeartbeat().encode());
  }

  private void onFrame(byte[] frame) {
    peerProtocol.onFrame(frame);
  }

  /**
   * Returns whether the node is healthy. It is unhealthy only while the key-value store is
   * unavailable to this node but not to its peers, since moving users elsewhere does not help when
   * the store is down for every node.
   */
  private boolean healthy() {
    return !store.outageDuration().longerThan(PeerTable.STORE_FAILURE_THRESHOLD)
        || settings.peers().isEmpty()
        || peers.storeDownForAll();
  }

  private boolean storeAvailable() {
    return store.outageDuration().ms() == 0;
  }

  /**
   * Returns whether this node or a reachable peer leads and cancels dependents of cancelled jobs.
   */
  private boolean leaderCancelsDependents() {
    if (!storeAvailable()) {
      return false;
    }
    return leaderLease.isLeader()
        ? activeCore() != null
        : peers.leadsAndCancelsDependents(election.leaderHost());
  }
}
