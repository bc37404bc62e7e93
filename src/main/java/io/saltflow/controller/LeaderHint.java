package io.saltflow.controller;

import io.saltflow.election.LeaderElection;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient;
import java.util.function.Supplier;

/**
 * Supplies the host that workers are redirected to, or {@code null} if the leader is not currently
 * known. A node that reaches neither the key-value store nor the leader may know only a former
 * leader; a worker that is redirected there and back would lose its lease and its tasks.
 */
final class LeaderHint implements Supplier<String> {
  /** Maximum time between responses to the watch of the leader key, even without changes. */
  private static final TimeSpan WATCH_MAX_SILENCE = TimeSpan.seconds(11);

  private final LeaderElection election;
  private final KeyValueClient store;
  private final PeerTable peers;

  LeaderHint(LeaderElection election, KeyValueClient store, PeerTable peers) {
    this.election = election;
    this.store = store;
    this.peers = peers;
  }

  @Override
  public String get() {
    String host = election.leaderHost();
    boolean watchIsCurrent =
        store.outageDuration().ms() == 0
            && !store.timeSinceLastResponse().longerThan(WATCH_MAX_SILENCE);
    return peers.leads(host) || watchIsCurrent ? host : null;
  }
}
