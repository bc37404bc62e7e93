package io.saltflow.coordination;

import io.saltflow.deadlines.Morning;
import io.saltflow.lanes.Basis;
import io.saltflow.lanes.Lane;
import io.saltflow.lanes.Place;
import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Stand-ins for workers, cloud and state service in memory, under a virtual clock, with the rules
 * checked after each step. A step is half a second. Everything random comes from the seed.
 */
final class World {
  static final long STEP = 500;
  static final long LEASE = 16_000;
  static final long CANCEL = 41_000;
  static final long LEADER_LEASE = 5_000;

  /** So long a worker waits for an answer. */
  private static final long PATIENCE = 4_000;

  /** A class whose tasks fail wherever they are started. */
  static final String BROKEN = "broken";

  /** A job as the state service holds it. */
  static final class JobRecord {
    final JobSpec spec;
    final long at;
    BitSet done = new BitSet();
    boolean started;
    boolean over;
    long cancelledAt = -1;

    /** When its first task ran; -1: none has. */
    long startedAt = -1;

    /** When all of it was done; -1: it is not. */
    long overAt = -1;

    /** The revision at which it was accepted. */
    final Place place;

    JobRecord(JobSpec spec, long at, long revision) {
      this.spec = spec;
      this.at = at;
      this.place = new Place(revision, 0);
    }

    /** What truly came to its end. */
    final BitSet ran = new BitSet();

    /** Counts its pages' writes; each is guarded by the one before. */
    long version;

    void progress(BitSet of) {
      done = (BitSet) of.clone();
      version++;
    }

    Lane lane() {
      return Lane.of(spec.priority());
    }
  }

  /** One attempt of a task as its machine holds it. */
  static final class OnMachine {
    final Attempt attempt;
    Report.TaskState state = Report.TaskState.FETCHING;
    Report.ExitCause cause;
    long fetchedAt;
    long endsAt;

    OnMachine(Attempt attempt, long fetchedAt) {
      this.attempt = attempt;
      this.fetchedAt = fetchedAt;
    }

    boolean exited() {
      return state == Report.TaskState.EXITED;
    }

    boolean isRunning() {
      return state == Report.TaskState.RUNNING;
    }
  }

  /** A machine with its worker. */
  final class Worker {
    final MachineId id;
    final String zone;
    final boolean spot;
    final long upAt;
    final Map<TaskId, OnMachine> tasks = new LinkedHashMap<>();
    long session = 1;
    long tick;
    Term token = Term.NONE;
    long leaseFrom;
    long nextReport;

    /** When a higher token last made it report early: once per half of the lease (PROTOCOL). */
    private long tokenToldAt = -LEASE;

    boolean dead;
    boolean failsAll;
    long cutUntil;
    long hungUntil;

    /** Until then its reports arrive and no answer reaches it. */
    long deafUntil;

    /** Until then it can open no connection to any controller: its reports are never sent. */
    long muteUntil;

    /** It got no answer from its node, and asks the next one. */
    private boolean turnedAway;

    /** Until then it waits for an answer: it has one report in flight. */
    long waitsUntil;

    /** Who answered it last: it stays there until it is sent away. */
    Lead at;

    Worker(MachineId id, String zone, boolean spot, long upAt) {
      this.id = id;
      this.zone = zone;
      this.spot = spot;
      this.upAt = upAt;
      this.leaseFrom = upAt;
      this.nextReport = upAt;
    }

    Report report() {
      List<Report.TaskReport> list = new ArrayList<>();
      tasks.forEach(
          (id, t) -> list.add(new Report.TaskReport(id, t.attempt, t.state, t.cause, false)));
      return new Report(this.id, "", type.name(), zone, spot, session, ++tick, token, null, list);
    }

    /** Its process, or all of the machine, was gone for a moment: the same name, all forgotten. */
    void startAgain() {
      tasks.clear();
      session = 1;
      tick = 0;
      token = Term.NONE;
      leaseFrom = now;
      nextReport = now;
      say(id + " is back at once, with nothing");
    }

