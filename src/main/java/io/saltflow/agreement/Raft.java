package io.saltflow.agreement;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * One node's part in agreeing on a log, after Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm" (2014), and Ongaro's dissertation for pre-vote, leadership
 * transfer, reads and changes of membership one at a time. A deterministic core: it is told the
 * time and what came, and says what to write down, send and apply ({@link #ready}); it knows no
 * disk, clock or network.
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

  private static final int MOST_UNDER_WAY = 8;
  private static final int MOST_READS = 1024;
  private static final int PART_BYTES = 64 * 1024;

  private record Asked(long number, long round) {}

  private final String self;
  private final Pace pace;
  private final LongUnaryOperator random;
  private final Log log;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<Long, Time> rounds = new TreeMap<>();
  private final Set<String> votes = new HashSet<>();
  private final List<Message> out = new ArrayList<>();
  private final List<Asked> reads = new ArrayList<>();
  private final List<Ready.Read> readable = new ArrayList<>();
  private long term;
  private String vote;
  private Role role = Role.FOLLOWER;
  private String leader;
  private long commit;
  private long applied;
  private long round;
  private Time electionAt;
  private Time heardLeader = Time.LONG_AGO;
  private Time lastBeat = Time.LONG_AGO;
  private Time ledSince = Time.LONG_AGO;
  private String transferTo;
  private Time transferUntil = Time.LONG_AGO;
  private Snapshot installed;
  private byte[] arriving = new byte[0];
  private long arrivingIndex;

  private boolean headDirty;
  private long dirtyFrom = Long.MAX_VALUE;

  /** Mistakes that tests plant, to see that they are noticed; none in the product. */
  private final Set<Mistake> mistakes;

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
    this.self = self;
    this.pace = pace;
    this.random = random;
    this.mistakes = mistakes;
    log = new Log(kept.snapshot(), kept.entries());
    term = kept.term();
    vote = mistakes.contains(Mistake.VOTE_FORGOTTEN) ? null : kept.vote();
    commit = kept.snapshot().index();
    applied = commit;
    durable = log.last();
    saving = durable;
    // It may have promised a leader's lease before it crashed: it promises it anew.
    heardLeader = mistakes.contains(Mistake.VOTE_FORGOTTEN) ? Time.LONG_AGO : now;
    rest(now);
  }

  // ---- What is known

  public Role role() {
    return role;
  }

  public long term() {
    return term;
  }

  /** Who leads, as far as is known; null: nobody. */
  public String leader() {
    return leader;
  }

  public long commit() {
    return commit;
  }

  /** Whether it leads and knows all that is committed: an entry of its own term is. */
  public boolean settled() {
    return role == Role.LEADER && log.term(commit) == term;
  }

  /** Who is in the group, by the last entry that says so. */
  public List<String> members() {
    return log.members(Long.MAX_VALUE);
  }

  private boolean member() {
    return members().contains(self);
  }

  private int majority() {
    return members().size() / 2 + 1;
  }

  /**
   * All that what it does next depends on, times aside: two nodes that read alike here go on alike.
   */
  String told() {
    StringBuilder out = new StringBuilder();
    out.append(term).append(vote).append(role).append(leader).append(commit).append('|');
    out.append(applied).append(log.snapshot().index()).append(votes).append(durable).append('|');
    for (Entry e : log.from(log.first(), Integer.MAX_VALUE / 2)) {
      out.append(e.term()).append(e.data() == null ? "-" : Arrays.toString(e.data())).append(',');
    }
    if (role == Role.LEADER) {
      peers.values().forEach(p -> out.append(p.name).append(p.next).append('.').append(p.match));
      peers.values().forEach(p -> out.append('.').append(p.underWay));
    }
    return out.toString();
  }

  // ---- Time

  private void rest(Time now) {
    long span = pace.election().ms();
    electionAt = now.plus(new Span(span + random.applyAsLong(span)));
  }

  /** Time has gone by. */
  public void tick(Time now) {
    if (role == Role.LEADER) {
      if (now.since(lastBeat).compareTo(pace.beat()) >= 0) {
        beat(now);
      }
      if (transferTo != null && now.after(transferUntil)) {
        transferTo = null;
      }
      if (alone(now)) {
        // Nobody can be told to stop believing in it but itself.
        follow(term, null, now);
      }
    } else if (!now.before(electionAt)) {
      rest(now);
      if (member()) {
        stand(true, false, now);
      }
    }
  }

  /** Whether no majority has answered for as long as another may have been elected. */
  private boolean alone(Time now) {
    // One that was just elected has heard of nobody yet: taken for alone it stepped down before the
    // first answers came, and the group served nobody (three lives in ten, found by counting
    // answers).
    Time heard = Time.later(ledSince, majorityHeard(now));
    return now.since(heard).longerThan(pace.election().times(2));
  }

  /** The latest time of sending that a majority has answered, this node included. */
  private Time majorityHeard(Time now) {
    List<Time> times = new ArrayList<>();
    for (String m : members()) {
      times.add(m.equals(self) ? now : peer(m).heardOf);
    }
    times.sort(null);
    return times.get(times.size() - majority());
  }

  // ---- Elections

  private void stand(boolean pre, boolean transfer, Time now) {
    role = pre ? Role.CANDIDATE_IN_DOUBT : Role.CANDIDATE;
    leader = null;
    votes.clear();
    votes.add(self);
    if (!pre) {
      term++;
      vote = self;
      headDirty = true;
    }
    for (String m : members()) {
      if (!m.equals(self)) {
        long asked = pre ? term + 1 : term;
        out.add(new Message.VoteAsked(self, m, asked, log.last(), log.lastTerm(), pre, transfer));
      }
    }
    counted(now);
  }

  private void counted(Time now) {
    long mine = votes.stream().filter(members()::contains).count();
    if (mine < majority()) {
      return;
    }
    if (role == Role.CANDIDATE_IN_DOUBT) {
      stand(false, false, now);
    } else if (role == Role.CANDIDATE) {
      lead(now);
    }
  }

  private void lead(Time now) {
    role = Role.LEADER;
    leader = self;
    ledSince = now;
    transferTo = null;
    peers.clear();
    rounds.clear();
    reads.clear();
    // Nothing of former terms is committed but by an entry of this one (section 5.4.2).
    add(Entry.of(log.last() + 1, term, null));
    beat(now);
    advance(now);
  }

  private void follow(long newTerm, String newLeader, Time now) {
    if (newTerm > term) {
      term = newTerm;
      vote = null;
      headDirty = true;
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    reads.clear();
    rest(now);
  }

  private void asked(Message.VoteAsked m, Time now) {
    boolean upToDate =
        m.lastTerm() > log.lastTerm()
            || (m.lastTerm() == log.lastTerm() && m.lastIndex() >= log.last())
            || mistakes.contains(Mistake.LOG_NOT_COMPARED);
    // Whoever hears a leader elects no other: that leader's lease rests on it.
    boolean led =
        !m.transfer()
            && (role == Role.LEADER || now.since(heardLeader).compareTo(pace.election()) < 0);
    if (m.pre()) {
      boolean would = m.term() > term && upToDate && !led;
      out.add(new Message.Voted(self, m.from(), would ? m.term() : term, would, true));
      return;
    }
    if (led) {
      return;
    }
    if (m.term() > term) {
      follow(m.term(), null, now);
    }
    boolean grants = m.term() == term && upToDate && (vote == null || vote.equals(m.from()));
    if (grants) {
      vote = m.from();
      headDirty = true;
      rest(now);
    }
    out.add(new Message.Voted(self, m.from(), term, grants, false));
  }

  private void voted(Message.Voted m, Time now) {
    if (m.pre()) {
      if (role == Role.CANDIDATE_IN_DOUBT && m.granted() && m.term() == term + 1) {
        votes.add(m.from());
        counted(now);
      } else if (!m.granted() && m.term() > term) {
        follow(m.term(), null, now);
      }
    } else if (m.term() > term) {
      follow(m.term(), null, now);
    } else if (role == Role.CANDIDATE && m.term() == term && m.granted()) {
      votes.add(m.from());
      counted(now);
    }
  }

  /** Gives the office to another, who must have all of the log first; false: not now. */
  public boolean transfer(String to, Time now) {
    if (role != Role.LEADER || to.equals(self) || !members().contains(to)) {
      return false;
    }
    transferTo = to;
    transferUntil = now.plus(pace.election());
    handOver(now);
    return true;
  }

  private void handOver(Time now) {
    if (transferTo != null && peer(transferTo).match == log.last()) {
      out.add(new Message.TakeOver(self, transferTo, term));
      // Its lease is given up with the office: another may be elected at once.
      peers.values().forEach(p -> p.heardOf = Time.LONG_AGO);
      rounds.clear();
      reads.clear();
      follow(term, null, now);
    }
  }

  // ---- The leader's log

  private Peer peer(String name) {
    return peers.computeIfAbsent(name, n -> new Peer(n, log.last() + 1));
  }

  private void add(Entry e) {
    log.add(e);
    dirtyFrom = Math.min(dirtyFrom, e.index());
  }

  /** The index that the entry has; 0: this node does not lead, or gives its office away. */
  public long propose(byte[] data, Time now) {
    if (role != Role.LEADER || transferTo != null) {
      return 0;
    }
    add(Entry.of(log.last() + 1, term, data));
    sendAll();
    advance(now);
    return log.last();
  }

  /**
   * Changes who is in the group by one; 0: not now. The next change waits until this one is
   * committed, and the first until an entry of this term is (the dissertation's erratum).
   */
  public long change(List<String> members, Time now) {
    List<String> before = members();
    Set<String> other = new HashSet<>(before);
    Set<String> same = new HashSet<>(members);
    same.retainAll(before);
    other.addAll(members);
    boolean one = other.size() - same.size() == 1;
    if (role != Role.LEADER
        || transferTo != null
        || !one
        || members.isEmpty()
        || log.lastChange() > commit
        || log.term(commit) != term) {
      return 0;
    }
    add(Entry.members(log.last() + 1, term, members));
    sendAll();
    advance(now);
    return log.last();
  }

  private void beat(Time now) {
    lastBeat = now;
    round++;
    rounds.put(round, now);
    // Answers to sendings older than any lease are worth nothing.
    rounds.values().removeIf(t -> now.since(t).longerThan(pace.election().times(4)));
    for (String m : members()) {
      if (!m.equals(self)) {
        Peer p = peer(m);
        if (now.since(p.heardOf).longerThan(pace.election())) {
          // What was under way to it is taken for lost.
          p.underWay = 0;
          p.next = p.match + 1;
        }
        send(p, true);
      }
    }
  }

  private void sendAll() {
    for (String m : members()) {
      if (!m.equals(self)) {
        send(peer(m), false);
      }
    }
  }

  private void send(Peer p, boolean evenNothing) {
    if (p.next < log.first() && log.snapshot().index() > 0) {
      sendPart(p, evenNothing);
      return;
    }
    boolean more = true;
    while (more) {
      boolean some = p.next <= log.last() && p.underWay < MOST_UNDER_WAY;
      if (!some && !evenNothing) {
        return;
      }
      List<Entry> entries = some ? log.from(p.next, pace.entries()) : List.of();
      long prev = p.next - 1;
      out.add(new Message.Append(self, p.name, term, prev, log.term(prev), entries, commit, round));
      p.underWay += some ? 1 : 0;
      p.next += entries.size();
      more = some;
      evenNothing = false;
    }
  }

  /** One part under way at a time; a beat repeats it. */
  private void sendPart(Peer p, boolean again) {
    Snapshot s = log.snapshot();
    if (p.snapshotOffset < 0 || p.snapshotIndex != s.index()) {
      p.snapshotOffset = 0;
      p.snapshotIndex = s.index();
    } else if (!again) {
      return;
    }
    part(p, s);
  }

  private void part(Peer p, Snapshot s) {
    int from = (int) p.snapshotOffset;
    int to = Math.min(s.bytes().length, from + PART_BYTES);
    out.add(
        new Message.Part(
            self,
            p.name,
            term,
            s.index(),
            s.term(),
            s.members(),
            from,
            Arrays.copyOfRange(s.bytes(), from, to),
            to == s.bytes().length,
            round));
  }

  private void heard(Peer p, long answered) {
    Time sent = rounds.get(answered);
    if (sent != null && sent.after(p.heardOf)) {
      p.heardOf = sent;
    }
  }

  private void appended(Message.Appended m, Time now) {
    if (role != Role.LEADER || m.term() != term || !members().contains(m.from())) {
      return;
    }
    Peer p = peer(m.from());
    heard(p, m.round());
    p.underWay = Math.max(0, p.underWay - 1);
    if (m.ok()) {
      p.match = Math.max(p.match, m.match());
      p.next = Math.max(p.next, p.match + 1);
      p.snapshotOffset = -1;
      advance(now);
    } else {
      // A refusal that came late must not undo what is known to match.
      p.next = Math.max(p.match + 1, Math.min(p.next, m.match() + 1));
      p.underWay = 0;
    }
    send(p, false);
    readsAllowed(now);
    handOver(now);
  }

  private void partTaken(Message.PartTaken m, Time now) {
    if (role != Role.LEADER || m.term() != term || !members().contains(m.from())) {
      return;
    }
    Peer p = peer(m.from());
    heard(p, m.round());
    Snapshot s = log.snapshot();
    if (p.snapshotOffset >= 0 && p.snapshotIndex == s.index() && m.lastIndex() == s.index()) {
      p.snapshotOffset = Math.min(m.offset(), s.bytes().length);
      part(p, s);
    }
    readsAllowed(now);
  }

  /** What a majority has durably, of this term, is committed. */
  private void advance(Time now) {
    List<Long> matches = new ArrayList<>();
    for (String m : members()) {
      matches.add(m.equals(self) ? durable : peer(m).match);
    }
    matches.sort(null);
    long agreed = matches.get(matches.size() - majority());
    boolean ours = log.term(agreed) == term || mistakes.contains(Mistake.COMMIT_OF_AN_OLD_TERM);
    if (agreed > commit && ours) {
      commit = agreed;
      sendAll();
      if (!member()) {
        // It has led itself out of the group, and that is committed.
        beat(now);
        follow(term, null, now);
      }
    }
  }

  /** Up to where this node's own log is durable, and up to where what is being saved reaches. */
  private long durable;

  private long saving;

  // ---- Followers

  private void append(Message.Append m, Time now) {
    if (m.term() < term) {
      out.add(new Message.Appended(self, m.from(), term, false, log.last(), m.round()));
      return;
    }
    led(m.from(), m.term(), now);
    if (m.prevIndex() < log.snapshot().index()) {
      // Entries that are in the snapshot are committed: they are the leader's too.
      List<Entry> rest =
          m.entries().stream().filter(e -> e.index() > log.snapshot().index()).toList();
      long last = m.prevIndex() + m.entries().size();
      if (last < log.snapshot().index()) {
        accept(m, log.snapshot().index());
      } else {
        take(rest);
        accept(m, last);
      }
      return;
    }
    if (log.term(m.prevIndex()) != m.prevTerm()) {
      out.add(new Message.Appended(self, m.from(), term, false, hint(m), m.round()));
      return;
    }
    take(m.entries());
    accept(m, m.prevIndex() + m.entries().size());
  }

  /** Where the logs may agree: before all entries of the term that does not match. */
  private long hint(Message.Append m) {
    long at = Math.min(log.last(), m.prevIndex() - 1);
    long bad = log.term(m.prevIndex());
    while (at > log.snapshot().index() && log.term(at) == bad) {
      at--;
    }
    return Math.max(commit, at);
  }

  private void accept(Message.Append m, long match) {
    commit = Math.max(commit, Math.min(m.commit(), match));
    out.add(new Message.Appended(self, m.from(), term, true, match, m.round()));
  }

  private void take(List<Entry> entries) {
    for (Entry e : entries) {
      if (e.index() <= log.last()) {
        if (log.term(e.index()) == e.term() || mistakes.contains(Mistake.CONFLICT_KEPT)) {
          continue;
        }
        if (e.index() <= commit) {
          throw new IllegalStateException("a committed entry would be replaced: " + e.index());
        }
        log.cut(e.index());
        durable = Math.min(durable, e.index() - 1);
        saving = Math.min(saving, e.index() - 1);
        dirtyFrom = Math.min(dirtyFrom, e.index());
      }
      add(e);
    }
  }

  private void led(String by, long itsTerm, Time now) {
    if (itsTerm > term || role != Role.FOLLOWER || !by.equals(leader)) {
      follow(itsTerm, by, now);
    }
    heardLeader = now;
    rest(now);
  }

  private void part(Message.Part m, Time now) {
    if (m.term() < term) {
      out.add(new Message.PartTaken(self, m.from(), term, m.lastIndex(), 0, m.round()));
      return;
    }
    led(m.from(), m.term(), now);
    if (m.lastIndex() <= commit) {
      out.add(new Message.Appended(self, m.from(), term, true, commit, m.round()));
      return;
    }
    if (arrivingIndex != m.lastIndex()) {
      arriving = new byte[0];
      arrivingIndex = m.lastIndex();
    }
    if (m.offset() == arriving.length) {
      byte[] longer = Arrays.copyOf(arriving, arriving.length + m.bytes().length);
      System.arraycopy(m.bytes(), 0, longer, arriving.length, m.bytes().length);
      arriving = longer;
      if (m.last()) {
        install(new Snapshot(m.lastIndex(), m.lastTerm(), m.members(), arriving));
        out.add(new Message.Appended(self, m.from(), term, true, m.lastIndex(), m.round()));
        return;
      }
    }
    // One that was interrupted goes on where it was.
    out.add(new Message.PartTaken(self, m.from(), term, m.lastIndex(), arriving.length, m.round()));
  }

  private void install(Snapshot s) {
    log.compact(s);
    arriving = new byte[0];
    arrivingIndex = 0;
    commit = s.index();
    applied = s.index();
    installed = s;
    headDirty = true;
    dirtyFrom = Math.min(dirtyFrom, s.index() + 1);
    durable = Math.min(durable, s.index());
    saving = Math.min(saving, s.index());
  }

  /** The state machine has a snapshot of what was applied: the log before it goes. */
  public void compacted(long index, byte[] bytes) {
    if (index <= log.snapshot().index() || index > applied) {
      return;
    }
    log.compact(new Snapshot(index, log.term(index), log.members(index), bytes));
    headDirty = true;
    dirtyFrom = Math.min(dirtyFrom, index + 1);
  }

  // ---- Reads

  /**
   * A read that must see all that was answered before it; false: this node does not lead, or can't
   * tell yet. When it may be answered is said by {@link Ready#reads}.
   */
  public boolean read(long number, Time now) {
    // Before an entry of its own term is committed a leader may not know what is.
    if (!settled() || reads.size() >= MOST_READS) {
      return false;
    }
    if (leased(now) || mistakes.contains(Mistake.READ_WITHOUT_ROUND)) {
      readable.add(new Ready.Read(number, commit));
      return true;
    }
    reads.add(new Asked(number, round + 1));
    beat(now);
    readsAllowed(now);
    return true;
  }

  /**
   * Whether nobody else can have been elected: those whose answers it rests on elect nobody for the
   * time of an election after they heard from it, which was not before it was sent. Their clocks
   * may run faster than this one, and this one slower.
   */
  public boolean leased(Time now) {
    if (role != Role.LEADER || transferTo != null) {
      return false;
    }
    double margin = mistakes.contains(Mistake.LEASE_WITHOUT_MARGIN) ? -1 : 2 * pace.drift();
    Span lease = pace.election().times(1 - margin);
    return now.since(majorityHeard(now)).compareTo(lease) < 0;
  }

  private void readsAllowed(Time now) {
    if (role != Role.LEADER) {
      return;
    }
    Time heard = majorityHeard(now);
    List<Asked> done = new ArrayList<>();
    for (Asked a : reads) {
      Time sent = rounds.get(a.round);
      if (sent != null && !heard.before(sent)) {
        readable.add(new Ready.Read(a.number, commit));
        done.add(a);
      }
    }
    reads.removeAll(done);
  }

  // ---- In and out

  /** A message came. */
  public void received(Message m, Time now) {
    if (!m.to().equals(self)) {
      return;
    }
    if (m instanceof Message.VoteAsked v) {
      asked(v, now);
    } else if (m instanceof Message.Voted v) {
      voted(v, now);
    } else if (m instanceof Message.Append a) {
      append(a, now);
    } else if (m instanceof Message.Appended a) {
      newer(a, now);
      appended(a, now);
    } else if (m instanceof Message.Part p) {
      part(p, now);
    } else if (m instanceof Message.PartTaken p) {
      newer(p, now);
      partTaken(p, now);
    } else if (m instanceof Message.TakeOver t && t.term() == term && member()) {
      stand(false, true, now);
    }
  }

  private void newer(Message m, Time now) {
    if (m.term() > term) {
      follow(m.term(), null, now);
    }
  }

  /**
   * What is to be done now; null: nothing. What it says to save must be durable at {@link #saved}.
   */
  public Ready ready() {
    Ready.Save save = null;
    if (headDirty || dirtyFrom <= log.last()) {
      long from = Math.max(log.first(), Math.min(dirtyFrom, log.last() + 1));
      save =
          new Ready.Save(term, vote, log.snapshot(), from, log.from(from, Integer.MAX_VALUE / 2));
      headDirty = false;
      dirtyFrom = Long.MAX_VALUE;
      saving = log.last();
    }
    List<Entry> committed = new ArrayList<>();
    while (applied < commit) {
      committed.add(log.at(++applied));
    }
    Ready r = new Ready(save, List.copyOf(out), installed, committed, List.copyOf(readable));
    out.clear();
    readable.clear();
    installed = null;
    return r.empty() ? null : r;
  }

  /** What the last {@link #ready} said to save is durable. */
  public void saved(Time now) {
    durable = Math.max(durable, Math.min(saving, log.last()));
    if (role == Role.LEADER) {
      advance(now);
    }
  }
}
