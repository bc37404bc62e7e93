package io.saltflow.agreement;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * One node of a group that replicates a log, after Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm" (2014), and Ongaro's dissertation for pre-vote, leadership
 * transfer, reads and changes of membership one at a time. A deterministic core: it is told the
 * time and what came, and says what to write down, send and apply ({@link #ready}); it knows no
 * disk, clock or network. The parts are {@link Election}, {@link Replication}, {@link Follower},
 * {@link SnapshotSender}, {@link Membership} and {@link Reads}; this class leads from one to the
 * other.
 *
 * <p>Two rules bind whoever drives it: what {@link Ready#save} says is durable before any of its
 * messages is sent, and after a crash it begins again with what was durable.
 */
public final class Raft {
  /** What a node is at a moment. */
  public enum Role {
    FOLLOWER,
    /** It asks whether it would be elected. */
    CANDIDATE_IN_DOUBT,
    CANDIDATE,
    LEADER
  }

  /**
   * The group's pace.
   *
   * @param election the least time without a leader after which a node stands for election
   * @param beat how often a leader tells that it leads
   * @param drift by how much clocks may differ in speed, as a share
   * @param entries the most that are sent at once
   */
  public record Pace(Span election, Span beat, double drift, int entries) {}

  /** A mistake that is easily made. */
  enum Mistake {
    /** What it promised before a crash is forgotten: its vote, and a leader's lease. */
    VOTE_FORGOTTEN,
    COMMIT_OF_AN_OLD_TERM,
    LEASE_WITHOUT_MARGIN,
    LOG_NOT_COMPARED,
    CONFLICT_KEPT,
    READ_WITHOUT_ROUND
  }

  private final NodeState node;
  private final Election election;
  private final Replication replication;
  private final Follower follower;
  private final Reads reads;

  /** Whom the leader hands its leadership to, and until when it tries; null: nobody. */
  private String transferTo;

  private Time transferUntil = Time.LONG_AGO;

  /**
   * Begins with what was durable.
   *
   * @param random a number below the given one
   */
  public Raft(String self, Pace pace, Kept kept, LongUnaryOperator random, Time now) {
    this(self, pace, kept, random, now, Set.of());
  }

  Raft(
      String self,
      Pace pace,
      Kept kept,
      LongUnaryOperator random,
      Time now,
      Set<Mistake> mistakes) {
    node = new NodeState(self, pace, kept, mistakes);
    election = new Election(node, random, now);
    replication = new Replication(node);
    follower = new Follower(node, election);
    reads = new Reads(node, replication);
  }

  // ---- What is known

  public Role role() {
    return node.role;
  }

  public long term() {
    return node.term;
  }

  /** Who leads, as far as is known; null: nobody. */
  public String leader() {
    return node.leader;
  }

  public long commit() {
    return node.commit;
  }

  /** Whether it leads and knows all that is committed: an entry of its own term is. */
  public boolean settled() {
    return node.leads() && node.log.term(node.commit) == node.term;
  }

  /** Who is in the group, by the last entry that says so. */
  public List<String> members() {
    return node.members();
  }

  /**
   * All that what it does next depends on, times aside: two nodes that read alike here go on alike.
   */
  String told() {
    StringBuilder out = new StringBuilder();
    out.append(node.term).append(node.vote).append(node.role).append(node.leader);
    out.append(node.commit).append('|');
    out.append(node.applied).append(node.log.snapshot().index()).append(election.votes());
    out.append(node.unsaved.durable()).append('|');
    for (Entry e : node.log.from(node.log.first(), Integer.MAX_VALUE / 2)) {
      out.append(e.term()).append(e.data() == null ? "-" : Arrays.toString(e.data())).append(',');
    }
    if (node.leads()) {
      for (Progress peer : replication.peers()) {
        out.append(peer.name).append(peer.nextIndex).append('.').append(peer.matchIndex);
      }
      replication.peers().forEach(peer -> out.append('.').append(peer.inFlight));
    }
    return out.toString();
  }

  // ---- Time

  /** Time has gone by. */
  public void tick(Time now) {
    if (node.leads()) {
      tickLeader(now);
    } else if (election.timedOut(now)) {
      election.restartTimeout(now);
      if (node.isMember()) {
        campaign(true, false, now);
      }
    }
  }

  private void tickLeader(Time now) {
    if (replication.heartbeatDue(now)) {
      replication.heartbeat(now);
    }
    if (transferTo != null && now.after(transferUntil)) {
      transferTo = null;
    }
    if (replication.isolated(now)) {
      // Nobody can be told to stop believing in it but itself.
      election.follow(node.term, null, now);
    }
  }

  // ---- Leadership

  private void campaign(boolean preVote, boolean transfer, Time now) {
    if (election.campaign(preVote, transfer)) {
      lead(now);
    }
  }

  private void lead(Time now) {
    node.role = Role.LEADER;
    node.leader = node.self;
    transferTo = null;
    replication.begin(now);
    reads.clear();
    // Nothing of former terms is committed but by an entry of this one (section 5.4.2).
    node.append(Entry.of(node.log.last() + 1, node.term, null));
    replication.heartbeat(now);
    advance(now);
  }

  /**
   * Hands leadership to another member, who must have all of the log first (section 3.10 of the
   * dissertation); false: not now.
   */
  public boolean transfer(String to, Time now) {
    if (!node.leads() || to.equals(node.self) || !members().contains(to)) {
      return false;
    }
    transferTo = to;
    transferUntil = now.plus(node.pace.election());
    handOver(now);
    return true;
  }

  private void handOver(Time now) {
    if (transferTo == null || replication.peer(transferTo).matchIndex != node.log.last()) {
      return;
    }
    node.send(new Message.TakeOver(node.self, transferTo, node.term));
    // Its lease ends with its leadership: another may be elected at once.
    replication.forgetAnswers();
    election.follow(node.term, null, now);
  }

  // ---- The leader's log

  /** The index that the entry has; 0: this node does not lead, or hands its leadership over. */
  public long propose(byte[] data, Time now) {
    if (!node.leads() || transferTo != null) {
      return 0;
    }
    return add(Entry.of(node.log.last() + 1, node.term, data), now);
  }

  /**
   * Changes who is in the group by one; 0: not now. The next change waits until this one is
   * committed, and the first until an entry of this term is.
   */
  public long change(List<String> members, Time now) {
    if (transferTo != null || !Membership.mayBecome(node, members)) {
      return 0;
    }
    return add(Entry.members(node.log.last() + 1, node.term, members), now);
  }

  private long add(Entry entry, Time now) {
    node.append(entry);
    replication.sendAll();
    advance(now);
    return node.log.last();
  }

  /** What a majority has durably, of this term, is committed. */
  private void advance(Time now) {
    long agreed = replication.majorityMatch();
    boolean ofThisTerm =
        node.log.term(agreed) == node.term || node.mistakes.contains(Mistake.COMMIT_OF_AN_OLD_TERM);
    if (agreed <= node.commit || !ofThisTerm) {
      return;
    }
    node.commit = agreed;
    replication.sendAll();
    if (!node.isMember()) {
      // It has led itself out of the group, and that is committed.
      replication.heartbeat(now);
      election.follow(node.term, null, now);
    }
  }

  private void onAppended(Message.Appended m, Time now) {
    if (!isOfAFollower(m)) {
      return;
    }
    Progress peer = replication.peer(m.from());
    replication.onAppended(peer, m);
    if (m.ok()) {
      advance(now);
    }
    replication.send(peer, false);
    reads.allowAnswered(now);
    handOver(now);
  }

  private void onPartTaken(Message.PartTaken m, Time now) {
    if (isOfAFollower(m)) {
      replication.onPartTaken(m);
      reads.allowAnswered(now);
    }
  }

  private boolean isOfAFollower(Message m) {
    return node.leads() && m.term() == node.term && members().contains(m.from());
  }

  // ---- Reads and snapshots

  /**
   * A read that must see all that was answered before it; false: this node does not lead, or can't
   * tell yet. When it may be answered is said by {@link Ready#reads}.
   */
  public boolean read(long number, Time now) {
    // Before an entry of its own term is committed a leader may not know what is.
    if (!settled() || reads.full()) {
      return false;
    }
    if (leased(now) || node.mistakes.contains(Mistake.READ_WITHOUT_ROUND)) {
      reads.allow(number);
      return true;
    }
    reads.awaitNextRound(number);
    replication.heartbeat(now);
    reads.allowAnswered(now);
    return true;
  }

  /**
   * Whether nobody else can have been elected: those whose answers it rests on elect nobody for the
   * time of an election after they heard from it, which was not before it was sent. Their clocks
   * may run faster than this one, and this one slower.
   */
  public boolean leased(Time now) {
    if (!node.leads() || transferTo != null) {
      return false;
    }
    boolean noMargin = node.mistakes.contains(Mistake.LEASE_WITHOUT_MARGIN);
    double margin = noMargin ? -1 : 2 * node.pace.drift();
    Span lease = node.pace.election().times(1 - margin);
    return now.since(replication.majorityAnswered(now)).compareTo(lease) < 0;
  }

  /** The state machine has a snapshot of what was applied: the log before it goes. */
  public void compacted(long index, byte[] bytes) {
    Log log = node.log;
    if (index <= log.snapshot().index() || index > node.applied) {
      return;
    }
    log.compact(new Snapshot(index, log.term(index), log.members(index), bytes));
    node.unsaved.headChanged();
    node.unsaved.changedFrom(index + 1);
  }

  // ---- In and out

  /** A message came. */
  public void received(Message m, Time now) {
    if (!m.to().equals(node.self)) {
      return;
    }
    if (m instanceof Message.VoteAsked v) {
      election.onVoteRequest(v, now);
    } else if (m instanceof Message.Voted v) {
      if (election.onVote(v, now)) {
        lead(now);
      }
    } else if (m instanceof Message.Append a) {
      follower.onAppend(a, now);
    } else if (m instanceof Message.Appended a) {
      followNewerTerm(a, now);
      onAppended(a, now);
    } else if (m instanceof Message.Part p) {
      follower.onPart(p, now);
    } else if (m instanceof Message.PartTaken p) {
      followNewerTerm(p, now);
      onPartTaken(p, now);
    } else if (m instanceof Message.TakeOver t && t.term() == node.term && node.isMember()) {
      campaign(false, true, now);
    }
  }

  private void followNewerTerm(Message m, Time now) {
    if (m.term() > node.term) {
      election.follow(m.term(), null, now);
    }
  }

  /**
   * What is to be done now; null: nothing. What it says to save must be durable at {@link #saved}.
   */
  public Ready ready() {
    Ready.Save save = node.unsaved.next(node);
    List<Entry> committed = new ArrayList<>();
    while (node.applied < node.commit) {
      node.applied++;
      committed.add(node.log.at(node.applied));
    }
    Ready ready = new Ready(save, node.takeOutbox(), node.installed, committed, reads.take());
    node.installed = null;
    return ready.empty() ? null : ready;
  }

  /** What the last {@link #ready} said to save is durable. */
  public void saved(Time now) {
    node.unsaved.saved(node.log.last());
    if (node.leads()) {
      advance(now);
    }
  }
}