    /** Until when it or its whole zone is cut off. */
    long cutUntil() {
      return Math.max(cutUntil, zoneCutUntil.getOrDefault(zone, 0L));
    }

    /** Whether it does what it is told and can be told: no trouble of its own is left. */
    boolean well() {
      return works() && !failsAll && now >= cutUntil() && now >= deafUntil;
    }

    /** What the tasks on it that have not ended take. */
    Size used() {
      Size sum = Size.ZERO;
      for (Map.Entry<TaskId, OnMachine> e : tasks.entrySet()) {
        if (!e.getValue().exited()) {
          sum = sum.plus(records.get(e.getKey().job()).spec.size());
        }
      }
      return sum;
    }

    /** Whether the task is on it and has not ended. */
    boolean holds(TaskId task) {
      OnMachine t = tasks.get(task);
      return t != null && !t.exited();
    }

    private boolean works() {
      return !dead && now >= upAt && now >= hungUntil;
    }

    /** Before any of them does anything: in one step there is no before and after. */
    void forget() {
      if (works() && now - leaseFrom > LEASE) {
        tasks.clear();
        session++;
        leaseFrom = now;
        nextReport = now;
        say(id + " lets its lease run out");
      }
    }

    void step() {
      if (works()) {
        tasks.forEach(this::progress);
      }
    }

    private void progress(TaskId id, OnMachine t) {
      JobRecord job = records.get(id.job());
      if (t.state == Report.TaskState.FETCHING && now >= t.fetchedAt) {
        if (failsAll || job.spec.jobClass().equals(BROKEN)) {
          t.state = Report.TaskState.EXITED;
          t.cause = Report.ExitCause.ERROR;
          nextReport = now;
          return;
        }
        checkStart(this, id, job);
        t.state = Report.TaskState.RUNNING;
        t.endsAt = now + job.spec.estimate().times(runsTimes).ms();
      } else if (t.state == Report.TaskState.RUNNING && now >= t.endsAt) {
        t.state = Report.TaskState.EXITED;
        t.cause = Report.ExitCause.DONE;
        job.ran.set(id.index());
        nextReport = now;
      }
    }

    /** Its report was sent then: from then on its lease is renewed. */
    void answered(Lead by, long sent, List<Order> orders) {
      if (by.term.compareTo(token) >= 0) {
        turnedAway = false;
        leaseFrom = sent;
        obey(by.term, orders);
      }
    }

    void obey(Term from, List<Order> orders) {
      if (from.compareTo(token) < 0) {
        return;
      }
      if (!from.equals(token)) {
        token = from;
        if (now - tokenToldAt >= LEASE / 2) {
          tokenToldAt = now;
          nextReport = now + STEP;
        }
      }
      for (Order o : orders) {
        OnMachine t = tasks.get(o.task());
        if (o instanceof Order.Launch) {
          if (t == null) {
            tasks.put(o.task(), new OnMachine(o.attempt(), now + 1000));
            say(id + " is told to launch " + o.task());
            nextReport = now + STEP;
          }
        } else if (t != null && t.attempt.equals(o.attempt())) {
          if (o instanceof Order.Halt && !t.exited()) {
            t.state = Report.TaskState.EXITED;
            t.cause = Report.ExitCause.STOPPED;
            say(id + " stops " + o.task());
            nextReport = now + STEP;
          } else if (o instanceof Order.Clear && t.exited()) {
            tasks.remove(o.task());
          }
        }
      }
    }
  }

  /** A node that leads, or believes so. */
  final class Lead {
    final Term term;
    final Authority authority;

    /** Null until the records have been read. */
    Leader core;

    /** The ledger as it knows it: a write replaces all of it, as a page's does. */
    final Set<Leader.LedgerEntry> page = new LinkedHashSet<>();

