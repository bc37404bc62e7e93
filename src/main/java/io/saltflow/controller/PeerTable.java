package io.saltflow.controller;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.transport.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * State of the other controllers according to their last heartbeats. A peer counts as unreachable
 * once its heartbeat is older than {@link #HEARTBEAT_MAX_AGE}. Not thread-safe: used on the event
 * loop's thread.
 */
final class PeerTable {
  /** Time without a response after which the key-value store counts as down for a controller. */
  static final TimeSpan STORE_FAILURE_THRESHOLD = TimeSpan.seconds(2);

  private static final TimeSpan HEARTBEAT_MAX_AGE = TimeSpan.seconds(4);

  /** Bounds the memory used by unknown senders. */
  private static final int MAX_PEERS = 64;

  private record Peer(PeerHeartbeat heartbeat, MonotonicTime receivedAt, long clockLeadMs) {}

  private final EventLoop loop;
  private final Map<String, Peer> peers = new HashMap<>();

  PeerTable(EventLoop loop) {
    this.loop = loop;
  }

  /** Records a heartbeat that was just received. */
  void onHeartbeat(PeerHeartbeat heartbeat) {
    if (peers.size() < MAX_PEERS || peers.containsKey(heartbeat.host())) {
      peers.put(heartbeat.host(), new Peer(heartbeat, loop.now(), clockLeadMs(heartbeat)));
    }
  }

  private long clockLeadMs(PeerHeartbeat heartbeat) {
    return heartbeat.wallClockMs() == 0 ? 0 : heartbeat.wallClockMs() - loop.wallClockMs();
  }

  private boolean isFresh(Peer peer) {
    return loop.now().since(peer.receivedAt).compareTo(HEARTBEAT_MAX_AGE) < 0;
  }

  /** Returns whether a reachable peer claims to lead; {@code false} for a {@code null} host. */
  boolean leads(String host) {
    Peer peer = peers.get(host);
    return peer != null && peer.heartbeat.leading() && isFresh(peer);
  }

  /** Returns whether a reachable peer leads, reaches the store and cancels dependent jobs. */
  boolean leadsAndCancelsDependents(String host) {
    Peer peer = peers.get(host);
    return peer != null
        && peer.heartbeat.leading()
        && peer.heartbeat.cancelsDependents()
        && peer.heartbeat.storeSilenceMs() == 0
        && isFresh(peer);
  }

  /** Returns the reachable peers that probe replicas for the leader. */
  List<String> probingHosts() {
    List<String> hosts = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.heartbeat.probesReplicas() && isFresh(peer)) {
        hosts.add(peer.heartbeat.host());
      }
    }
    return hosts;
  }

  /** Returns the offsets of reachable peers' wall clocks ahead of this one, in milliseconds. */
  List<Long> clockLeadsMs() {
    List<Long> leads = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.heartbeat.wallClockMs() != 0 && isFresh(peer)) {
        leads.add(peer.clockLeadMs);
      }
    }
    return leads;
  }

  /**
   * Returns whether at least one peer is reachable and the store is down for all reachable ones.
   */
  boolean storeDownForAll() {
    boolean anyReachable = false;
    for (Peer peer : peers.values()) {
      if (isFresh(peer)) {
        anyReachable = true;
        if (peer.heartbeat.storeSilenceMs() < STORE_FAILURE_THRESHOLD.ms()) {
          return false;
        }
      }
    }
    return anyReachable;
  }
}
