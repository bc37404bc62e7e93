package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The paper's rounds. Jobs start in queue order while they fit; the first misfit, the head, gets a
 * reservation on the machines where its room comes first; later jobs are backfilled when they end
 * before it or fit beside it; backfilled tasks that checkpoint are stopped when its time has come.
 */
final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  /** How many tasks of the head get a reservation: bounds a round's work. */
  private static final int MOST_RESERVED = 256;

  /** The head's promise, kept over rounds so that it does not slip. */
  private record Promise(JobId job, Time at) {}

  private record End(Time at, Machine machine, Size size) {}

  private final Policy policy;
  private final Estimates estimates;
  private Promise promise;

  Scheduler(Policy policy, Estimates estimates) {
    this.policy = policy;
    this.estimates = estimates;
  }

  /** What one round left undone: the queue in order, and how many tasks of each job wait. */
  record Waiting(Job job, int tasks) {}

  /** Gives tasks to machines and marks tasks to stop; returns who still waits, in queue order. */
  List<Waiting> round(
      Collection<Job> jobs, Collection<Machine> machines, boolean accounted, Time now) {
    Placement.Room room = new Placement.Room();
    List<Machine> usable = new ArrayList<>();
    List<Machine> booting = new ArrayList<>();
    for (Machine m : machines) {
      m.assigned.clear();
      if (m.usable()) {
        usable.add(m);
        room.free.put(m, m.free());
      } else if (m.booting()) {
        booting.add(m);
      }
    }
    double cores = 0;
    for (Machine m : usable) {
      cores += m.type.size().cores();
    }
    for (Job job : jobs) {
      job.assignedZones.clear();
      job.pressed = pressed(job, now);
      job.place = place(job, cores);
    }
    double cheapest = Placement.cheapestPerCore(usable);
    Map<String, Size> use = mostUse(machines);
    Set<JobId> guaranteed = guaranteed(jobs);
    List<Waiting> waiting = new ArrayList<>();
    Job head = null;
    for (Job job : inOrder(jobs, guaranteed)) {
      if (job.cancelled
          || job.finishing
          || job.pendingCount() == 0
          || (!accounted && job.maybeStartedBefore)) {
        continue;
      }
      boolean limited = false;
      int left = 0;
      int index = job.nextPending(0, now);
      while (index >= 0) {
        if (overLimit(job, use)) {
          limited = true;
          break;
        }
        Machine m = best(job, index, usable, room, now, head != null, cheapest);
        if (m == null) {
          left = countPending(job, index, now, use);
          break;
        }
        give(job, index, m, room, use, head != null, now);
        index = job.nextPending(index + 1, now);
      }
      if (left > 0) {
        waiting.add(new Waiting(job, left));
        if (head == null && !limited) {
          head = job;
          reserve(job, left, usable, booting, room, now);
        }
      }
    }
    stopWhenDue(head, usable, room, now);
    preempt(waiting, usable, booting, guaranteed, use, now);
    return waiting;
  }

  /**
   * Arrival, put back by the time that what the job still has to start would keep the whole fleet:
   * a short job passes a long one that came a little earlier, which it hardly delays. The delay of
   * the long one is bounded by its own length, so it can't starve. Our extension; a weight of 0 is
   * the paper's order of arrival.
   */
  private double place(Job job, double fleetCores) {
    double lengthS =
        job.pendingCount()
            * job.spec.size().cores()
            * estimates.predict(job, 0).toSeconds()
            / Math.max(1, fleetCores);
    return job.arrivedWallMs + policy.lengthWeight() * lengthS * 1000;
  }

  /**
   * Whether a job of low priority has little time to spare before its deadline, or before the time
   * its class should be finished in. Our extension: without it such work starves while work of
   * normal priority keeps coming.
   */
  private boolean pressed(Job job, Time now) {
    if (job.dueAt == null) {
      return false;
    }
    Span spare = job.dueAt.since(now).minus(estimates.predict(job, 0).times(1.3));
    return !spare.longerThan(policy.pressedSlack());
  }

  /** Guarantee first, then priority, then arrival; ids settle what arrived together. */
  static List<Job> inOrder(Collection<Job> jobs, Set<JobId> guaranteed) {
    List<Job> order = new ArrayList<>(jobs);
    order.sort(
        Comparator.comparing((Job j) -> j.failsEverywhere())
            .thenComparing(j -> !guaranteed.contains(j.id()))
            .thenComparing(Job::queuedAs, Comparator.reverseOrder())
            .thenComparing(j -> j.place)
            .thenComparing(Job::id));
    return order;
  }

  /** Jobs that fit in their team's guarantee together with the team's earlier unfinished jobs. */
  Set<JobId> guaranteed(Collection<Job> jobs) {
    Set<JobId> out = new HashSet<>();
    Map<String, Size> sums = new HashMap<>();
    List<Job> byArrival = new ArrayList<>(jobs);
    byArrival.sort(Comparator.comparing((Job j) -> j.arrivedWallMs).thenComparing(Job::id));
    for (Job job : byArrival) {
      Policy.Team team = policy.teams().get(job.spec.team());
      if (team == null || (team.cores() <= 0 && team.gpus() <= 0)) {
        continue;
      }
      Size whole = job.spec.size().times(job.spec.tasks() - job.done.cardinality());
      Size sum = sums.getOrDefault(job.spec.team(), Size.ZERO).plus(whole);
      sums.put(job.spec.team(), sum);
      if (sum.cores() <= team.cores() && sum.gpus() <= team.gpus()) {
        out.add(job.id());
      }
    }
    return out;
  }

  /**
   * The most that each team's tasks may use: what is known, and all of every machine that might
   * hold tasks of a former leader and has not been heard of.
   */
  Map<String, Size> mostUse(Collection<Machine> machines) {
    Map<String, Size> use = teamUse(machines);
    Size unknown = Size.ZERO;
    for (Machine m : machines) {
      if (m.mightHoldOldTasks) {
        unknown = unknown.plus(m.type == null ? new Size(1e9, 1e9, 1e9) : m.type.size());
      }
    }
    for (String team : policy.teams().keySet()) {
      use.merge(team, unknown, Size::plus);
    }
    return use;
  }

  /** What each team's tasks use, wherever they are known to be. */
  static Map<String, Size> teamUse(Collection<Machine> machines) {
    Map<String, Size> use = new HashMap<>();
    for (Machine m : machines) {
      for (Presence p : m.presences.values()) {
        use.merge(p.job.spec.team(), p.job.spec.size(), Size::plus);
      }
    }
    return use;
  }

  boolean overLimit(Job job, Map<String, Size> use) {
    Policy.Team team = policy.teams().get(job.spec.team());
    if (team == null) {
      return true;
    }
    Size after = use.getOrDefault(job.spec.team(), Size.ZERO).plus(job.spec.size());
    return (team.coresLimit() > 0 && after.cores() > team.coresLimit() + 1e-6)
        || (team.gpusLimit() > 0 && after.gpus() > team.gpusLimit() + 1e-6);
  }

  /** How many tasks wait from this one on, as far as the team's limit would let them run. */
  private int countPending(Job job, int from, Time now, Map<String, Size> use) {
    int most = Integer.MAX_VALUE;
    Policy.Team team = policy.teams().get(job.spec.team());
    if (team != null && team.coresLimit() > 0 && job.spec.size().cores() > 0) {
      double used = use.getOrDefault(job.spec.team(), Size.ZERO).cores();
      most = (int) Math.floor((team.coresLimit() - used + 1e-6) / job.spec.size().cores());
    }
    int n = 0;
    for (int i = from; i >= 0 && n < most; i = job.nextPending(i + 1, now)) {
      n++;
    }
    return n;
  }

  private Machine best(
      Job job,
      int index,
      List<Machine> usable,
      Placement.Room room,
      Time now,
      boolean backfilling,
      double cheapest) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    Span run = estimates.predict(job, index);
    for (Machine m : usable) {
      Size free = room.free.get(m);
      if (!job.spec.size().fitsIn(free) || !Placement.allowed(job, m)) {
        continue;
      }
      if (backfilling && !mayBackfill(job, m, room, run, now)) {
        continue;
      }
      if (job.errorMachines.contains(m.id) && !job.failsEverywhere() && usable.size() > 1) {
        continue;
      }
      if (m.retiring && job.spec.priority().compareTo(policy.preemptFrom()) < 0) {
        continue;
      }
      boolean dear = m.pricePerCore() > cheapest * policy.dearFactor();
      double score = Placement.score(job, m, free, estimates, dear);
      if (score < bestScore) {
        best = m;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean mayBackfill(Job job, Machine m, Placement.Room room, Span run, Time now) {
    Placement.Reservation r = room.reserved.get(m);
    return r == null || endsBefore(job, m, run, now, r) || job.spec.size().fitsIn(r.extra);
  }

  private boolean endsBefore(Job job, Machine m, Span run, Time now, Placement.Reservation r) {
    return !job.spec.daemon() && !now.plus(estimates.fetch(job, m)).plus(run).after(r.at);
  }

  private void give(
      Job job,
      int index,
      Machine m,
      Placement.Room room,
      Map<String, Size> use,
      boolean backfilling,
      Time now) {
    room.free.merge(m, job.spec.size(), Size::minus);
    use.merge(job.spec.team(), job.spec.size(), Size::plus);
    m.assigned.add(new Machine.Assigned(job, index, backfilling));
    job.assignedZones.add(m.zone);
    Placement.Reservation r = room.reserved.get(m);
    if (r != null && !endsBefore(job, m, estimates.predict(job, index), now, r)) {
      r.extra = r.extra.minus(job.spec.size());
    }
  }

  /** Adds the room of running tasks by predicted end until the head's tasks fit. */
  private void reserve(
      Job head,
      int tasks,
      List<Machine> usable,
      List<Machine> booting,
      Placement.Room room,
      Time now) {
    List<End> ends = new ArrayList<>();
    Map<Machine, Size> future = new HashMap<>();
    for (Machine m : usable) {
      if (!Placement.allowed(head, m)) {
        continue;
      }
      future.put(m, room.free.get(m));
      for (Presence p : m.presences.values()) {
        ends.add(new End(estimates.end(p, now), m, p.job.spec.size()));
      }
      for (Machine.Assigned a : m.assigned) {
        Time end =
            now.plus(estimates.fetch(a.job(), m)).plus(estimates.predict(a.job(), a.index()));
        ends.add(new End(a.job().spec.daemon() ? Time.NEVER : end, m, a.job().spec.size()));
      }
    }
    for (Machine m : booting) {
      if (head.spec.allows(m.typeName, m.zone, m.spot)) {
        future.put(m, Size.ZERO);
        ends.add(new End(readyAt(m, now), m, m.type.size()));
      }
    }
    ends.sort(Comparator.comparing(End::at));
    Time first = null;
    int left = Math.min(tasks, MOST_RESERVED);
    for (End end : ends) {
      if (left <= 0) {
        break;
      }
      Machine m = end.machine;
      Size sum = future.get(m).plus(end.size);
      while (left > 0 && head.spec.size().fitsIn(sum)) {
        sum = sum.minus(head.spec.size());
        left--;
        if (first == null) {
          first = end.at;
        }
        room.reserved.put(m, new Placement.Reservation(end.at, sum));
      }
      future.put(m, sum);
      Placement.Reservation r = room.reserved.get(m);
      if (r != null) {
        r.extra = Size.ZERO.plus(sum);
      }
    }
    if (first == null) {
      promise = null;
    } else if (promise == null || !promise.job.equals(head.id()) || first.before(promise.at)) {
      promise = new Promise(head.id(), first);
    }
  }

  /** A machine's room counts from when it should be ready: our extension for rented machines. */
  static Time readyAt(Machine m, Time now) {
    Time due = m.rentedAt.plus(m.type.boot());
    return due.after(now) ? due : now.plus(now.since(m.rentedAt).times(0.3));
  }

  /** At the reserve time, backfilled tasks that checkpoint are stopped, largest first. */
  private void stopWhenDue(Job head, List<Machine> usable, Placement.Room room, Time now) {
    if (head == null) {
      promise = null;
      return;
    }
    if (promise == null || !promise.job.equals(head.id()) || now.before(promise.at)) {
      return;
    }
    for (Machine m : usable) {
      if (!Placement.allowed(head, m)) {
        continue;
      }
      Size sum = room.free.get(m);
      List<Presence> backfilled = new ArrayList<>();
      for (Presence p : m.presences.values()) {
        if (p.stopping) {
          sum = sum.plus(p.job.spec.size());
        } else if (p.backfilled && p.job.spec.checkpoints() && behind(p.job, head)) {
          backfilled.add(p);
        }
      }
      if (head.spec.size().fitsIn(sum)) {
        return;
      }
      backfilled.sort(Comparator.comparing((Presence p) -> -p.job.spec.size().cores()));
      List<Presence> chosen = new ArrayList<>();
      for (Presence p : backfilled) {
        if (!head.spec.size().fitsIn(sum)) {
          sum = sum.plus(p.job.spec.size());
          chosen.add(p);
        }
      }
      if (!chosen.isEmpty() && head.spec.size().fitsIn(sum)) {
        for (Presence p : chosen) {
          LOG.info("{} is stopped: the time reserved for {} has come", p.task(), head.id());
          p.stop(now, p.job.spec.save().plus(Span.seconds(1)));
        }
        return;
      }
    }
  }

  /** Work never preempts work of equal or higher priority, even at the reserve time. */
  private static boolean behind(Job job, Job head) {
    return head.spec.priority().above(job.spec.priority());
  }

  /**
   * Makes room for jobs of higher priority, and for guarantees. Room that comes by itself within
   * the patience counts first, so that nothing is stopped for room that is on its way.
   */
  private void preempt(
      List<Waiting> waiting,
      List<Machine> usable,
      List<Machine> booting,
      Set<JobId> guaranteed,
      Map<String, Size> use,
      Time now) {
    Map<Machine, Size> soon = null;
    Time limit = now.plus(policy.patience());
    for (Waiting w : waiting) {
      boolean urgent = w.job.spec.priority().compareTo(policy.preemptFrom()) >= 0;
      if (!urgent && !guaranteed.contains(w.job.id())) {
        continue;
      }
      if (w.job.failsEverywhere()) {
        continue;
      }
      if (soon == null) {
        soon = roomSoon(usable, booting, now, limit);
      }
      int left = Math.min(w.tasks, MOST_RESERVED);
      for (Map.Entry<Machine, Size> e : soon.entrySet()) {
        while (left > 0
            && Placement.allowed(w.job, e.getKey())
            && w.job.spec.size().fitsIn(e.getValue())) {
          e.setValue(e.getValue().minus(w.job.spec.size()));
          left--;
        }
      }
      while (left > 0 && stopFor(w.job, usable, soon, guaranteed, use, now, limit)) {
        left--;
      }
    }
  }

  private Map<Machine, Size> roomSoon(
      List<Machine> usable, List<Machine> booting, Time now, Time limit) {
    Map<Machine, Size> soon = new LinkedHashMap<>();
    for (Machine m : usable) {
      Size sum = m.free();
      for (Machine.Assigned a : m.assigned) {
        sum = sum.minus(a.job().spec.size());
      }
      for (Presence p : m.presences.values()) {
        if (p.stopping || !estimates.end(p, now).after(limit)) {
          sum = sum.plus(p.job.spec.size());
        }
      }
      soon.put(m, sum);
    }
    for (Machine m : booting) {
      if (!readyAt(m, now).after(limit)) {
        soon.put(m, m.type.size());
      }
    }
    return soon;
  }

  private boolean stopFor(
      Job job,
      List<Machine> usable,
      Map<Machine, Size> soon,
      Set<JobId> guaranteed,
      Map<String, Size> use,
      Time now,
      Time limit) {
    List<Presence> best = null;
    double bestCost = Double.MAX_VALUE;
    for (Machine m : usable) {
      if (!Placement.allowed(job, m)) {
        continue;
      }
      List<Presence> victims = new ArrayList<>();
      for (Presence p : m.presences.values()) {
        if (!p.stopping && estimates.end(p, now).after(limit) && mayStop(p, job, guaranteed, use)) {
          victims.add(p);
        }
      }
      victims.sort(Comparator.comparingDouble((Presence p) -> cost(p, now)));
      Size sum = soon.get(m);
      List<Presence> chosen = new ArrayList<>();
      double cost = estimates.fetch(job, m).toSeconds();
      for (Presence p : victims) {
        if (job.spec.size().fitsIn(sum)) {
          break;
        }
        sum = sum.plus(p.job.spec.size());
        cost += cost(p, now);
        chosen.add(p);
      }
      if (!chosen.isEmpty() && job.spec.size().fitsIn(sum) && cost < bestCost) {
        best = chosen;
        bestCost = cost;
      }
    }
    if (best == null) {
      return false;
    }
    Machine m = best.get(0).machine;
    Size sum = soon.get(m);
    for (Presence p : best) {
      LOG.info("{} on {} is stopped to make room for {}", p.task(), m.id, job.id());
      p.stop(now, grace(p));
      sum = sum.plus(p.job.spec.size());
      use.merge(p.job.spec.team(), p.job.spec.size(), Size::minus);
    }
    soon.put(m, sum.minus(job.spec.size()));
    return true;
  }

  static Span grace(Presence p) {
    return p.job.spec.checkpoints() ? p.job.spec.save().plus(Span.seconds(1)) : new Span(0);
  }

  /** Core-seconds that a stop would lose; a task that saves loses little. */
  private static double cost(Presence p, Time now) {
    double ranS = p.runningSince == null ? 0 : now.since(p.runningSince).toSeconds();
    double lost = p.job.spec.checkpoints() ? p.job.spec.save().toSeconds() + 1 : ranS + 1;
    return lost * Math.max(0.1, p.job.spec.size().cores());
  }

  private boolean mayStop(Presence p, Job forJob, Set<JobId> guaranteed, Map<String, Size> use) {
    Priority mine = forJob.spec.priority();
    boolean victimGuaranteed = guaranteed.contains(p.job.id());
    if (mine.above(p.job.spec.priority())
        && mine.compareTo(policy.preemptFrom()) >= 0
        && (!victimGuaranteed || guaranteed.contains(forJob.id()))) {
      return true;
    }
    if (!guaranteed.contains(forJob.id())
        || victimGuaranteed
        || p.job.spec.team().equals(forJob.spec.team())) {
      return false;
    }
    Policy.Team team = policy.teams().get(p.job.spec.team());
    Size used = use.getOrDefault(p.job.spec.team(), Size.ZERO);
    return team != null && (used.cores() > team.cores() || used.gpus() > team.gpus());
  }
}