    /** What no answered write has brought to the ledger. */
    final Set<Leader.LedgerEntry> unwritten = new LinkedHashSet<>();

    long cutUntil;
    long readsUntil;

    /** Until then the state service refuses it alone. */
    long refusedUntil;

    /** Whether another holds the office, or nobody. */
    boolean over;

    Lead(Term term, Authority authority) {
      this.term = term;
      this.authority = authority;
    }

    /** Whether the state service serves it. */
    boolean served() {
      return now >= refusedUntil && now >= stateDownUntil;
    }

    boolean cut() {
      return now < cutUntil;
    }
  }

  private record Held(long until, Report report) {}

  /** An answer that is held up on its way; the worker waits for it, for so long as it waits. */
  private record Underway(
      long at, long sent, long session, Worker to, Lead by, List<Order> orders) {}

  /** A transaction without an answer that is carried out late, if its guards still hold. */
  private record LateWrite(long until, Term by, BooleanSupplier guard, Runnable write) {}

  static final MachineType TYPE =
      new MachineType("box", new Size(8, 0, 32), 1, 0.4, 0.1, Span.seconds(15), List.of("a", "b"));

  /** What the cloud rents. */
  MachineType type = TYPE;

  final UniformRandomProvider random;
  final Policy policy;
  final Map<JobId, JobRecord> records = new TreeMap<>();
  final Set<Leader.LedgerEntry> ledger = new LinkedHashSet<>();
  final Map<MachineId, Worker> workers = new TreeMap<>();
  final List<String> trace = new ArrayList<>();
  final List<String> broken = new ArrayList<>();
  final List<Lead> old = new ArrayList<>();
  private final TeamLimits limits = new TeamLimits(this);
  private final List<Held> held = new ArrayList<>();
  private final List<LateWrite> lateWrites = new ArrayList<>();

  private final List<Underway> underway = new ArrayList<>();

  /** Which part of the answers takes up to 5 s; a worker drops what takes more than 4. */
  double slow;

  /** Until then the state service serves nobody. */
  long stateDownUntil;

  /** How long a new leader reads. */
  long readingMs;

  /** Which part of a leader's transactions gets no answer and is carried out 2 to 12 s later. */
  double late;

  /** Leaders whose lease ended while they were refused: workers stay until they are sent away. */
  private final List<Lead> refused = new ArrayList<>();

  Lead lead;
  private Lead unaware;
  private long unawareUntil;
  private long ledgerVersion;
  long now = 1000;
  long termNumber;
  long electAt;
  long cloudDownUntil;
  int started;
  private int machineNumber;

  /** Guards that a test may take away, to see that the checks would notice. */
  boolean forgetLedger;

  boolean forgetArrivals;

  /** Whether leaders that are well lose the office without knowing. */
  boolean supersede;

  double loss;

  /** Whether clocks of nodes differ, and what tasks take beside their estimates. */
  boolean clocksApart;

  double runsTimes = 1;
  private long revision;

  /** What the order rests on, as the state service holds it; null: nothing yet. */
  private Basis basis;

  int basisWrites;

  /** Mornings as the state service holds them. */
  final Map<String, Morning> mornings = new TreeMap<>();

  int morningWrites;

  /** How often a copy of a report comes once more, up to three leases later. */
  double copies;

  /** Whether the state service's troubles meet others. */
  boolean meetings;

  /** Whether machines go deaf and come back at once, beside the other faults. */
  boolean oneWay;

  /** Which part of a leader's transactions is carried out at once, with only its answer lost. */
  double answersLost;

  /** Until then each write of the ledger gets no answer and is carried out 2 to 12 s later. */
  long ledgerLagsUntil;

  /** How soon machines are up at least, and in how many steps more at most. */
  long bootMs = 8000;

  int bootSteps = 16;

  /** Until when a whole zone is cut off, with the controllers in it. */
  final Map<String, Long> zoneCutUntil = new TreeMap<>();

