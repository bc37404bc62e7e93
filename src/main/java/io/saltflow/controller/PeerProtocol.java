package io.saltflow.controller;

import io.saltflow.api.HeldHeartbeats;
import io.saltflow.api.UserApi;
import io.saltflow.election.LeaderElection;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.services.ProbeResponder;
import io.saltflow.services.ServiceController;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles messages between controllers: composes this node's heartbeats and dispatches received
 * heartbeats and probe frames. Not thread-safe: used on the event loop's thread.
 */
final class PeerProtocol {
  private static final Logger LOG = LoggerFactory.getLogger(PeerProtocol.class);
  private static final TimeSpan NO_ABSTENTION = TimeSpan.millis(0);

  /**
   * The components of a node that provide or consume the contents of peer messages.
   *
   * @param probeResponder {@code null} if this node does not probe replicas
   * @param activeCore returns the leader core, or {@code null} if this node does not lead
   * @param services returns the service controller, or {@code null} if this node does not control
   *     services
   */
  record Components(
      String host,
      LeaderLease leaderLease,
      LeaderElection election,
      KeyValueClient store,
      PeerTable peers,
      CorrectedWallClock wallClock,
      EarlyFailover earlyFailover,
      HeldHeartbeats heldHeartbeats,
      UserApi userApi,
      TaskCounts taskCounts,
      ProbeResponder probeResponder,
      Supplier<LeaderCore> activeCore,
      Supplier<ServiceController> services) {}

  private final EventLoop loop;
  private final Components components;

  PeerProtocol(EventLoop loop, Components parts) {
    this.loop = loop;
    this.components = parts;
  }

  /** Composes this node's next heartbeat, updating the corrected wall clock. */
  PeerHeartbeat nextHeartbeat() {
    LeaderCore core = components.activeCore().get();
    long wallMs = components.wallClock().update();
    if (core != null) {
      core.decisions().setWallClock(wallMs, loop.now());
    }
    List<PeerHeartbeat.JobCounts> counts = components.taskCounts().toAnnounce();
    KeyValueClient store = components.store();
    boolean storeFailing = store.outageDuration().ms() > 0;
    return new PeerHeartbeat(
        components.host(),
        components.leaderLease().term(),
        components.leaderLease().isLeader(),
        storeFailing ? Math.max(1, store.timeSinceLastResponse().ms()) : 0,
        counts,
        components.probeResponder() != null,
        components.userApi().unansweredPolls(),
        loop.wallClockMs(),
        core != null);
  }

  /** Handles a frame from a peer. A frame that cannot be decoded is logged and dropped. */
  void onFrame(byte[] frame) {
    try {
      if (ProbeFrame.isProbeFrame(frame)) {
        onProbeFrame(ProbeFrame.decode(frame));
      } else {
        onHeartbeat(PeerHeartbeat.decode(frame));
      }
    } catch (InvalidMessageException exception) {
      LOG.error("invalid frame from a peer: {}", exception.getMessage());
    }
  }

  private void onProbeFrame(ProbeFrame frame) {
    ServiceController services = components.services().get();
    if (frame instanceof ProbeFrame.ProbeRequest request
        && components.probeResponder() != null
        && request.to().equals(components.host())
        && request.from().equals(components.election().leaderHost())) {
      components.probeResponder().onRequest(request);
    } else if (frame instanceof ProbeFrame.ProbeResponse response
        && services != null
        && response.to().equals(components.host())) {
      services.onProbeResponse(response);
    }
  }

  private void onHeartbeat(PeerHeartbeat heartbeat) {
    components.peers().onHeartbeat(heartbeat);
    components.earlyFailover().onPeerAlive(heartbeat.host());
    components.userApi().onPeerUnanswered(heartbeat.unanswered());
    if (heartbeat.leading()) {
      onLeaderHeartbeat(heartbeat);
    }
  }

  private void onLeaderHeartbeat(PeerHeartbeat heartbeat) {
    String host = heartbeat.host();
    LeaderElection election = components.election();
    LeaderLease lease = components.leaderLease();
    boolean leaderChanges = !host.equals(election.leaderHost());
    election.onLeaderAnnounced(host, heartbeat.term());
    if (leaderChanges && host.equals(election.leaderHost())) {
      components.heldHeartbeats().release();
    }
    if (lease.isLeader() && heartbeat.term().compareTo(lease.term()) > 0) {
      election.stepDown(host + " leads term " + heartbeat.term(), NO_ABSTENTION);
    }
    if (!lease.isLeader()) {
      components.taskCounts().onAnnounced(heartbeat.jobs());
    }
  }
}
