package io.saltflow.coordination;

import io.saltflow.packing.Box;
import io.saltflow.packing.Fit;
import io.saltflow.packing.Kept;
import io.saltflow.packing.Move;
import io.saltflow.packing.Piece;
import io.saltflow.packing.Plan;
import io.saltflow.packing.Planner;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicas that are moved so that a large task fits: asks {@link Planner}, keeps room for both ends
 * of each move and for the task, and stops replicas one by one. It starts nothing: a replica that
 * was stopped, and is proven gone, waits like any other task, with room kept for it. So a plan can
 * be given up at any moment, by any leader, and nothing is lost but the time.
 */
final class Moves {
  private static final Logger LOG = LoggerFactory.getLogger(Moves.class);

  /** A task that comes by room within this is left to it. */
  private static final Span WAITS = Span.seconds(4);

  /** Steps of one search, of which a round makes one: some milliseconds of a tenth of a core. */
  private static final int BUDGET = 1500;

  private static final Span PLAN_EVERY = Span.seconds(2);

  /** A replica is away for as long as it takes to fetch its image, and now and then for a retry. */
  private static final Span MOST_TIME = Span.seconds(300);

  /** No replica is moved again within this. */
  private static final Span STAYS = Span.seconds(600);

  /** For people, and for what may not be moved again. */
  private static final int MOST_KEPT = 60;

  /** In parts of the machines with accelerators: plans that go on at once, and moves an hour. */
  private static final double OPEN_PART = 0.25;

  private static final int MOVES_AN_HOUR = 6;

  /** When so many of the machines are being taken back, none is cleared. */
  private static final double WAVE = 0.1;

  /** What a replica's absence costs beside its fetch, in seconds: stopping, reports, starting. */
  private static final double AWAY_S = 8;

  private static final double SINGLE_S = 20;
  private static final double URGENT_S = 15;

  private static final class Open {
    Kept kept;

    /** The state service holds it: its steps may begin. */
    boolean recorded;

    final Time since;

    Open(Kept kept, boolean recorded, Time since) {
      this.kept = kept;
      this.recorded = recorded;
      this.since = since;
    }
  }

  private final Map<JobId, Job> jobs;
  private final Function<MachineId, Machine> machines;
  private final Estimates estimates;
  private final Account account;
  private final Term term;
  private final long wallMinusClockMs;
  private final Map<String, Open> open = new LinkedHashMap<>();
  private final Map<String, Kept> over = new LinkedHashMap<>();
  private final Map<JobId, Time> misfits = new HashMap<>();
  private final Map<JobId, String> why = new LinkedHashMap<>();
  private final List<Kept> toRecord = new ArrayList<>();
  private final List<String> toForget = new ArrayList<>();
  private Time lastPlan = Time.LONG_AGO;
  private long sequence;

  Moves(
      Map<JobId, Job> jobs,
      Function<MachineId, Machine> machines,
      Estimates estimates,
      Account account,
      Term term,
      long wallMinusClockMs) {
    this.jobs = jobs;
    this.machines = machines;
    this.estimates = estimates;
    this.account = account;
    this.term = term;
    this.wallMinusClockMs = wallMinusClockMs;
  }

  /** What a former leader had planned, and what became of earlier plans. */
  void inherit(Collection<Kept> plans, Time now) {
    for (Kept k : plans) {
      if (k.ended() == null) {
        open.put(k.name(), new Open(k, true, clock(k.plannedMs(), now)));
        LOG.info("goes on with {}", text(k));
      } else {
        over.put(k.name(), k);
      }
    }
  }

  /** By this leader's clock; a time of day ahead of ours counts as now. */
  private Time clock(long wallMs, Time now) {
    return Time.earlier(now, new Time(wallMs - wallMinusClockMs));
  }

  private long wall(Time now) {
    return now.ms() + wallMinusClockMs;
  }

  /**
   * Plans to write, each whole under its name; those that are open begin when that is confirmed.
   */
  List<Kept> takeToRecord() {
    List<Kept> out = List.copyOf(toRecord);
    toRecord.clear();
    return out;
  }

  /** Names of plans that nobody needs to know of any more. */
  List<String> takeToForget() {
    List<String> out = List.copyOf(toForget);
    toForget.clear();
    return out;
  }