  /** Reports and results told to, and launches of, leaders that were cut off at the time. */
  int reportsToCutLeaders;

  int launchesOfCutLeaders;

  int endsToldToCutLeaders;

  /** Copies of reports that wait for the next leader. */
  final NextLeaderCopies nextLeader = new NextLeaderCopies(this);

  /** What the operators ask for once all troubles are over. */
  final CalmChecks calm = new CalmChecks(this);

  /** What the cloud has to give. */
  int mostMachines = 24;

  int mostInZone = Integer.MAX_VALUE;

  World(long seed, Policy policy) {
    this.random = new SplitMix64(seed);
    this.policy = policy;
    this.electAt = now;
  }

  static Policy policy(Span lease) {
    return Policies.of(
        lease,
        Authority.keepBound(Span.millis(LEASE), Span.millis(CANCEL)),
        1800,
        new Policy.Team("red", 16, 48, 0, 0),
        new Policy.Team("blue", 0, 0, 0, 0),
        new Policy.Team("green", 0, 0, 0, 0));
  }

  Time time() {
    return new Time(now);
  }

  void say(String what) {
    trace.add(String.format("%7.1f  %s", now / 1000.0, what));
  }

  boolean chance(double p) {
    return random.nextDouble() < p;
  }

  void submit(JobSpec spec) {
    // Clocks of the nodes that take jobs are apart by up to a quarter of a second.
    records.put(spec.id(), new JobRecord(spec, now - skewMs(spec), ++revision));
    say(spec.id() + " is submitted");
  }

  private long skewMs(JobSpec spec) {
    return clocksApart ? Math.floorMod(spec.id().hashCode(), 250) : 0;
  }

  void cancel(JobId id) {
    JobRecord r = records.get(id);
    if (!r.over && now >= stateDownUntil) {
      r.over = true;
      r.cancelledAt = now;
      say(id + " is cancelled");
    }
  }

  /** A rule: nothing starts twice, in the wrong place, beyond a limit, or after a cancel. */
  private void checkStart(Worker w, TaskId id, JobRecord job) {
    started++;
    job.startedAt = job.startedAt < 0 ? now : job.startedAt;
    say(id + " starts on " + w.id);
    double team = 0;
    int zoneHere = 0;
    int zoneElsewhere = 0;
    for (Worker other : workers.values()) {
      // One that hangs past its lease does nothing before it has forgotten its tasks (PROTOCOL).
      if (other.dead || (now < other.hungUntil && now - other.leaseFrom > LEASE)) {
        continue;
      }
      for (Map.Entry<TaskId, OnMachine> e : other.tasks.entrySet()) {
        boolean on = e.getValue().state == Report.TaskState.RUNNING;
        boolean self = other == w && e.getKey().equals(id);
        if (!on && !self) {
          continue;
        }
        if (!self && e.getKey().equals(id)) {
          broken.add("ran_twice: " + id + " on " + w.id + " and " + other.id + " at " + now);
        }
        JobRecord r = records.get(e.getKey().job());
        if (r.spec.team().equals(job.spec.team())) {
          team += r.spec.size().cores();
        }
        if (r == job && !self) {
          if (other.zone.equals(w.zone)) {
            zoneHere++;
          } else {
            zoneElsewhere++;
          }
        }
      }
    }
    double limit = policy.teams().get(job.spec.team()).coresLimit();
    if (limit > 0 && team > limit) {
      broken.add("quota: " + job.spec.team() + " uses " + team + " at " + now);
    }
    JobSpec s = job.spec;
    if (!s.allows("box", w.zone, w.spot)
        || (s.oneZone() && zoneElsewhere > 0)
        || (s.spread() && zoneHere + 1 > s.spreadLimit())) {
      broken.add("wrong_place: " + id + " on " + w.id + " at " + now);
    }
    if (job.cancelledAt >= 0 && now > job.cancelledAt + CANCEL) {
      broken.add("ran_cancelled: " + id + " starts at " + now);
    }
  }

