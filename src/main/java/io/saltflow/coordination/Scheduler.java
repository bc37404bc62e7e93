package io.saltflow.coordination;

import io.saltflow.packing.Fragments;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The paper's rounds. Jobs start in queue order while they fit; the first misfit, the head, gets a
 * reservation on the machines where its room comes first; later jobs are backfilled when they end
 * before it or fit beside it; backfilled tasks that checkpoint are stopped when its time has come.
 *
 * <p>A whole round looks at all machines. Between two of them, {@link #fill} looks at the one
 * machine that reports, with the queue and the reservation of the last whole round.
 */
final class Scheduler {
  /** After this part of the time in which each job has to begin, its first task goes ahead. */
  private static final double FIRST_AFTER = 0.4;

  /** Of so many jobs in a round: one task of each of hundreds would be the whole fleet. */
  private static final int MOST_FIRSTS = 32;

  /** Where room is kept for a task it goes, whatever else speaks for another place. */
  private static final double KEPT = 1e6;

  /** Seconds of fetching that are spent so that no accelerator more becomes useless. */
  private static final double PIECES_S = 30;

  private final Policy policy;
  private final Estimates estimates;
  private final TeamUse use;
  private final Queue queue;
  private final HeadReservation reservation;
  private final Preemption preemption;
  private final LeastParts parts;
  private final OrderBasis basis;
  private final Fragments fragments = new Fragments();
  private List<Machine> usable = List.of();
  private List<Machine> booting = List.of();
  private List<Waiting> waiting = List.of();

  /** Who is asked in which order when a machine reports between two rounds. */
  private List<Lineup.Entry> entries = List.of();

  private Job head;
  private double cheapest;
  private Size smallestWaiting;
  private Span shortestRun;
  private Set<JobId> guaranteed = Set.of();

  /** How often a machine was looked at for a task: what a round's work grows with. */
  private long looks;

  Scheduler(Policy policy, Estimates estimates, TeamUse use, Account account, OrderBasis basis) {
    this.basis = basis;
    this.policy = policy;
    this.estimates = estimates;
    this.use = use;
    queue = new Queue(policy, estimates);
    parts = new LeastParts(policy, estimates, use);
    reservation = new HeadReservation(estimates, parts, account);
    preemption = new Preemption(policy, estimates, use, parts, account);
  }

  /**
   * What a round left undone: the queue in order, and how many tasks of each job wait. One that is
   * held may not start yet, as its record does not say that it may have.
   */
  record Waiting(Job job, int tasks, boolean held) {}

  /** A machine that could take a task of a job, and how well it suits. */
  private record Candidate(Machine machine, int order, double score) {}

  private static final Comparator<Candidate> BEST =
      Comparator.comparingDouble(Candidate::score).thenComparingInt(Candidate::order);

  /** The jobs that lay within their team's guarantee at the last round. */
  Set<JobId> guaranteed() {
    return guaranteed;
  }

  /** What the machines have that may be used, or are on their way, all together. */
  Size fleet() {
    Size sum = Size.ZERO;
    for (Machine m : usable) {
      sum = sum.plus(m.type.size());
    }
    for (Machine m : booting) {
      sum = sum.plus(m.type.size());
    }
    return sum;
  }

  /** The machines that may be used, and those that are on their way, as of the last round. */
  List<Machine> usable() {
    return usable;
  }

  List<Machine> booting() {
    return booting;
  }

  long looks() {
    return looks;
  }

  /** How classes and teams stand, since the last round. */
  LeastParts parts() {
    return parts;
  }

  /** Gives tasks to machines and marks tasks to stop; returns who still waits, in queue order. */
  List<Waiting> round(
      Collection<Job> jobs, Collection<Machine> machines, boolean accounted, Time now) {
    usable = new ArrayList<>();
    booting = new ArrayList<>();
    double cores = 0;
    for (Machine m : machines) {
      takeBack(m);
      m.reserved = null;
      if (m.usable()) {
        usable.add(m);
        m.room = m.free();
        cores += m.type.size().cores();
      } else if (m.booting()) {
        booting.add(m);
      }
    }
    for (Job job : jobs) {
      job.assignedZones.clear();
    }
    cheapest = Placement.cheapestPerCore(usable);
    guaranteed = queue.guaranteed(jobs);
    List<Job> wait = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.cancelled
          && !job.finishing
          && job.pendingCount() > 0
          && (accounted || !job.maybeStartedBefore)) {
        wait.add(job);
      }
    }
    basis.fleet(cores, estimates.corrections());
    List<Job> order = queue.inOrder(wait, guaranteed, basis.now(), now);
    fragments.clear();
    for (Job job : jobs) {
      fragments.usual(job.spec.size(), job.present.size() + job.pendingCount());
    }
    parts.look(jobs, new HashSet<>(order), usable, now);
    basis.learnt(cores, estimates.corrections(), parts.shortClasses(), accounted);
    use.holdNothing();
    entries =
        Lineup.of(order, guaranteed, overdue(order, now), parts.turns(), policy.preemptFrom());
    least(order);
    List<Machine> open = withRoomFor(smallestWaiting);
    Map<JobId, Waiting> left = new LinkedHashMap<>();
    Map<JobId, HeadReservation.Need> needs = new LinkedHashMap<>();
    head = null;
    for (Lineup.Entry e : entries) {
      if (e.why == Lineup.Why.QUEUE && !needs.isEmpty()) {
        reservation.reserveOwed(needs.values(), usable, booting, now);
        needs.clear();
        open.removeIf(m -> claimed(m, now));
      }
      if (!left.containsKey(e.job.id())) {
        place(e, open, left, needs, booting, now);
      }
    }
    waiting = new ArrayList<>();
    for (Job job : order) {
      Waiting w = left.get(job.id());
      if (w != null) {
        waiting.add(w);
      }
    }
    entries.removeIf(e -> !left.containsKey(e.job.id()));
    least(waiting.stream().map(Waiting::job).toList());
    reservation.stopWhenDue(head, usable, now);
    preemption.preempt(waiting, usable, booting, guaranteed, now);
    return waiting;
  }

  /**
   * Jobs that have waited for a good part of the time in which each has to begin, the longest
   * first. A wide job stands behind all that is shorter, one that needs much of a machine or of its
   * team's limit behind whatever narrow work keeps coming: one task of it costs the others little.
   */
  private List<Job> overdue(List<Job> order, Time now) {
    Span after = policy.beginWithin().times(FIRST_AFTER);
    return order.stream()
        .filter(j -> j.startRecorded && j.waitsForItsFirst() && !j.service())
        .filter(j -> !j.failsEverywhere() && now.since(j.arrivedAt).compareTo(after) >= 0)
        .sorted(Comparator.comparing((Job j) -> j.countsFromMs).thenComparing(Job::id))
        .limit(MOST_FIRSTS)
        .toList();
  }

  /** Places the entry's job, and notes what is left of it. */
  private void place(
      Lineup.Entry e,
      List<Machine> open,
      Map<JobId, Waiting> left,
      Map<JobId, HeadReservation.Need> needs,
      List<Machine> booting,
      Time now) {
    Job job = e.job;
    if (!job.startRecorded) {
      int held = job.countPending(0, use.mayStillGive(job), now);
      left.put(job.id(), new Waiting(job, held, true));
      return;
    }
    int tasks = place(e, open, now);
    if (e.gathers()) {
      if (tasks > 0) {
        int most =
            e.why == Lineup.Why.FIRST
                ? 1
                : Math.min(tasks, parts.owedTasks(e.party(), needs.values(), job));
        needs.merge(
            job.id(), new HeadReservation.Need(job, most), (a, b) -> a.tasks >= b.tasks ? a : b);
      }
      return;
    }
    if (tasks > 0 || (e.why == Lineup.Why.QUEUE && job.nextPending(0, now) >= 0)) {
      left.put(job.id(), new Waiting(job, tasks, false));
    }
    if (tasks > 0 && head == null) {
      head = job;
      reservation.reserve(job, tasks, usable, booting, now);
    }
  }

  /** The least of each amount that any of these asks for, and the shortest run. */
  private void least(List<Job> jobs) {
    smallestWaiting = null;
    shortestRun = new Span(Long.MAX_VALUE / 2);
    for (Job job : jobs) {
      Size s = job.spec.size();
      smallestWaiting = smallestWaiting == null ? s : smallestWaiting.least(s);
      Span run = estimates.predict(job, 0);
      shortestRun = run.longerThan(shortestRun) ? shortestRun : run;
    }
  }

  private List<Machine> withRoomFor(Size least) {
    List<Machine> open = new ArrayList<>();
    if (least != null) {
      for (Machine m : usable) {
        if (least.fitsIn(m.room)) {
          open.add(m);
        }
      }
    }
    return open;
  }

  /** What rounds gave to the machine and it has not been told yet is given back. */
  void takeBack(Machine m) {
    for (Machine.Assigned a : m.assigned) {
      a.job().freed(a.index());
      m.room = m.room.plus(a.job().spec.size());
      use.takenBack(a.job());
      a.job().assignedZones.remove(m.zone);
    }
    m.assigned.clear();
  }

  /** Gives the job's tasks to the machines that suit best; how many wait, as far as allowed. */
  private int place(Lineup.Entry e, List<Machine> open, Time now) {
    Job job = e.job;
    int index = job.nextPending(0, now);
    if (index < 0 || !e.inTurn(parts)) {
      return 0;
    }
    Crowd crowd = job.service() ? new Crowd(job) : null;
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(BEST);
    for (int i = 0; i < open.size(); i++) {
      offer(e, index, open.get(i), i, crowd, candidates, now);
    }
    while (index >= 0) {
      if (!use.mayGive(job) || !e.inTurn(parts)) {
        // Its team's limit stands in its way, not room: no room is made or reserved for it.
        if (e.why == Lineup.Why.FIRST && e.inTurn(parts)) {
          holdWithinLimit(job, now);
        }
        return 0;
      }
      Candidate best = candidates.poll();
      if (best == null) {
        return Math.min(e.most(), job.countPending(index, use.mayStillGive(job), now));
      }
      if (crowd != null && score(job, best.machine, crowd) > best.score) {
        // Its zone got another meanwhile.
        offer(e, index, best.machine, best.order, crowd, candidates, now);
        continue;
      }
      // Tasks that were stopped before are predicted otherwise than their siblings.
      if (mayTake(e, index, best.machine, head != null, now)) {
        give(e, index, best.machine, now);
        if (crowd != null) {
          crowd.add(best.machine);
        }
        index = job.nextPending(index + 1, now);
        if (index >= 0) {
          offer(e, index, best.machine, best.order, crowd, candidates, now);
        }
      }
    }
    return 0;
  }

  /**
   * Reserves room within the team's limit for one task of the job, from when enough of the team's
   * tasks should have ended. It used to be kept at once and from all others: a narrow job waited
   * for minutes beside free machines, with its team below its limit, for a wide one that could not
   * begin either and that it would not have delayed.
   */
  private void holdWithinLimit(Job job, Time now) {
    if (use.holds(job.spec.team())) {
      return;
    }
    PriorityQueue<TeamEnd> ends = new PriorityQueue<>(Comparator.comparing(TeamEnd::at));
    for (Machine m : usable) {
      for (Presence p : m.presences.values()) {
        if (p.job.spec.team().equals(job.spec.team())) {
          ends.add(new TeamEnd(estimates.end(p, now), p.job.spec.size()));
        }
      }
      for (Machine.Assigned a : m.assigned) {
        if (a.job().spec.team().equals(job.spec.team()) && !a.job().spec.daemon()) {
          Time end = now.plus(estimates.predict(a.job(), a.index()));
          ends.add(new TeamEnd(end, a.job().spec.size()));
        }
      }
    }
    Size left = use.left(job);
    Time at = now;
    while (!job.spec.size().fitsIn(left)) {
      TeamEnd end = ends.poll();
      if (end == null || end.at.equals(Time.NEVER)) {
        // Nothing that ends makes room for it: room is kept for nobody.
        return;
      }
      left = left.plus(end.size);
      at = end.at;
    }
    use.hold(job.spec.team(), new LimitHold(job, at, left.minus(job.spec.size()), estimates, now));
  }

  /** When a task of a team should end, and what it gives back to the limit then. */
  private record TeamEnd(Time at, Size size) {}

  private void offer(
      Lineup.Entry e,
      int index,
      Machine m,
      int order,
      Crowd crowd,
      PriorityQueue<Candidate> candidates,
      Time now) {
    if (mayTake(e, index, m, head != null, now)) {
      candidates.add(new Candidate(m, order, score(e.job, m, crowd)));
    }
  }

  /** A service's tasks are spread; others go where they fetch least and leave most room. */
  private double score(Job job, Machine m, Crowd crowd) {
    boolean dear = m.pricePerCore() > cheapest * policy.dearFactor();
    double kept = m.keeps.containsKey(job.id()) ? -KEPT : 0;
    double pieces =
        m.type.size().gpus() <= 0 ? 0 : fragments.more(m.type.size(), m.room, job.spec.size());
    return Placement.score(job, m, m.room, estimates, dear)
        + kept
        + pieces * PIECES_S
        + (crowd == null ? 0 : crowd.score(m));
  }

  private boolean mayTake(Lineup.Entry e, int index, Machine m, boolean backfilling, Time now) {
    Job job = e.job;
    looks++;
    return job.spec.size().fitsIn(m.roomFor(job))
        && Placement.allowed(job, m)
        && (!bound(e, m, backfilling) || mayBackfill(job, m, estimates.predict(job, index), now))
        && (job.errorMachines.isEmpty()
            || !job.errorMachines.contains(m.id)
            || job.failsEverywhere()
            || usable.size() <= 1)
        && (!m.retiring
            || job.onlyOnDear
            || job.spec.size().gpus() > 0
            || guaranteed.contains(job.id())
            || job.priority().compareTo(policy.preemptFrom()) >= 0);
  }

  /**
   * A machine with free room reports between two whole rounds: it gets what comes first in the last
   * round's queue and may go there, at once and without a look at any other machine.
   */
  void fill(Machine m, boolean accounted, Time now) {
    // It may have come up since the last round: what that left of its room says nothing then.
    m.room = m.free();
    for (Machine.Assigned a : m.assigned) {
      m.room = m.room.minus(a.job().spec.size());
    }
    if (smallestWaiting == null || !smallestWaiting.fitsIn(m.room)) {
      return;
    }
    if (claimed(m, now)) {
      for (Lineup.Entry e : entries) {
        if (e.gathers() && !fill(m, e, false, accounted, now)) {
          return;
        }
      }
      return;
    }
    int headAt = headAt();
    for (int from = 0; from < entries.size(); ) {
      int to = Lineup.alike(entries, from);
      for (int i = from; i < to; i++) {
        if (has(m, entries.get(i)) && !fill(m, entries.get(i), i > headAt, accounted, now)) {
          return;
        }
      }
      for (int i = from; i < to; i++) {
        if (!has(m, entries.get(i)) && !fill(m, entries.get(i), i > headAt, accounted, now)) {
          return;
        }
      }
      from = to;
    }
  }

  /**
   * Whether all that is free is kept for those who are owed it, so that nobody else need be asked:
   * a machine on which room is gathered reports several times before it is there.
   */
  private boolean claimed(Machine m, Time now) {
    Reservation r = m.reserved;
    return r != null
        && r.owed
        && now.plus(shortestRun).after(r.at)
        && !smallestWaiting.fitsIn(r.extra);
  }

  /** Where the head stands among the entries; what comes after it may only fill the gap. */
  private int headAt() {
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).job == head && !entries.get(i).gathers()) {
        return i;
      }
    }
    return Integer.MAX_VALUE;
  }

  private static boolean has(Machine m, Lineup.Entry e) {
    return m.images.contains(e.job.spec.image());
  }

  /** Gives the machine what it can take of one entry; false: there is no room for anything more. */
  private boolean fill(
      Machine m, Lineup.Entry e, boolean backfilling, boolean accounted, Time now) {
    Job job = e.job;
    // A service's tasks are spread over machines, which only a whole round looks at.
    if (job.cancelled
        || job.finishing
        || job.service()
        || !job.startRecorded
        || (!accounted && job.maybeStartedBefore)) {
      return true;
    }
    int index = job.nextPending(0, now);
    while (index >= 0
        && use.mayGive(job)
        && e.inTurn(parts)
        && mayTake(e, index, m, backfilling, now)) {
      give(e, index, m, now);
      index = job.nextPending(index + 1, now);
    }
    return smallestWaiting.fitsIn(m.room);
  }

  /** Whether a claim on the machine binds the entry: the head's what is behind it, others' all. */
  private static boolean bound(Lineup.Entry e, Machine m, boolean backfilling) {
    return (m.reserved != null && m.reserved.owed) ? !e.gathers() : backfilling;
  }

  private boolean mayBackfill(Job job, Machine m, Span run, Time now) {
    Reservation r = m.reserved;
    return r == null || endsBefore(job, m, run, now, r) || job.spec.size().fitsIn(r.extra);
  }

  private boolean endsBefore(Job job, Machine m, Span run, Time now, Reservation r) {
    return !job.spec.daemon() && !now.plus(estimates.fetch(job, m)).plus(run).after(r.at);
  }

  private void give(Lineup.Entry e, int index, Machine m, Time now) {
    Job job = e.job;
    boolean backfilling = !e.gathers() && head != null && head != job;
    e.given();
    m.room = m.room.minus(job.spec.size());
    m.keeps.remove(job.id());
    use.given(job);
    job.given(index);
    m.assigned.add(new Machine.Assigned(job, index, backfilling));
    if (job.spec.oneZone() || job.spec.spread()) {
      job.assignedZones.add(m.zone);
    }
    Reservation r = m.reserved;
    if (r != null
        && !(r.owed && e.gathers())
        && !endsBefore(job, m, estimates.predict(job, index), now, r)) {
      r.extra = r.extra.minus(job.spec.size());
    }
  }
}