  /** The state service holds it, or the write was refused: then it is written again. */
  void recorded(Kept kept, boolean ok) {
    Open o = open.get(kept.name());
    if (ok && o != null && o.kept == kept) {
      o.recorded = true;
    } else if (!ok) {
      toRecord.add(o == null ? over.getOrDefault(kept.name(), kept) : o.kept);
    }
  }

  /** Before a round: what goes on, what has ended, and what is kept for whom. */
  void proceed(Collection<Machine> all, boolean accounted, Time now) {
    for (Machine m : all) {
      m.keeps.clear();
    }
    for (Open o : List.copyOf(open.values())) {
      String ended = ended(o, accounted, now);
      if (ended != null) {
        end(o, ended.isEmpty(), ended, now);
        continue;
      }
      Machine clear = machines.apply(o.kept.clear());
      Job wish = jobs.get(o.kept.wish());
      if (clear != null && wish != null) {
        clear.keep(wish.id(), wish.spec.size());
      }
      for (Move move : o.kept.moves()) {
        step(o, move, accounted, now);
      }
    }
  }

  /** Null: it goes on; empty: it is done; else why it is given up. */
  private String ended(Open o, boolean accounted, Time now) {
    Job wish = jobs.get(o.kept.wish());
    if (wish == null || wish.cancelled || wish.finishing) {
      return "its job is over";
    }
    for (Presence p : wish.present.values()) {
      if (p.machine.id.equals(o.kept.clear())) {
        return "";
      }
    }
    Machine clear = machines.apply(o.kept.clear());
    if (clear == null || clear.goesSoon()) {
      return "the machine that it cleared is gone or about to go";
    }
    if (accounted && wish.pendingCount() == 0) {
      return "its job found room elsewhere";
    }
    if (now.since(o.since).longerThan(MOST_TIME)) {
      return "it took too long";
    }
    for (Move move : o.kept.moves()) {
      Machine to = machines.apply(move.to());
      if (where(move) == clear && (to == null || to.goesSoon())) {
        return "a machine that a replica was to go to is gone or about to go";
      }
      if (where(move) == clear && !sizeOf(move).fitsIn(to.free())) {
        return "there is no room any more where a replica was to go";
      }
    }
    return null;
  }

  private Size sizeOf(Move move) {
    return jobs.get(move.task().job()).spec.size();
  }

  private Machine where(Move move) {
    Job job = jobs.get(move.task().job());
    Presence p = job == null ? null : job.present.get(move.task().index());
    return p == null ? null : p.machine;
  }

  /** Stops a replica whose turn it is; room at its new place is kept from the beginning. */
  private void step(Open o, Move move, boolean accounted, Time now) {
    Job job = jobs.get(move.task().job());
    Machine to = machines.apply(move.to());
    if (job == null || job.cancelled || to == null) {
      return;
    }
    Presence p = job.present.get(move.task().index());
    boolean there = p != null && p.machine == to;
    if (there || (p != null && !p.machine.id.equals(move.from()))) {
      return;
    }
    to.keep(job.id(), job.spec.size());
    boolean mayStop =
        p != null
            && !p.stopping
            && o.recorded
            && accounted
            && to.usable()
            && job.spec.size().fitsIn(to.free())
            && job.pendingCount() == 0
            && job.present.values().stream().noneMatch(each -> each.stopping)
            && allowedWithout(job, p, to)
            && (!job.service() || (job.disruptions != null && job.disruptions.covers(1)));
    if (mayStop) {
      if (job.service()) {
        job.disruptions.take(1);
      }
      account.happened(
          "replicas are moved to make room",
          move.task() + " to " + to.id + " for " + o.kept.wish());
      p.stop(now, Preemption.grace(p));
    }
  }

  /** Whether the job's zones allow the replica there once it has left. */
  private static boolean allowedWithout(Job job, Presence p, Machine to) {
    return p.machine.zone.equals(to.zone) || !(job.spec.oneZone() && job.present.size() > 1);
  }