  private void checkCancelled() {
    for (Worker w : workers.values()) {
      for (TaskId id : w.tasks.keySet()) {
        JobRecord r = records.get(id.job());
        boolean on = !w.dead && !w.tasks.get(id).exited();
        if (on && r.cancelledAt >= 0 && now > r.cancelledAt + CANCEL && now >= w.hungUntil) {
          broken.add("ran_cancelled: " + id + " on " + w.id + " at " + now);
        }
      }
    }
  }

  void step() {
    now += STEP;
    lateWrites();
    lapse();
    elect();
    read();
    workers.values().forEach(Worker::forget);
    workers.values().forEach(Worker::step);
    deliverHeld();
    deliverAnswers();
    for (Worker w : new ArrayList<>(workers.values())) {
      report(w);
    }
    if (lead != null && !lead.cut()) {
      drive(lead);
    }
    for (Lead o : refused) {
      drive(o);
    }
    refused.removeIf(o -> o.served() || !o.authority.mayKeep(time()));
    driveUnaware();
    tickCutLeaders();
    checkCancelled();
    limits.check();
    PlaceChecks.check(this);
    calm.look();
  }

  private void tickCutLeaders() {
    for (Lead o : old) {
      if (o.cut()) {
        o.core.tick(time());
      }
    }
  }

  void run(double seconds) {
    for (long end = now + (long) (seconds * 1000); now < end; ) {
      step();
    }
  }

  /** The state service refuses the leader alone; workers and users still reach it. */
  void refuseLeader(long forMs) {
    if (lead != null) {
      say("the state service refuses the leader of term " + lead.term);
      lead.refusedUntil = now + forMs;
      electAt = now + LEADER_LEASE + 500;
    }
  }

  /** The state service serves nobody. Once that is over each lease has its full time again. */
  void stateDown(long forMs) {
    say("the state service is down for all");
    stateDownUntil = now + forMs;
    electAt = Math.max(electAt, stateDownUntil + LEADER_LEASE);
  }

  /** The lease of a leader that is refused, alone, ends. */
  private void lapse() {
    if (lead != null && now < lead.refusedUntil && now >= stateDownUntil && now >= electAt) {
      lead.over = true;
      refused.add(lead);
      lead = null;
    }
  }

  private void elect() {
    if (lead != null || now < electAt || now < stateDownUntil) {
      return;
    }
    Term term = new Term(++termNumber);
    Authority authority = new Authority(Span.millis(LEADER_LEASE), policy.keepAfterSync());
    authority.won(term, Stamp.ABSENT, time());
    lead = new Lead(term, authority);
    lead.readsUntil = now + readingMs;
    say("term " + term + " begins");
  }

  private void read() {
    if (lead == null || lead.core != null || now < lead.readsUntil || !lead.served()) {
      return;
    }
    List<Job> jobs = new ArrayList<>();
    for (JobRecord r : records.values()) {
      if (!r.over) {
        long arrived = forgetArrivals ? now : r.at;
        Job job = new Job(r.spec, arrived, (BitSet) r.done.clone(), r.started);
        job.dependenciesMet(r.started);
        job.stands(r.lane(), r.place);
        jobs.add(job);
      }
    }
    List<Leader.LedgerEntry> known = forgetLedger ? List.of() : new ArrayList<>(ledger);
    lead.page.addAll(ledger);
    lead.core = new Leader(policy, lead.term, jobs, known, true, List.of(type), time(), now);
    lead.authority.synced(time());
    lead.core.decided().basis(basis);
    lead.core.decided().mornings(mornings.values());
    nextLeader.deliver(lead);
  }

  /** A leader's write: now, or late and without an answer. */
  private boolean write(Lead by, BooleanSupplier guard, Runnable write) {
    return write(by, late > 0 && chance(late), guard, write);
  }

