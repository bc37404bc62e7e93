package io.saltflow.agreement;

import io.saltflow.protocol.Time;

/** What a leader knows of another node. */
final class Peer {
  final String name;

  /** The next entry to send, and up to where its log is surely ours. */
  long next;

  long match;

  /**
   * The last sending that it has answered, and when that was sent: what a lease is counted from.
   */
  Time heardOf = Time.LONG_AGO;

  /** Sendings under way that it has not answered. */
  int underWay;

  /** While a snapshot is sent: how much of it the follower has; -1: none is sent. */
  long snapshotOffset = -1;

  long snapshotIndex;

  Peer(String name, long next) {
    this.name = name;
    this.next = next;
  }
}
