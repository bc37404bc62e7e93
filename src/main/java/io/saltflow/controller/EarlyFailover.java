package io.saltflow.controller;

import io.saltflow.election.LeaderElection;
import io.saltflow.failuredetector.LeaderFailureDetector;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.PeerMesh;
import java.util.List;

/**
 * Lets this node acquire leadership before the leader's lease expires, once all evidence shows that
 * the leader's process has ended: closed connections, refused connections, and workers that contact
 * other nodes. Not thread-safe: used on the event loop's thread.
 */
final class EarlyFailover implements PeerMesh.LinkListener {
  /** Expected time from the attempt to acquire leadership until this node leads. */
  private static final TimeSpan ACQUISITION_TIME = TimeSpan.millis(1500);

  private final EventLoop loop;
  private final LeaderElection election;
  private final KeyValueClient store;
  private final List<String> peerHosts;
  private final LeaderFailureDetector failureDetector = new LeaderFailureDetector();
  private MonotonicTime acquiringUntil = MonotonicTime.LONG_AGO;

  /**
   * @param peerHosts the host names of the peers, in the order of the mesh
   */
  EarlyFailover(
      EventLoop loop, LeaderElection election, KeyValueClient store, List<String> peerHosts) {
    this.loop = loop;
    this.election = election;
    this.store = store;
    this.peerHosts = peerHosts;
  }

  /** Returns whether the connection to the leader is lost. */
  boolean leaderSuspected() {
    return failureDetector.leaderSuspected();
  }

  /** Returns whether the leader may have failed or this node is acquiring leadership. */
  boolean leadershipInTransition() {
    return leaderSuspected() || loop.now().before(acquiringUntil);
  }

  /** Records that a frame from a peer was received. */
  void onPeerAlive(String host) {
    failureDetector.onAlive(host);
  }

  /** Handles the heartbeat of a worker that contacted this node while another node leads. */
  void onMisdirectedHeartbeat(WorkerHeartbeat heartbeat) {
    failureDetector.onWorkerHeartbeat(heartbeat.machine(), heartbeat.fencingToken());
    tryFailover();
  }

  @Override
  public void lost(int peer) {
    failureDetector.onLeader(election.leaderHost(), election.leaderTerm());
    failureDetector.onConnectionClosed(peerHosts.get(peer), loop.now());
  }

  @Override
  public void refused(int peer) {
    failureDetector.onLeader(election.leaderHost(), election.leaderTerm());
    failureDetector.onConnectionRefused(peerHosts.get(peer), loop.now());
    tryFailover();
  }

  @Override
  public void up(int peer) {
    failureDetector.onAlive(peerHosts.get(peer));
  }

  private void tryFailover() {
    String failedHost = failureDetector.failedLeader(loop.now());
    if (failedHost != null && store.outageDuration().ms() == 0) {
      failureDetector.onLeader(null, Term.NONE);
      acquiringUntil = loop.now().plus(ACQUISITION_TIME);
      election.replaceFailedLeader(failedHost);
    }
  }
}