  private boolean write(Lead by, boolean lags, BooleanSupplier guard, Runnable write) {
    if (lags) {
      long until = now + 2000 + random.nextInt(20) * STEP;
      lateWrites.add(new LateWrite(until, by.term, guard, write));
      return false;
    }
    if (guard.getAsBoolean()) {
      write.run();
      return answersLost == 0 || !chance(answersLost);
    }
    return false;
  }

  /** Each is guarded by its leader's key. */
  private void lateWrites() {
    for (LateWrite l : List.copyOf(lateWrites)) {
      if (now >= l.until && now >= stateDownUntil) {
        lateWrites.remove(l);
        if (lead != null && lead.term.equals(l.by) && l.guard.getAsBoolean()) {
          l.write.run();
        }
      }
    }
  }

  /** The leader ends, or is cut off for so long; a successor comes when its lease is over. */
  void loseLeader(long cutFor) {
    if (lead == null) {
      return;
    }
    say(cutFor > 0 ? "the leader is cut off" : "the leader crashes");
    lead.over = true;
    if (cutFor > 0 && lead.core != null) {
      lead.cutUntil = now + cutFor;
      old.add(lead);
    }
    lead = null;
    electAt = now + LEADER_LEASE + 500;
  }

  /**
   * Another takes the office though the leader is well and does not know for so long. Its writes
   * and renewals fail from then on; workers come to it, its rentals and deletes are carried out.
   */
  void supersede(long unawareFor) {
    if (lead == null || lead.core == null) {
      return;
    }
    say("the leader is superseded and does not know");
    unaware = lead;
    unawareUntil = now + unawareFor;
    lead = null;
    electAt = now;
  }

  /** What a leader that does not know yet that it is none goes on with. */
  private void driveUnaware() {
    if (unaware != null && now >= unawareUntil) {
      unaware = null;
    }
    if (unaware == null) {
      return;
    }
    // Its renewals count only together with a look at its key; the watch of the jobs goes on.
    unaware.authority.synced(time());
    Leader core = unaware.core;
    for (JobRecord r : records.values()) {
      if (r.over && core.job(r.spec.id()) != null) {
        core.jobGone(r.spec.id(), time());
      } else if (!r.over) {
        // Whether a former leader may have started it was read at its own election.
        core.jobSeen(r.spec, r.at, false);
      }
    }
    core.toMark();
    core.tick(time(), unaware.authority.renewed());
    core.toLedger();
    rent(core);
  }

  private void report(Worker w) {
    if (w.dead || now < w.upAt || now < w.hungUntil || now < w.nextReport || now < w.waitsUntil) {
      return;
    }
    w.nextReport = now + 3000;
    Report r = w.report();
    if (now < w.muteUntil || now < w.cutUntil()) {
      w.turnedAway = true;
    }
    if (now < w.muteUntil) {
      // Refused at once: the next node is tried a second later.
      w.nextReport = now + 1000;
      return;
    }
    nextLeader.sent(r);
    if (now < w.cutUntil()) {
      // Held back by the cut, and delivered when it ends, however old it is by then.
      held.add(new Held(w.cutUntil(), r));
      return;
    }
    if (chance(copies)) {
      held.add(new Held(now + 1000 + random.nextInt(3 * (int) LEASE), r));
    }
    // Workers that the old one serves stay with it until it sends them away.
    Lead to =
        unaware != null && (lead == null || w.token.equals(unaware.core.term())) ? unaware : lead;
    if (unaware != null && (w.turnedAway || chance(0.2))) {
      to = lead;
    }
    if (refused.contains(w.at) && w.at.authority.mayKeep(time())) {
      to = w.at;
    }
    for (Lead o : old) {
      if (o.cut() && w.zone.equals("b")) {
        to = o;
      }
    }
    if (to == null) {
      return;
    }
    w.at = to;
    answer(w, to, r, true);
  }

