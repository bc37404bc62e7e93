package io.saltflow.records;

import io.saltflow.leader.LeaderLease;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;

/**
 * The event loop, store client and lease with which a leader writes its records.
 *
 * @param lease lease whose leader key guards each write
 * @param onLeadershipLost runs when a write is rejected because another node leads, or when only
 *     the next leader can find out whether it was executed
 */
public record LeaderContext(
    EventLoop loop, KeyValueClient store, LeaderLease lease, Runnable onLeadershipLost) {

  /** Begins a transaction that fails if another node leads. */
  Transaction guardedTransaction() {
    return new Transaction().guard(Keys.LEADER, lease.leaderKeyRevision());
  }
}