  private void end(Open o, boolean done, String reason, Time now) {
    Kept k = o.kept.ended(done, reason, wall(now));
    open.remove(k.name());
    over.put(k.name(), k);
    toRecord.add(k);
    LOG.info("{}: {}", text(k), done ? "done, it has its room" : "given up, " + reason);
    while (over.size() > MOST_KEPT) {
      String oldest = over.keySet().iterator().next();
      over.remove(oldest);
      toForget.add(oldest);
    }
  }

  /**
   * After a round: whether moves are worth it for one who waits. They are where its task fits by
   * sum on machines that it may use and on none of them, nothing suitable is on its way and the
   * cloud has lately refused all that would do.
   *
   * @param mayRent whether the cloud may still have a machine for the job
   */
  void plan(
      List<Scheduler.Waiting> waiting,
      List<Machine> usable,
      List<Machine> booting,
      Function<Job, Boolean> mayRent,
      boolean accounted,
      Time now) {
    why.clear();
    Set<JobId> still = new java.util.HashSet<>();
    List<Scheduler.Waiting> wishes = new ArrayList<>();
    for (Scheduler.Waiting w : waiting) {
      Job job = w.job();
      // Cores come free all the time; accelerators, and room for what stays, do not.
      boolean lasting = job.spec.daemon() || job.spec.size().gpus() > 0;
      if (lasting && w.tasks() > 0 && !w.held() && !job.failsEverywhere()) {
        still.add(job.id());
        misfits.putIfAbsent(job.id(), now);
        if (now.since(misfits.get(job.id())).compareTo(WAITS) >= 0) {
          wishes.add(w);
        }
      }
    }
    misfits.keySet().retainAll(still);
    if (wishes.isEmpty() || now.since(lastPlan).compareTo(PLAN_EVERY) < 0) {
      return;
    }
    String not = notNow(usable, accounted, now);
    if (not != null) {
      wishes.forEach(w -> why.put(w.job().id(), not));
      return;
    }
    lastPlan = now;
    for (Scheduler.Waiting w : wishes) {
      if (tryFor(w.job(), usable, booting, mayRent, now)) {
        return;
      }
    }
  }

  private String notNow(List<Machine> usable, boolean accounted, Time now) {
    if (!accounted) {
      return "nothing is moved while a takeover is not accounted for";
    }
    long leaving = usable.stream().filter(Machine::goesSoon).count();
    if (leaving > usable.size() * WAVE) {
      return "nothing is moved while machines are being taken back";
    }
    long with = usable.stream().filter(m -> m.type.size().gpus() > 0).count();
    if (open.size() >= Math.max(2, with * OPEN_PART)) {
      return "other moves go on";
    }
    long hour = wall(now) - 3_600_000;
    long moves =
        over.values().stream()
            .filter(k -> k.plannedMs() > hour)
            .mapToLong(k -> k.moves().size())
            .sum();
    return moves >= Math.max(24, with * MOVES_AN_HOUR) ? "enough was moved this hour" : null;
  }

  private boolean tryFor(
      Job job,
      List<Machine> usable,
      List<Machine> booting,
      Function<Job, Boolean> mayRent,
      Time now) {
    if (open.values().stream().anyMatch(o -> o.kept.wish().equals(job.id()))) {
      why.put(job.id(), "room is being made for it");
      return false;
    }
    for (Machine m : booting) {
      boolean soon = !m.late(now) && job.spec.size().fitsIn(m.type.size());
      if (soon && Placement.allowed(job, m)) {
        why.put(job.id(), "a machine for it is on its way");
        return false;
      }
    }
    if (mayRent.apply(job)) {
      why.put(job.id(), "a machine may be rented for it");
      return false;
    }
    List<Box> boxes = new ArrayList<>();
    Size sum = Size.ZERO;
    for (Machine m : usable) {
      boolean wanted = Placement.allowed(job, m) && !m.retiring;
      // What the round has just given to it is not free, though nobody there knows of it yet.
      Size free = m.room.minus(m.keptInAll());
      boolean alike = (job.spec.size().gpus() > 0) == (m.type.size().gpus() > 0);
      if (alike) {
        boxes.add(new Box(m.id, free, wanted && m.keeps.isEmpty(), pieces(job, m, now)));
        sum = wanted ? sum.plus(free) : sum;
      }
    }
    if (!job.spec.size().fitsIn(sum)) {
      why.put(job.id(), "all free room together is too little for it");
      return false;
    }
    Plan plan = Planner.plan(job.spec.size(), boxes, fit(), BUDGET);
    if (plan == null) {
      why.put(job.id(), "it fits by sum, and no replicas can be moved for it");
      return false;
    }
    String name = "p-" + term + "-" + ++sequence;
    Kept kept = new Kept(name, job.id(), plan.clear(), plan.moves(), wall(now), null);
    open.put(name, new Open(kept, false, now));
    toRecord.add(kept);
    // From this moment on: machines are filled between two rounds as well.
    machines.apply(plan.clear()).keep(job.id(), job.spec.size());
    for (Move move : plan.moves()) {
      Job moved = jobs.get(move.task().job());
      machines.apply(move.to()).keep(moved.id(), moved.spec.size());
    }
    why.put(
        job.id(),
        "it fits by sum, "
            + plan.moves().size()
            + " replicas to move, "
            + Math.round(plan.cost())
            + " s");
    LOG.info("{} is planned", text(kept));
    return true;
  }