  private void answer(Worker w, Lead to, Report r, boolean inTime) {
    if (!to.authority.mayKeep(time()) || r.token().compareTo(to.term) > 0) {
      return;
    }
    if (to.core == null) {
      // What a node that is about to read would answer: its token, and nothing else.
      if (inTime) {
        w.answered(to, now, List.of());
      }
      return;
    }
    List<Order> orders = to.core.onReport(r, to.authority.mayLaunch(time()), time());
    if (!inTime) {
      return;
    }
    if (to.cut()) {
      countAtCutLeader(r, orders);
    }
    if (now < w.deafUntil) {
      // It waits for 4 s, and a second later it asks the other nodes, which it does not hear
      // either.
      w.tick += 2;
      w.nextReport = now + 15_000;
      return;
    }
    if (orders == null || chance(loss)) {
      return;
    }
    if (slow > 0 && chance(slow)) {
      long at = now + STEP * (1 + random.nextInt(10));
      underway.add(new Underway(at, now, w.session, w, to, orders));
      w.waitsUntil = Math.min(at, now + PATIENCE);
      return;
    }
    w.answered(to, now, orders);
  }

  private void countAtCutLeader(Report r, List<Order> orders) {
    reportsToCutLeaders++;
    endsToldToCutLeaders +=
        (int) r.tasks().stream().filter(t -> t.cause() == Report.ExitCause.DONE).count();
    if (orders != null) {
      launchesOfCutLeaders += (int) orders.stream().filter(o -> o instanceof Order.Launch).count();
    }
  }

  private void deliverAnswers() {
    for (Underway u : List.copyOf(underway)) {
      // What has reached a machine that hangs is read when it goes on.
      boolean read = u.to.works() || now - u.sent > PATIENCE;
      if (now >= u.at && read) {
        underway.remove(u);
        boolean heard = u.to.works() && now >= u.to.deafUntil && u.session == u.to.session;
        if (heard && now - u.sent <= PATIENCE) {
          u.to.answered(u.by, u.sent, u.orders);
        }
      }
    }
  }

  private void deliverHeld() {
    for (Held h : new ArrayList<>(held)) {
      if (now >= h.until && lead != null) {
        held.remove(h);
        Worker w = workers.get(h.report.machine());
        if (w != null) {
          answer(w, lead, h.report, false);
        }
      }
    }
  }

  private void drive(Lead l) {
    Leader core = l.core;
    if (core == null) {
      return;
    }
    if (!l.served() || l.over) {
      core.tick(time(), l.authority.renewed());
      return;
    }
    l.authority.renewed(time());
    l.authority.synced(time());
    for (JobRecord r : records.values()) {
      if (r.over && core.job(r.spec.id()) != null) {
        core.jobGone(r.spec.id(), time());
      } else if (!r.over) {
        core.jobSeen(r.spec, r.at, r.started, r.lane(), r.place);
      }
    }
    core.toMark();
    for (Job j : core.jobs()) {
      // As the pages do, it is written again until a write was answered.
      JobRecord r = records.get(j.id());
      if (!j.startRecorded && !j.cancelled && write(l, () -> true, () -> r.started = true)) {
        core.recorded(j, (BitSet) r.done.clone());
      }
    }
    // By turns the leader has time and has none.
    core.load(now / 9000 % 3 == 0 ? 1 : 0.3, 0.1, 0, time());
    core.tick(time(), l.authority.renewed());
    for (Job j : core.toFinish()) {
      JobRecord r = records.get(j.id());
      if (write(l, () -> !r.over, () -> finish(r)) || r.over) {
        core.finished(j, time());
      }
    }
    for (Job j : core.toRecord()) {
      JobRecord r = records.get(j.id());
      BitSet done = (BitSet) j.doneTasks().clone();
      long version = r.version;
      core.recording(j);
      if (write(l, () -> r.version == version, () -> r.progress(done))) {
        core.recorded(j, done);
      } else {
        j.dirty = true;
      }
    }
    Basis written = core.decided().basisToRecord(time());
    if (written != null) {
      basis = written;
      basisWrites++;
      core.decided().basisRecorded(written, true);
    }
    Morning morning = core.decided().morningToRecord(time());
    if (morning != null) {
      morningWrites++;
      mornings.put(morning.name(), morning);
      core.decided().morningRecorded(morning, true);
    }
    core.decided().morningsToForget().forEach(mornings::remove);
    List<Leader.LedgerEntry> entries = core.toLedger();
    l.page.addAll(entries);
    l.unwritten.addAll(entries);
    if (!l.unwritten.isEmpty()) {
      Set<Leader.LedgerEntry> all = new LinkedHashSet<>(l.page);
      long version = ledgerVersion;
      boolean lags = now < ledgerLagsUntil || (late > 0 && chance(late));
      if (write(l, lags, () -> ledgerVersion == version, () -> replaceLedger(all))) {
        core.ledgered(List.copyOf(l.unwritten));
        l.unwritten.clear();
      }
    }
    rent(core);
  }

