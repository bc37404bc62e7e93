package io.saltflow.agreement;

import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's side of log replication (section 5.3 of the paper): what is sent to each follower,
 * what each has, and which entries a majority has.
 */
final class Replication {
  private static final int MOST_IN_FLIGHT = 8;

  /** A leader that no majority has answered for so many election timeouts has been replaced. */
  private static final int ISOLATED_AFTER = 2;

  /** Answers to rounds older than any lease are worth nothing: in election timeouts. */
  private static final int ROUNDS_KEPT = 4;

  private final NodeState node;
  private final SnapshotSender snapshots;
  private final Map<String, Progress> peers = new TreeMap<>();

  /** When each round of heartbeats was sent. */
  private final Map<Long, Time> rounds = new TreeMap<>();

  private long round;
  private Time lastHeartbeat = Time.LONG_AGO;
  private Time ledSince = Time.LONG_AGO;

  Replication(NodeState node) {
    this.node = node;
    this.snapshots = new SnapshotSender(node);
  }

  /** This node has just been elected. */
  void begin(Time now) {
    ledSince = now;
    peers.clear();
    rounds.clear();
  }

  Progress peer(String name) {
    return peers.computeIfAbsent(name, n -> new Progress(n, node.log.last() + 1));
  }

  Collection<Progress> peers() {
    return peers.values();
  }

  long round() {
    return round;
  }

  /** When the round was sent; null: it was not, or too long ago. */
  Time sentAt(long ofRound) {
    return rounds.get(ofRound);
  }

  boolean heartbeatDue(Time now) {
    return now.since(lastHeartbeat).compareTo(node.pace.beat()) >= 0;
  }

  /** Starts a round: every follower is sent something, though there be nothing new. */
  void heartbeat(Time now) {
    lastHeartbeat = now;
    round++;
    rounds.put(round, now);
    rounds.values().removeIf(t -> now.since(t).longerThan(node.pace.election().times(ROUNDS_KEPT)));
    for (String member : node.others()) {
      Progress peer = peer(member);
      if (now.since(peer.answeredRoundSentAt).longerThan(node.pace.election())) {
        // What was under way to it is taken for lost.
        peer.inFlight = 0;
        peer.nextIndex = peer.matchIndex + 1;
      }
      send(peer, true);
    }
  }

  /** Sends new entries to every follower that may be sent more. */
  void sendAll() {
    for (String member : node.others()) {
      send(peer(member), false);
    }
  }

  /**
   * Sends entries to a follower while some are left and not too many are in flight.
   *
   * @param evenNothing sends a message without entries if there are none
   */
  void send(Progress peer, boolean evenNothing) {
    if (peer.nextIndex < node.log.first() && node.log.snapshot().index() > 0) {
      snapshots.send(peer, evenNothing, round);
      return;
    }
    boolean sent = false;
    while (peer.nextIndex <= node.log.last() && peer.inFlight < MOST_IN_FLIGHT) {
      List<Entry> entries = node.log.from(peer.nextIndex, node.pace.entries());
      sendEntries(peer, entries);
      peer.inFlight++;
      peer.nextIndex += entries.size();
      sent = true;
    }
    if (evenNothing && !sent) {
      sendEntries(peer, List.of());
    }
  }

  private void sendEntries(Progress peer, List<Entry> entries) {
    long previous = peer.nextIndex - 1;
    node.send(
        new Message.Append(
            node.self,
            peer.name,
            node.term,
            previous,
            node.log.term(previous),
            entries,
            node.commit,
            round));
  }

  private void answered(Progress peer, long ofRound) {
    Time sent = rounds.get(ofRound);
    if (sent != null && sent.after(peer.answeredRoundSentAt)) {
      peer.answeredRoundSentAt = sent;
    }
  }

  /** A follower has taken entries, or says from where on its log differs. */
  void onAppended(Progress peer, Message.Appended m) {
    answered(peer, m.round());
    peer.inFlight = Math.max(0, peer.inFlight - 1);
    if (m.ok()) {
      peer.matchIndex = Math.max(peer.matchIndex, m.match());
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
      peer.snapshotOffset = -1;
    } else {
      // A refusal that came late must not undo what is known to match.
      peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, m.match() + 1));
      peer.inFlight = 0;
    }
  }

  /** A follower has taken a part of a snapshot. */
  void onPartTaken(Message.PartTaken m) {
    Progress peer = peer(m.from());
    answered(peer, m.round());
    snapshots.onPartTaken(peer, m, round);
  }

  /** The index up to which a majority has the log durably. */
  long majorityMatch() {
    List<Long> matches = new ArrayList<>();
    for (String member : node.members()) {
      boolean own = member.equals(node.self);
      matches.add(own ? node.unsaved.durable() : peer(member).matchIndex);
    }
    matches.sort(null);
    return matches.get(matches.size() - node.majority());
  }

  /** The latest time of sending that a majority has answered, this node included. */
  Time majorityAnswered(Time now) {
    List<Time> times = new ArrayList<>();
    for (String member : node.members()) {
      times.add(member.equals(node.self) ? now : peer(member).answeredRoundSentAt);
    }
    times.sort(null);
    return times.get(times.size() - node.majority());
  }

  /** Whether no majority has answered for as long as another may have been elected. */
  boolean isolated(Time now) {
    // One that was just elected has heard of nobody yet: taken for isolated it stepped down before
    // the first answers came, and the group served nobody (three lives in ten, found by counting
    // answers).
    Time answered = Time.later(ledSince, majorityAnswered(now));
    return now.since(answered).longerThan(node.pace.election().times(ISOLATED_AFTER));
  }

  /** Gives up the lease: answers of before count no more. */
  void forgetAnswers() {
    peers.values().forEach(p -> p.answeredRoundSentAt = Time.LONG_AGO);
    rounds.clear();
  }
}