  /** What may go from there: replicas, not of higher priority, that have not been moved lately. */
  private List<Piece> pieces(Job wish, Machine m, Time now) {
    List<Piece> out = new ArrayList<>();
    for (Presence p : m.presences.values()) {
      Job job = p.job;
      boolean replica = job.spec.daemon() && p.state == Presence.State.RUNNING && !p.stopping;
      if (!replica
          || job.priority().above(wish.priority())
          || job.pendingCount() > 0
          || (job.service() && (job.disruptions == null || !job.disruptions.covers(1)))
          || movedLately(p.task(), now)) {
        continue;
      }
      double cost = AWAY_S + (job.spec.tasks() == 1 ? SINGLE_S : 0);
      cost += job.priority() == wish.priority() ? URGENT_S : 0;
      out.add(new Piece(p.task(), job.spec.size(), cost));
    }
    out.sort(Comparator.comparing(p -> p.task().toString()));
    return out;
  }

  private boolean movedLately(TaskId task, Time now) {
    long from = wall(now) - STAYS.ms();
    for (Kept k : over.values()) {
      boolean lately = k.ended().atMs() > from;
      if (lately && k.moves().stream().anyMatch(move -> move.task().equals(task))) {
        return true;
      }
    }
    return open.values().stream()
        .flatMap(o -> o.kept.moves().stream())
        .anyMatch(move -> move.task().equals(task));
  }

  private Fit fit() {
    return new Fit() {
      @Override
      public boolean may(Piece piece, MachineId to) {
        Job job = jobs.get(piece.task().job());
        Machine m = machines.apply(to);
        Presence p = job.present.get(piece.task().index());
        return m != null
            && !m.retiring
            && job.spec.allows(m.typeName, m.zone, m.spot)
            && job.startsIn(m.zone)
            && !job.errorMachines.contains(m.id)
            && (p.machine.zone.equals(m.zone) || Placement.allowed(job, m));
      }

      @Override
      public double fetchS(Piece piece, MachineId to) {
        return estimates.fetch(jobs.get(piece.task().job()), machines.apply(to)).toSeconds();
      }
    };
  }

  /** The plan in a line. */
  private static String text(Kept k) {
    return "room for "
        + k.wish()
        + " on "
        + k.clear()
        + " by moving "
        + k.moves().size()
        + " replicas ("
        + k.name()
        + ")";
  }

  /** Why those wait whom moves might help. */
  Map<JobId, String> reasons() {
    return why;
  }

  /** For people: what is planned, what became of earlier plans, and why others wait. */
  List<String> told() {
    List<String> out = new ArrayList<>();
    for (Open o : open.values()) {
      long left = o.kept.moves().stream().filter(m -> where(m) != machines.apply(m.to())).count();
      out.add(text(o.kept) + ": goes on, " + left + " to go");
    }
    for (Kept k : over.values()) {
      out.add(text(k) + ": " + (k.ended().done() ? "done" : "given up, " + k.ended().why()));
    }
    why.forEach((id, reason) -> out.add(id + " waits: " + reason));
    return out;
  }
}
