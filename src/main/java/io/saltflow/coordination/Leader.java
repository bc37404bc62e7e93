package io.saltflow.coordination;

import io.saltflow.lanes.Lane;
import io.saltflow.lanes.Place;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leading controller's mind: a deterministic core that is told what happened and when, and says
 * what is to be written, rented, returned and ordered. It knows no sockets and no clock.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final Span ROUND_EVERY = Span.seconds(1);
  private static final int MANY = 6;

  /** In parts of the pause between two whole rounds. */
  private static final double TICKS_A_ROUND = 0.25;

  /** So many times as far apart are whole rounds while there are machines to be heard first. */
  private static final double ROUNDS_WAIT = 3;

  private static final int MOST_REMEMBERED_GONE = 4000;

  /**
   * A report with so many tasks, each of which may take about 130 bytes, is well below the 64 KiB
   * that a body may have: a machine that keeps so many results gets no more work.
   */
  private static final int MOST_LISTED = 400;

  /** A machine that a former leader wrote down before it used it. */
  public record LedgerEntry(MachineId id, String type, String zone, boolean spot) {}

  /** What one queue's messages hold of their team's limit, and what those that wait would. */
  public record Demand(
      String team, Priority priority, Size held, Size wanted, long arrivedWallMs) {}

  private final Policy policy;
  private final Term term;
  private final Time tookOver;
  private final long wallMinusClockMs;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Estimates estimates;
  private final Account account;
  private final TaskOutcomes outcomes;
  private final Fencing fencing;
  private final Answers answers;
  private final Scheduler scheduler;
  private final Fleet fleet;
  private final Returns returns;
  private final Watchman watchman;
  private final Decided decided;
  private final TeamUse use;
  private final Usage usage = new Usage();
  private final Capacity capacity = new Capacity();
  private final Pipelines pipelines;
  private final Set<MachineId> goneForGood = new LinkedHashSet<>();
  private List<Scheduler.Waiting> waiting = List.of();
  private Backlog backlog = Backlog.NONE;
  private Span roundPause = new Span(0);
  private boolean accounted;
  private Time accountedAt;
  private boolean changed = true;
  private Time lastRound = Time.LONG_AGO;
  private Time lastTick = Time.LONG_AGO;
  private Time lastReport;

  /** Since when it has not stood still. */
  private Time awake;

  private boolean heardAny;

  public Leader(
      Policy policy,
      Term term,
      Collection<Job> jobs,
      Collection<LedgerEntry> ledger,
      boolean ledgerWhole,
      Collection<MachineType> knownTypes,
      Time now,
      long wallMs) {
    this.policy = policy;
    this.term = term;
    this.tookOver = now;
    this.lastReport = now;
    this.awake = now;
    this.wallMinusClockMs = wallMs - now.ms();
    estimates = new Estimates(policy);
    pipelines = new Pipelines(policy, estimates, wallMinusClockMs, this.jobs::get);
    for (Job job : jobs) {
      add(job);
    }
    pipelines.takenOver();
    account = new Account();
    use = new TeamUse(policy.teams());
    outcomes = new TaskOutcomes(policy, this.jobs, estimates, usage, account);
    fencing = new Fencing(policy, term, this.jobs, use, outcomes, account, now);
    outcomes.of(fencing);
    decided =
        new Decided(
            policy, this::job, this.jobs, fencing, estimates, use, account, term, wallMinusClockMs);
    scheduler = new Scheduler(policy, estimates, use, account, decided.basis());
    answers = new Answers(policy, term, tookOver, this.jobs, fencing, scheduler, use);
    fleet = new Fleet(policy, term, estimates, account);
    returns = new Returns(policy, account);
    watchman = new Watchman(policy, account);
    typesKnown(knownTypes);
    if (!ledgerWhole) {
      fencing.missesMachines();
    }
    for (LedgerEntry e : ledger) {
      Machine m = new Machine(e.id(), types.get(e.type()), e.type(), e.zone(), e.spot(), now);
      m.mightHoldOldTasks = true;
      m.ledgered = true;
      fencing.add(m);
    }
    LOG.info(
        "term {} begins with {} jobs and {} machines to account for",
        term,
        this.jobs.size(),
        ledger.size());
  }

  public Term term() {
    return term;
  }

  /** The jobs that are scheduled; those that wait for others are not among them. */
  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** Every job that is known to be live, those that wait for others too. */
  public List<JobId> live() {
    List<JobId> out = new ArrayList<>(jobs.keySet());
    pipelines.held().forEach(job -> out.add(job.id()));
    return out;
  }

  /** A live job, whether it is scheduled or waits for others; null: it is not known. */
  public Job job(JobId id) {
    Job job = jobs.get(id);
    return job == null ? pipelines.held(id) : job;
  }

  /** Jobs that depend on others. */
  public Pipelines pipelines() {
    return pipelines;
  }

  public boolean knowsTypes() {
    return !types.isEmpty();
  }

  public void typesKnown(Collection<MachineType> list) {
    for (MachineType t : list) {
      types.put(t.name(), t);
    }
    for (Machine m : fencing.machines()) {
      m.type = types.get(m.typeName);
    }
    fencing.recount();
    changed = true;
  }

  /** It is scheduled, unless it waits for others. */
  private void add(Job job) {
    boolean waits = pipelines.added(job, wallMs(tookOver));
    setTimes(job);
    if (!waits) {
      jobs.put(job.id(), job);
    }
  }

  /** A deadline counts from the acceptance, all else from the end of the last job it needed. */
  private void setTimes(Job job) {
    job.arrivedAt = new Time(job.countsFromMs - wallMinusClockMs);
    Span wait = policy.startByClass().get(job.spec.jobClass());
    job.startBy = wait == null ? null : job.arrivedAt.plus(wait);
    if (job.spec.daemon()) {
      return;
    }
    Span deadline = job.spec.deadline();
    Span due = policy.dueByClass().get(job.spec.jobClass());
    if (deadline != null) {
      job.dueAt = new Time(job.arrivedWallMs - wallMinusClockMs).plus(deadline);
    } else if (due != null) {
      job.dueAt = job.arrivedAt.plus(due);
    }
  }

  /** Jobs of which all that they need is done are scheduled. */
  private void schedule(Time now) {
    boolean noneOfOldLeaders =
        accounted && now.since(accountedAt).longerThan(policy.lease().certainlyElsewhere());
    for (Job job : pipelines.takeReleased(noneOfOldLeaders)) {
      job.moved = decided.movedHow(job.id());
      setTimes(job);
      jobs.put(job.id(), job);
      changed = true;
    }
  }

  /** The record of a job's end was read: it is done, and ended at that time of day. */
  public void doneRead(JobId id, long endedMs, Time now) {
    pipelines.done(id, endedMs);
    schedule(now);
  }

  /** The record of a job's end was read, or written: it is cancelled. */
  public void cancelledRead(JobId id, Time now) {
    Job job = job(id);
    pipelines.cancelled(id);
    if (job != null) {
      cancel(job, now);
    }
  }

  /** The time of day, as far as this leader knew it when it began. */
  public long wallMs(Time now) {
    return now.ms() + wallMinusClockMs;
  }

  /** A job whose lane is that of its urgency, and whose place is told by its arrival. */
  public void jobSeen(JobSpec spec, long arrivedWallMs, boolean maybeStarted) {
    jobSeen(spec, arrivedWallMs, maybeStarted, Lane.of(spec.priority()), new Place(0, 0));
  }

  public void jobSeen(
      JobSpec spec, long arrivedWallMs, boolean maybeStarted, Lane lane, Place place) {
    if (job(spec.id()) == null) {
      Job job = new Job(spec, arrivedWallMs, new BitSet(), maybeStarted);
      job.stands(lane, place);
      job.moved = decided.movedHow(spec.id());
      add(job);
      changed = true;
      LOG.info(
          "{} arrived: {} {} tasks of {}, {}",
          spec.id(),
          spec.tasks(),
          spec.jobClass(),
          spec.team(),
          spec.priority());
    }
  }

  /**
   * Its record is gone though this leader did not end it: a user cancelled it. What needs it waits
   * until its end was read: an end of ours that was not answered may have been carried out.
   */
  public void jobGone(JobId id, Time now) {
    Job job = job(id);
    if (job == null || job.finishing) {
      return;
    }
    pipelines.gone(id);
    cancel(job, now);
  }

  private void cancel(Job job, Time now) {
    if (!job.cancelled) {
      LOG.info("{} was cancelled", job.id());
    }
    job.cancelled = true;
    changed = true;
    for (Presence p : job.present.values()) {
      p.stop(now, new Span(0));
    }
    forgetIfEmpty(job);
  }

  private void forgetIfEmpty(Job job) {
    if (job.cancelled && job.present.isEmpty()) {
      jobs.remove(job.id());
      fencing.ended(job);
      outcomes.over(job.id());
    }
  }

  /** Jobs whose last task is done and that are not yet recorded so. */
  public List<Job> toFinish() {
    List<Job> out = new ArrayList<>();
    for (Job job : jobs.values()) {
      if (job.allDone() && !job.finishing && !job.cancelled) {
        out.add(job);
      }
    }
    return out;
  }

  public void finishing(Job job, boolean underWay) {
    job.finishing = underWay;
  }

  public void finished(Job job, Time now) {
    if (jobs.remove(job.id()) != null) {
      decided.done(job);
      fencing.ended(job);
    }
    outcomes.over(job.id());
    double lateS = job.lateS(now);
    LOG.info("{} is done{}", job.id(), lateS > 0 ? ", " + Math.round(lateS) + " s late" : "");
    doneRead(job.id(), wallMs(now), now);
  }

  /** Jobs with progress that the state service does not hold yet. */
  public List<Job> toRecord() {
    List<Job> out = new ArrayList<>();
    for (Job job : jobs.values()) {
      if (job.dirty && !job.allDone() && !job.cancelled) {
        out.add(job);
      }
    }
    return out;
  }

  public void recording(Job job) {
    job.dirty = false;
  }

  /** Jobs whose record must say that they may be started before they are. */
  public List<Job> toMark() {
    List<Job> out = new ArrayList<>();
    for (Job job : jobs.values()) {
      if (!job.startRecorded && !job.startAsked && !job.cancelled) {
        job.startAsked = true;
        out.add(job);
      }
    }
    return out;
  }

  /** The state service holds these done tasks, and that the job may have been started. */
  public void recorded(Job job, BitSet done) {
    job.recorded = done;
    changed |= !job.startRecorded;
    job.startRecorded = true;
  }

  /** A worker's report; the orders that answer it, or null when it must not be obeyed. */
  public List<Order> onReport(Report r, boolean mayLaunch, Time now) {
    if (goneForGood.contains(r.machine())) {
      // A cut held the report back until its machine was deleted. Taken for a machine that is up,
      // it kept its tasks from starting elsewhere until it was found silent and deleted again.
      fencing.resultsOf(r, now);
      return null;
    }
    Machine before = fencing.find(r.machine());
    boolean knownUsable = before != null && before.accounted && !before.quiet;
    Machine m = fencing.onReport(r, types, capacity.hardOfHearing(now), now);
    if (m == null) {
      // A copy that comes late is no sign of anything, not even that somebody can reach us.
      return null;
    }
    lastReport = now;
    heardAny = true;
    m.quiet = m.deaf();
    if (m.quiet) {
      scheduler.takeBack(m);
    }
    changed |= m.accounted && !knownUsable;
    checkAccounted(now);
    if (m.mightHoldOldTasks && m.hearing.surelyDeaf()) {
      // It shows no answer of ours and lives by none, or by the next one alone, and then nobody
      // knows what it does. Without that its lease is over for certain before long.
      return null;
    }
    m.lastAnswered = now;
    m.hearing.answered(r.session(), r.sequence(), r.token().equals(term), now);
    List<Order> orders = new ArrayList<>();
    answers.clear(r, orders);
    if (roundDue(now)) {
      round(now);
    } else if (m.usable()) {
      scheduler.fill(m, accounted, now);
    }
    if (!m.accounted) {
      answers.haltOver(r, orders);
      return orders;
    }
    answers.halt(m, r, orders, now);
    if (mayLaunch && m.usable()) {
      boolean only = accountingFirst(now);
      answers.launch(m, MOST_LISTED - r.tasks().size(), accounted, only, orders, now);
    }
    return orders;
  }

  /**
   * Each launch makes its worker report twice more. While the machines of a former leader are still
   * to be heard and reports come faster than they can be read, only urgent work is started: others'
   * launches kept thousands of machines unheard until their leases, and all on them, were over.
   */
  private boolean accountingFirst(Time now) {
    return !accounted && capacity.hardOfHearing(now);
  }

  /**
   * Whole rounds look at every machine, so with a large fleet they are run at a bounded rate; in
   * between a machine that reports is looked at alone.
   */
  private boolean roundDue(Time now) {
    Span pause = accountingFirst(now) ? roundPause.times(ROUNDS_WAIT) : roundPause;
    return (changed || outcomes.changed() || decided.changed())
        && now.since(lastRound).compareTo(pause) >= 0;
  }

  private void checkAccounted(Time now) {
    if (accounted) {
      return;
    }
    use.unknown(fencing.unaccounted());
    if (fencing.allAccounted()) {
      accounted = true;
      accountedAt = now;
      fencing.forgetEnded();
      decided.accounted(now);
      changed = true;
      LOG.info(
          "every machine is accounted for, {} ms into term {}", now.since(tookOver).ms(), term);
    }
  }

  /** As {@link #tick(Time, Time)}, of a leader that nobody can have replaced. */
  public void tick(Time now) {
    tick(now, now);
  }

  /**
   * Once in a while: leases that are over, notices, and a round. It looks at every machine and
   * task, so with a large fleet not each call does.
   *
   * @param soleLeaderUntil nobody else was elected before this ({@link Authority#renewed()})
   */
  public void tick(Time now, Time soleLeaderUntil) {
    if (now.since(lastTick).compareTo(roundPause.times(TICKS_A_ROUND)) < 0) {
      return;
    }
    lastTick = now;
    schedule(now);
    usage.sample(fencing.machines(), now);
    fencing.tick(now, soleLeaderUntil);
    checkAccounted(now);
    for (Machine m : fencing.machines()) {
      drain(m, now);
      Time heard = Time.later(m.lastHeard, awake);
      m.quiet = m.up && (m.deaf() || now.since(heard).longerThan(policy.reportOverdue()));
    }
    for (Job job : new ArrayList<>(jobs.values())) {
      stopSurplus(job, now);
      forgetIfEmpty(job);
    }
    boolean due = !accountingFirst(now) && now.since(lastRound).compareTo(ROUND_EVERY) >= 0;
    if (roundDue(now) || due) {
      round(now);
    }
    watchman.look(fencing.machines(), jobs.values(), waiting, scheduler, now);
  }

  /** On a machine that the cloud will take, tasks that can save do so; the others may yet end. */
  private void drain(Machine m, Time now) {
    if (m.noticeAt == null) {
      return;
    }
    for (Presence p : m.presences.values()) {
      if (p.job.spec.checkpoints() && p.state == Presence.State.RUNNING) {
        p.stop(now, Preemption.grace(p));
      }
    }
  }

  private void round(Time now) {
    changed = false;
    outcomes.taken();
    lastRound = now;
    pipelines.passBack();
    backlog = Backlog.of(jobs.values(), types.values(), policy, estimates, now);
    fleet.retire(fencing.machines(), jobs.values(), backlog, now);
    decided.beforeRound(fencing.machines(), accounted, now);
    waiting = scheduler.round(jobs.values(), fencing.machines(), accounted, now);
    decided.afterRound(
        waiting,
        scheduler,
        job -> fleet.mayHave(job, types.values(), now),
        beforeLong(now),
        accounted,
        now);
    int items = jobs.size();
    for (Machine m : fencing.machines()) {
      items += 1 + m.presences.size();
    }
    roundPause = policy.roundPause(items);
  }

  /**
   * A service's version may have so many tasks on machines; more are stopped.
   *
   * @param disruptions the budget that all of the service's versions share
   */
  public void want(JobId id, Wanted wanted, Disruptions disruptions) {
    Job job = jobs.get(id);
    if (job != null && job.service()) {
      job.disruptions = disruptions;
      changed |= job.want(wanted);
    }
  }

  private void stopSurplus(Job job, Time now) {
    if (job.service()) {
      changed |= job.countLeaving();
      job.surplus().forEach(p -> p.stop(now, Preemption.grace(p)));
    }
  }

  /**
   * What the fleet is before long. While the cloud gives what it is asked for that is what all work
   * wants: a fleet that has just begun to grow says nothing of the morning.
   */
  private Size beforeLong(Time now) {
    Size sum = scheduler.fleet();
    boolean more = fleet.givesAll(now) && backlog.wanted() > sum.cores();
    return more ? new Size(backlog.wanted(), sum.gpus(), sum.memoryGb()) : sum;
  }

  /** What is decided and recorded beside launches: moves, the order's basis, mornings. */
  public Decided decided() {
    return decided;
  }

  /** What waits, lane by lane, and why the first of each does not start. */
  public List<Line> queue(Time now) {
    return QueueTold.of(
        waiting, accounted, scheduler.guaranteed(), use, decided.movesWanted(), now);
  }

  /**
   * A lane for people.
   *
   * @param why the first of it does not start
   * @param first its first jobs in order, with since when they wait
   */
  public record Line(String lane, int jobs, int tasks, String why, List<String> first) {}

  /** Jobs within their team's guarantee, as of the last round. */
  Set<JobId> guaranteed() {
    return scheduler.guaranteed();
  }

  /** Whether all machines that a former leader may have used are accounted for. */
  public boolean accountedFor() {
    return accounted;
  }

  /** Waiting jobs as the last round had them in order. */
  public List<JobId> waitingInOrder() {
    return waiting.stream().map(w -> w.job().id()).toList();
  }

  /** What the work queues use of the teams' limits, which they share with native jobs. */
  public void demands(List<Demand> demands) {
    use.messages(demands);
  }

  /**
   * Whether a message may go to its consumer: its team's limit has room for it besides what runs
   * and besides the native jobs that come before it by priority and arrival.
   */
  public boolean mayDeliver(String team, Size size, Priority priority, long arrivedWallMs) {
    if (!use.limited(team)) {
      return true;
    }
    Size before = Size.ZERO;
    for (Job job : jobs.values()) {
      boolean first =
          job.queuedAs().above(priority)
              || (job.queuedAs() == priority && job.countsFromMs < arrivedWallMs);
      if (first && job.spec.team().equals(team) && !job.cancelled && !job.failsEverywhere()) {
        before = before.plus(job.spec.size().times(job.pendingCount()));
      }
    }
    return use.mayDeliver(team, size, before);
  }

  /** Every machine that is known, for checks of what is held to be where. */
  Collection<Machine> machines() {
    return fencing.machines();
  }

  /** How often machines have been looked at for a task, for tests that bound a round's work. */
  long looks() {
    return scheduler.looks();
  }

  /** Rentals to ask for. Each stays open until {@link #hired} or {@link #refused}. */
  public List<Rental> toRent(Time now) {
    if (types.isEmpty() || unsure(now)) {
      return List.of();
    }
    List<Rental> out = new ArrayList<>();
    for (Fleet.Hire h :
        fleet.plan(waiting, backlog, fencing.machines(), types.values(), capacity.most(), now)) {
      account.happened("machines are asked for", h.count(), h.count() + " " + h.kind());
      out.add(new Rental(h));
    }
    return out;
  }

  /**
   * A new leader takes tasks that it has not heard of yet for waiting ones: renting for them would
   * buy machines that nobody needs.
   */
  private boolean unsure(Time now) {
    return !accounted && now.since(tookOver).compareTo(policy.silence().times(1.5)) < 0;
  }

  public void hired(Rental rental, List<MachineId> hosts, Time now) {
    Fleet.Hire h = rental.hire();
    fleet.answered(h, hosts.size(), now);
    for (MachineId id : hosts) {
      if (fencing.find(id) == null) {
        fencing.add(new Machine(id, h.type(), h.type().name(), h.zone(), h.spot(), h.asked()));
      }
    }
    changed = true;
  }

  public void refused(Rental rental, Time now) {
    fleet.answered(rental.hire(), 0, now);
  }

  /**
   * Machines that must be written down before they may be used. One that is not up yet is left out:
   * a new leader would have to wait for it although nothing was ever launched on it.
   */
  public List<LedgerEntry> toLedger() {
    List<LedgerEntry> out = new ArrayList<>();
    for (Machine m : fencing.machines()) {
      if (m.up && !m.ledgered && !m.ledgerAsked && !m.leaving) {
        m.ledgerAsked = true;
        out.add(new LedgerEntry(m.id, m.typeName, m.zone, m.spot));
      }
    }
    return out;
  }

  public void ledgered(List<LedgerEntry> entries) {
    for (LedgerEntry e : entries) {
      Machine m = fencing.find(e.id());
      if (m != null && !m.ledgered) {
        m.ledgered = true;
        changed = true;
      }
    }
  }

  /** Machines to delete; each stays asked for until {@link #deleted}. */
  public List<MachineId> toDelete(Time now) {
    if (types.isEmpty()) {
      // A leader elected in its first second may not have read the types yet: every machine would
      // look like one of an unknown type, and be returned with all that runs on it.
      return List.of();
    }
    Time deafUntil = capacity.deafUntil();
    return returns.toReturn(fencing.machines(), deafUntil, tookOver, accountedAt, now);
  }

  /** The cloud confirmed: the machines and all on them are gone. */
  public void deleted(List<MachineId> ids, Time now) {
    for (MachineId id : ids) {
      Machine m = fencing.find(id);
      if (m != null) {
        // What the last round gave to it goes elsewhere. It was held for the machine that is gone,
        // when that failed between two rounds, and its job was never done under this leader.
        scheduler.takeBack(m);
      }
      fencing.deleted(id, now);
      outcomes.gone(id);
      goneForGood.add(id);
    }
    while (goneForGood.size() > MOST_REMEMBERED_GONE) {
      goneForGood.remove(goneForGood.iterator().next());
    }
    checkAccounted(now);
  }

  /** The cloud's list: it shows machines that we did not know, and those that failed. */
  public void listed(List<CloudCodec.Listed> list, Time now) {
    for (Machine m : fencing.machines()) {
      m.unlisted = true;
    }
    for (CloudCodec.Listed l : list) {
      Machine m = fencing.find(l.id());
      if (m == null) {
        if (l.failed() || goneForGood.contains(l.id())) {
          // The list lags: machines already gone are listed for a while, and would count as room.
          continue;
        }
        Time rented = new Time(now.ms() - l.age().ms());
        fencing.add(new Machine(l.id(), types.get(l.type()), l.type(), l.zone(), l.spot(), rented));
        account.happened("machines are listed that this leader did not know", l.id());
        changed = true;
      } else {
        m.unlisted = false;
        if (l.failed()) {
          m.fails(now);
        }
        m.paidFrom = Time.earlier(m.paidFrom, new Time(now.ms() - l.age().ms()));
      }
    }
  }

  /**
   * What serving all this cost the process in the last second.
   *
   * @param busy the part of it that the one thread was at work, 0 to 1
   * @param heap the part of the heap that is held, 0 to 1
   * @param turnedAway connections that were closed for want of sockets
   */
  public void load(double busy, double heap, int turnedAway, Time now) {
    int machines = fencing.machines().size();
    capacity.look(new Capacity.Load(busy, heap, turnedAway), machines, now);
    account.level(Account.Trouble.FULL, capacity.full() ? machines : 0, capacity.what(), now);
  }

  /** Whether workers that should report have all been silent: we may be the ones cut off. */
  public boolean deaf(Time now) {
    int expected = 0;
    for (Machine m : fencing.machines()) {
      if (m.up || m.mightHoldOldTasks) {
        expected++;
      }
    }
    // With many machines some report comes every moment: a short silence of all says enough.
    Span silence = expected >= MANY ? policy.reportOverdue() : policy.report().times(3);
    // One that stood still was not cut off. In an outage it gave up the office on waking, with all
    // workers about to report to it and nobody else able to lead.
    Time heard = Time.later(lastReport, awake);
    return heardAny && expected >= 2 && now.since(heard).longerThan(silence);
  }

  /**
   * This process stood still until now: that nothing was heard meanwhile says nothing of machines.
   * Leases count on, as theirs did.
   */
  public void stoodStill(Time now) {
    awake = now;
    capacity.deaf(now);
  }

  /** What it holds, in a few words. */
  public String holdings() {
    return jobs.size() + " jobs and " + fencing.machines().size() + " machines";
  }

  /** One line that tells the state of things to whoever reads the log. */
  public String summary() {
    return Totals.of(jobs.size(), fencing.machines(), waiting, answers.launches(), usage);
  }
}