  private void replaceLedger(Set<Leader.LedgerEntry> by) {
    ledger.clear();
    ledger.addAll(by);
    ledgerVersion++;
  }

  /** The end of a job, guarded by there being none. */
  private void finish(JobRecord r) {
    r.over = true;
    r.overAt = now;
    say(r.spec.id() + " is done");
    if (r.ran.cardinality() < r.spec.tasks()) {
      broken.add("not_done: " + r.spec.id() + " at " + now);
    }
  }

  private void rent(Leader core) {
    if (now < cloudDownUntil) {
      return;
    }
    for (Rental r : core.toRent(time())) {
      List<MachineId> hosts = new ArrayList<>();
      for (int i = 0; i < r.count() && given(r.zone()); i++) {
        MachineId id = new MachineId(String.format("vm-%06d", machineNumber++));
        workers.put(
            id,
            new Worker(id, r.zone(), r.spot(), now + bootMs + random.nextInt(bootSteps) * STEP));
        hosts.add(id);
      }
      say(hosts.size() + " of " + r.count() + " machines are rented in " + r.zone());
      core.hired(r, hosts, time());
    }
    List<MachineId> gone = core.toDelete(time());
    if (!gone.isEmpty()) {
      gone.forEach(workers::remove);
      // Gone is gone, whoever writes that down, and whenever.
      if (lead != null) {
        lead.page.removeIf(e -> gone.contains(e.id()));
      }
      ledger.removeIf(e -> gone.contains(e.id()));
      core.deleted(gone, time());
      say(gone.size() + " machines are returned");
    }
  }

  private boolean given(String zone) {
    return workers.size() < mostMachines
        && workers.values().stream().filter(m -> m.zone.equals(zone)).count() < mostInZone;
  }

  /** From now on nothing new goes wrong; what lasts runs out by itself. */
  void calmDown() {
    loss = 0;
    late = 0;
    slow = 0;
    copies = 0;
    answersLost = 0;
    nextLeader.share = 0;
    calm.begin();
  }

  /** Whether some trouble still lasts that was brought about before. */
  boolean troubled() {
    boolean machines =
        workers.values().stream()
            .anyMatch(
                m -> now < m.cutUntil() || now < m.hungUntil || now < m.deafUntil || m.failsAll);
    boolean leaders = lead == null || unaware != null || now < lead.refusedUntil;
    return machines
        || leaders
        || now < stateDownUntil
        || now < cloudDownUntil
        || !held.isEmpty()
        || !lateWrites.isEmpty()
        || old.stream().anyMatch(Lead::cut);
  }

  boolean inLedger(MachineId id) {
    return ledger.stream().anyMatch(e -> e.id().equals(id));
  }

  boolean allOver() {
    return records.values().stream().allMatch(r -> r.over);
  }

  Worker anyWorker() {
    List<Worker> all = new ArrayList<>(workers.values());
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }
}
