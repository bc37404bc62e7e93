package io.saltflow.failuredetector;

import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Detects, on a follower, that the leader's process has ended before its lease expires. Independent
 * evidence must agree: the leader's host has closed the connection and refuses new ones, no message
 * has arrived since, and workers that it served contact other controllers. Refused connections
 * alone are not sufficient, since a packet filter between controllers or a host without free
 * sockets refuses them as well; in these cases the workers stay with the leader.
 *
 * <p>A false positive causes a failover but violates no invariant ({@code docs/SAFETY.md}).
 */
public final class LeaderFailureDetector {
  /** A single refusal may be caused by a full listen backlog. */
  private static final int MIN_REFUSALS = 2;

  /** A single worker may switch controllers for an unrelated reason. */
  private static final int MIN_WORKERS = 2;

  /** Evidence expires when the lease has expired as well. */
  private static final TimeSpan EVIDENCE_LIFETIME = TimeSpan.seconds(6);

  private String leader;
  private Term term = Term.NONE;
  private MonotonicTime connectionLostAt = MonotonicTime.NEVER;
  private int refusals;
  private final Set<MachineId> workers = new HashSet<>();

  /**
   * Sets the current leader and discards evidence about an earlier one.
   *
   * @param name {@code null} if there is no leader
   */
  public void onLeader(String name, Term leaderTerm) {
    if (leaderTerm.equals(term) && Objects.equals(name, leader)) {
      return;
    }
    leader = name;
    term = leaderTerm;
    connectionLostAt = MonotonicTime.NEVER;
    clearEvidence();
  }

  private void clearEvidence() {
    refusals = 0;
    workers.clear();
  }

  /** Records that a peer's host closed the connection. */
  public void onConnectionClosed(String peer, MonotonicTime now) {
    if (peer.equals(leader)) {
      connectionLostAt = now;
      clearEvidence();
    }
  }

  /** Records that a peer's host refused a connection. */
  public void onConnectionRefused(String peer, MonotonicTime now) {
    if (!peer.equals(leader)) {
      return;
    }
    if (!leaderSuspected()) {
      // Its last heartbeat came over another connection and was read after this one closed.
      connectionLostAt = now;
      clearEvidence();
    }
    refusals++;
  }

  /** Records that a peer was reached or sent a message. */
  public void onAlive(String peer) {
    if (peer.equals(leader)) {
      connectionLostAt = MonotonicTime.NEVER;
      clearEvidence();
    }
  }

  /**
   * Returns whether the connection to the leader is lost, so that worker heartbeats are evidence.
   */
  public boolean leaderSuspected() {
    return connectionLostAt != MonotonicTime.NEVER;
  }

  /**
   * Records that a worker sent a heartbeat to this node.
   *
   * @param highestTerm the highest term that the worker has seen
   */
  public void onWorkerHeartbeat(MachineId id, Term highestTerm) {
    // A new worker may contact any node first; one that knows the term was served by this leader.
    if (leaderSuspected() && highestTerm.equals(term) && workers.size() < MIN_WORKERS) {
      workers.add(id);
    }
  }

  /** Returns the failed leader, or {@code null} without a leader or with insufficient evidence. */
  public String failedLeader(MonotonicTime now) {
    boolean fresh = leaderSuspected() && !now.since(connectionLostAt).longerThan(EVIDENCE_LIFETIME);
    return fresh && refusals >= MIN_REFUSALS && workers.size() >= MIN_WORKERS ? leader : null;
  }
}
