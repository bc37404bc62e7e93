package io.saltflow.leader;

import io.saltflow.autoscaler.ControllerCapacity;
import io.saltflow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the reconciliation of a failover. It is complete when the tasks on every machine that an
 * earlier leader may have used are known or proven to have ended.
 */
final class Reconciliation {
  private static final Logger LOG = LoggerFactory.getLogger(Reconciliation.class);

  private final ClusterState cluster;
  private final RecordedDecisions decisions;
  private final ControllerCapacity capacity;
  private final RoundTrigger roundTrigger;
  private MonotonicTime completedAt;

  Reconciliation(
      ClusterState cluster,
      RecordedDecisions decisions,
      ControllerCapacity capacity,
      RoundTrigger roundTrigger) {
    this.cluster = cluster;
    this.decisions = decisions;
    this.capacity = capacity;
    this.roundTrigger = roundTrigger;
  }

  boolean isComplete() {
    return completedAt != null;
  }

  /** Returns when reconciliation was completed, or {@code null} if it is still in progress. */
  MonotonicTime completedAt() {
    return completedAt;
  }

  /**
   * Returns whether reconciliation has precedence over launches that are not urgent.
   *
   * <p>Each launch causes two additional heartbeats. If heartbeats arrive faster than they can be
   * read while machines of an earlier leader are unreconciled, launches would delay the heartbeats
   * of these machines until their leases expire and their tasks are lost. This has happened with
   * thousands of machines, so only urgent tasks are launched meanwhile.
   */
  boolean hasPrecedence(MonotonicTime now) {
    return !isComplete() && capacity.isOverloaded(now);
  }

  /** Checks for completion after a heartbeat, a deletion or a lease expiry. */
  void check(MonotonicTime now) {
    if (isComplete()) {
      return;
    }
    cluster.quotaUsage().setUnreconciledUsage(cluster.reconciler().maxUnreconciledUsage());
    if (cluster.reconciler().allReconciled()) {
      completedAt = now;
      cluster.reconciler().clearEndedJobs();
      decisions.onReconciled(now);
      roundTrigger.request();
      LOG.info(
          "failover complete, all {} machines reconciled {} ms after the start of term {}",
          cluster.machines().size(),
          now.since(cluster.term().since()).ms(),
          cluster.term().number());
    }
  }
}
