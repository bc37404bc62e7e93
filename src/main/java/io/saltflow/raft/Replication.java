package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's side of log replication (section 5.3 of the paper). Tracks each follower's progress,
 * sends entries and heartbeats, and determines which entries a quorum stores.
 */
final class Replication {
  private static final int MAX_IN_FLIGHT = 8;

  /** Number of election timeouts without a quorum after which a leader steps down. */
  private static final int QUORUM_LOSS_TIMEOUTS = 2;

  /** Number of election timeouts for which send times are retained, which exceeds any lease. */
  private static final int ROUND_RETENTION_TIMEOUTS = 4;

  private final NodeState state;
  private final SnapshotSender snapshots;
  private final Map<String, Progress> peers = new TreeMap<>();

  /** Send times of recent heartbeat rounds, by round. */
  private final Map<Long, MonotonicTime> rounds = new TreeMap<>();

  private long round;
  private MonotonicTime lastHeartbeat = MonotonicTime.LONG_AGO;
  private MonotonicTime leaderSince = MonotonicTime.LONG_AGO;

  Replication(NodeState state) {
    this.state = state;
    this.snapshots = new SnapshotSender(state);
  }

  /** Resets the progress of all followers after this node was elected. */
  void onElected(MonotonicTime now) {
    leaderSince = now;
    peers.clear();
    rounds.clear();
  }

  Progress progressOf(String member) {
    return peers.computeIfAbsent(
        member, newMember -> new Progress(newMember, state.log.lastIndex() + 1));
  }

  Collection<Progress> peers() {
    return peers.values();
  }

  long round() {
    return round;
  }

  /** Returns when a round was sent, or {@code null} if it was not sent yet or is too old. */
  MonotonicTime sentAt(long heartbeatRound) {
    return rounds.get(heartbeatRound);
  }

  boolean isHeartbeatDue(MonotonicTime now) {
    return now.since(lastHeartbeat).compareTo(state.config.heartbeatInterval()) >= 0;
  }

  /** Starts a heartbeat round by sending a message to every follower, even without new entries. */
  void sendHeartbeats(MonotonicTime now) {
    lastHeartbeat = now;
    round++;
    rounds.put(round, now);
    rounds
        .values()
        .removeIf(
            sentAt ->
                now.since(sentAt)
                    .longerThan(state.config.electionTimeout().times(ROUND_RETENTION_TIMEOUTS)));
    for (String member : state.peers()) {
      Progress peer = progressOf(member);
      if (now.since(peer.acknowledgedRoundSentAt).longerThan(state.config.electionTimeout())) {
        // Messages in flight to this follower are presumed lost.
        peer.inFlight = 0;
        peer.nextIndex = peer.matchIndex + 1;
      }
      send(peer, true);
    }
  }

  /** Sends new entries to every follower that is below its in-flight limit. */
  void sendToAll() {
    for (String member : state.peers()) {
      send(progressOf(member), false);
    }
  }

  /**
   * Sends entries to a follower up to its in-flight limit, or a snapshot if the log no longer holds
   * the follower's next entry.
   *
   * @param evenIfEmpty whether to send a message without entries if there are none to send
   */
  void send(Progress peer, boolean evenIfEmpty) {
    if (peer.nextIndex < state.log.firstIndex() && state.log.snapshot().index() > 0) {
      snapshots.send(peer, evenIfEmpty, round);
      return;
    }
    boolean sent = false;
    while (peer.nextIndex <= state.log.lastIndex() && peer.inFlight < MAX_IN_FLIGHT) {
      List<LogEntry> entries =
          state.log.entriesFrom(peer.nextIndex, state.config.maxEntriesPerMessage());
      sendEntries(peer, entries);
      peer.inFlight++;
      peer.nextIndex += entries.size();
      sent = true;
    }
    if (evenIfEmpty && !sent) {
      sendEntries(peer, List.of());
    }
  }

  private void sendEntries(Progress peer, List<LogEntry> entries) {
    long previous = peer.nextIndex - 1;
    state.send(
        new RaftMessage.AppendEntries(
            state.self,
            peer.member,
            state.term,
            previous,
            state.log.termAt(previous),
            entries,
            state.commitIndex,
            round));
  }

  private void recordAcknowledgement(Progress peer, long acknowledgedRound) {
    MonotonicTime sentAt = rounds.get(acknowledgedRound);
    if (sentAt != null && sentAt.after(peer.acknowledgedRoundSentAt)) {
      peer.acknowledgedRoundSentAt = sentAt;
    }
  }

  /** Updates a follower's progress after it accepted or rejected entries. */
  void onAppendEntriesResponse(Progress peer, RaftMessage.AppendEntriesResponse response) {
    recordAcknowledgement(peer, response.round());
    peer.inFlight = Math.max(0, peer.inFlight - 1);
    if (response.success()) {
      peer.matchIndex = Math.max(peer.matchIndex, response.matchIndex());
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
      peer.snapshotOffset = -1;
    } else {
      // A delayed rejection must not move nextIndex below the matching prefix.
      peer.nextIndex =
          Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, response.matchIndex() + 1));
      peer.inFlight = 0;
    }
  }

  /** Updates a follower's progress after it received a snapshot chunk, and sends the next one. */
  void onInstallSnapshotResponse(RaftMessage.InstallSnapshotResponse response) {
    Progress peer = progressOf(response.from());
    recordAcknowledgement(peer, response.round());
    snapshots.onInstallSnapshotResponse(peer, response, round);
  }

  /** Returns the highest index up to which the log is durable on a quorum. */
  long quorumMatchIndex() {
    List<Long> matches = new ArrayList<>();
    for (String member : state.members()) {
      boolean isSelf = member.equals(state.self);
      matches.add(isSelf ? state.unstable.durableIndex() : progressOf(member).matchIndex);
    }
    matches.sort(null);
    return matches.get(matches.size() - state.quorumSize());
  }

  /** Returns the send time of the latest round acknowledged by a quorum, counting this node. */
  MonotonicTime quorumAcknowledgedAt(MonotonicTime now) {
    List<MonotonicTime> times = new ArrayList<>();
    for (String member : state.members()) {
      times.add(member.equals(state.self) ? now : progressOf(member).acknowledgedRoundSentAt);
    }
    times.sort(null);
    return times.get(times.size() - state.quorumSize());
  }

  /** Returns whether no quorum has responded for so long that this node must step down. */
  boolean hasLostQuorum(MonotonicTime now) {
    // A newly elected leader has no acknowledgements yet and must not step down before they arrive.
    MonotonicTime lastQuorumContact = MonotonicTime.later(leaderSince, quorumAcknowledgedAt(now));
    return now.since(lastQuorumContact)
        .longerThan(state.config.electionTimeout().times(QUORUM_LOSS_TIMEOUTS));
  }

  /** Ends the lease by discarding all earlier acknowledgements. */
  void relinquishLease() {
    peers.values().forEach(peer -> peer.acknowledgedRoundSentAt = MonotonicTime.LONG_AGO);
    rounds.clear();
  }
}
