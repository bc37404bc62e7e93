package io.saltflow.coordination;

import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Which machines to rent, and which dear ones to let go. */
final class Fleet {
  private static final int MOST_PER_REQUEST = 50;

  /** Requests that are asked for and not answered yet, over all kinds. */
  private static final int MOST_OPEN = 8;

  private static final Span FIRST_BACKOFF = Span.seconds(8);
  private static final Span LONGEST_BACKOFF = Span.seconds(60);

  /** Asked again after this a kind may be there. */
  private static final Span REFUSED_LATELY = Span.seconds(60);

  /** One request to the cloud; its name is never used for another. */
  record Hire(String name, MachineType type, String zone, boolean spot, int count, Time asked) {
    String kind() {
      return type.name() + "/" + zone + (spot ? "/spot" : "/ordinary");
    }
  }

  private record Option(MachineType type, String zone, boolean spot) {
    String kind() {
      return type.name() + "/" + zone + (spot ? "/spot" : "/ordinary");
    }
  }

  private record Backoff(Time until, Span length) {}

  private final Policy policy;
  private final Term term;
  private final Estimates estimates;
  private final Account account;
  private final Map<String, Hire> open = new LinkedHashMap<>();
  private final Map<String, Backoff> backoffs = new HashMap<>();
  private long hireSequence;

  Fleet(Policy policy, Term term, Estimates estimates, Account account) {
    this.policy = policy;
    this.term = term;
    this.estimates = estimates;
    this.account = account;
  }

  Collection<Hire> open() {
    return open.values();
  }

  /**
   * What is to be rented for those who wait, beside what is on its way.
   *
   * @param most so many machines there may be in all
   */
  List<Hire> plan(
      List<Scheduler.Waiting> waiting,
      Backlog backlog,
      Collection<Machine> machines,
      Collection<MachineType> types,
      int most,
      Time now) {
    int mayRent = most - machines.size() - open.values().stream().mapToInt(Hire::count).sum();
    if (open.size() >= MOST_OPEN || mayRent <= 0) {
      return List.of();
    }
    // What all jobs want of a kind is asked for together: the cloud takes few requests a second.
    Map<Option, Integer> wanted = new LinkedHashMap<>();
    Coming coming = new Coming();
    double fleetCores = 0;
    for (Machine m : machines) {
      if (m.type == null || m.leaving || m.faulty || m.deaf()) {
        continue;
      }
      boolean late = m.late(now);
      if (!late && m.noticeAt == null) {
        fleetCores += m.type.size().cores();
      }
      if (m.booting() && !late) {
        coming.add(m.type.size(), 1);
      }
    }
    for (Hire h : open.values()) {
      coming.add(h.type.size(), h.count);
      fleetCores += h.count * h.type.size().cores();
    }
    // Not even for late work may one dear machine cost a good part of what all the others do: a
    // large one would idle around its last long task.
    double dearest = fleetHourly(machines) * policy.dearShare();
    double stoppable = backlog.stoppable();
    double spare = backlog.wanted() - fleetCores;
    for (Scheduler.Waiting w : waiting) {
      Size task = w.job().spec.size();
      int left = Math.min(w.tasks(), w.job().wantingRoom());
      left = coming.take(task, left);
      if (left == 0) {
        continue;
      }
      double cores = task.cores();
      boolean urgent = w.job().spec.daemon();
      if (w.job().priority().compareTo(policy.preemptFrom()) >= 0) {
        // Room that can be had by stopping lower work is there before any machine is up; what was
        // stopped then counts as backlog.
        urgent |= stoppable < cores * left;
        stoppable -= cores * left;
      }
      if (!urgent && fleetCores > 0 && cores > 0) {
        left = (int) Math.min(left, Math.ceil(spare / cores));
      }
      if (left <= 0) {
        continue;
      }
      double waitS = backlog.work() / Math.max(1, fleetCores);
      boolean pressing =
          urgent
              || waitS > policy.ordinaryHorizon().toSeconds()
              || wouldBeLate(w.job(), waitS, now);
      Option option =
          choose(w.job(), left, types, pressing, urgent ? Double.MAX_VALUE : dearest, now);
      if (option == null) {
        continue;
      }
      Size room = option.type.size();
      int slots = task.countIn(room);
      int count = Math.min(mayRent, (left + slots - 1) / slots);
      if (count == 0) {
        break;
      }
      mayRent -= count;
      wanted.merge(option, count, Integer::sum);
      double rented = count * room.cores();
      fleetCores += rented;
      spare -= rented;
      // What the rented machines have beside this job's tasks serves those behind it.
      coming.add(room, count);
      coming.take(task, left);
    }
    return requests(wanted, now);
  }

  private List<Hire> requests(Map<Option, Integer> wanted, Time now) {
    List<Hire> out = new ArrayList<>();
    for (Map.Entry<Option, Integer> e : wanted.entrySet()) {
      Option option = e.getKey();
      for (int left = e.getValue(); left > 0 && open.size() < MOST_OPEN; ) {
        int count = Math.min(MOST_PER_REQUEST, left);
        left -= count;
        String name = "r-" + term + "-" + ++hireSequence;
        Hire hire = new Hire(name, option.type, option.zone, option.spot, count, now);
        open.put(hire.name, hire);
        out.add(hire);
      }
    }
    return out;
  }

  /**
   * Dear machines are let go while the others can work the backlog off in time. The bound is well
   * below the one at which they are rented, so that they do not come and go.
   */
  void retire(Collection<Machine> machines, Collection<Job> jobs, Backlog backlog, Time now) {
    List<Machine> up = new ArrayList<>();
    for (Machine m : machines) {
      if (m.usable()) {
        up.add(m);
      }
    }
    double cheapest = Placement.cheapestPerCore(up);
    double cheapCores = 0;
    for (Machine m : up) {
      if (m.pricePerCore() <= cheapest * policy.dearFactor()) {
        cheapCores += m.type.size().cores();
      }
    }
    double waitS = backlog.work() / Math.max(1, cheapCores);
    boolean late = false;
    boolean accelerators = false;
    for (Job job : jobs) {
      accelerators |= job.pendingCount() > 0 && job.spec.size().gpus() > 0;
      late |= job.pendingCount() > 0 && !job.failsEverywhere() && wouldBeLate(job, waitS, now);
    }
    markThoseThatOnlyDearOnesTake(jobs, up, cheapest);
    boolean enough = !late && waitS < policy.ordinaryHorizon().toSeconds() * 0.7;
    boolean tooLittle = late || waitS > policy.ordinaryHorizon().toSeconds();
    for (Machine m : up) {
      boolean dear = m.pricePerCore() > cheapest * policy.dearFactor();
      // Cores say nothing of what accelerators are worth: while work waits for these they stay.
      dear &= m.type.size().gpus() <= 0 || !accelerators;
      if (!dear || tooLittle) {
        m.retiring = false;
      } else if (enough) {
        m.retiring = true;
      }
    }
  }

  /**
   * A job that none of the cheap machines may ever take, by its zone, its types or because it may
   * not use spot machines, is served by a dear one that retires: it waited beside its free room for
   * as long as the others' work could be done in time without that machine.
   */
  private void markThoseThatOnlyDearOnesTake(
      Collection<Job> jobs, List<Machine> up, double cheapest) {
    Map<String, Machine> cheapKinds = new LinkedHashMap<>();
    for (Machine m : up) {
      if (m.pricePerCore() <= cheapest * policy.dearFactor()) {
        cheapKinds.putIfAbsent(m.kind(), m);
      }
    }
    for (Job job : jobs) {
      job.onlyOnDear = job.pendingCount() > 0 && !anyMayTake(cheapKinds.values(), job);
    }
  }

  private static boolean anyMayTake(Collection<Machine> kinds, Job job) {
    for (Machine m : kinds) {
      if (job.spec.size().fitsIn(m.type.size()) && Placement.allowed(job, m)) {
        return true;
      }
    }
    return false;
  }

  private static double fleetHourly(Collection<Machine> machines) {
    double hourly = 0;
    for (Machine m : machines) {
      hourly += m.type == null ? 0 : m.type.hourly(m.spot);
    }
    return hourly;
  }

  /** Whether a job would miss its own deadline by waiting so long. */
  private boolean wouldBeLate(Job job, double waitS, Time now) {
    return job.hasDeadline() && waitS > spareS(job, now);
  }

  /** How long a job's tasks may still wait so that it ends in time. */
  private double spareS(Job job, Time now) {
    return job.completeBy().since(now).toSeconds() - estimates.predict(job, 0).toSeconds();
  }

  private Option choose(
      Job job,
      int tasks,
      Collection<MachineType> types,
      boolean pressing,
      double dearest,
      Time now) {
    Option best = null;
    double bestCost = Double.MAX_VALUE;
    double cheapestPerTask = Double.MAX_VALUE;
    for (MachineType type : types) {
      int slots = job.spec.size().countIn(type.size());
      if (slots == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          if (!job.spec.allows(type.name(), zone, spot) || !job.startsIn(zone)) {
            continue;
          }
          if (job.spec.oneZone()
              && !job.present.isEmpty()
              && !job.present.firstEntry().getValue().machine.zone.equals(zone)) {
            continue;
          }
          Option option = new Option(type, zone, spot);
          double hourly = type.hourly(spot);
          cheapestPerTask = Math.min(cheapestPerTask, hourly / slots);
          Backoff b = backoffs.get(option.kind());
          if (b != null && now.before(b.until)) {
            continue;
          }
          // A large machine costs more than its price: one long task keeps all of it, and all of
          // it is taken at once.
          if (hourly > dearest && hourly / slots > cheapestPerTask * policy.dearFactor()) {
            continue;
          }
          double cost =
              Math.ceil((double) tasks / slots) * hourly * (1 + type.size().cores() / 500);
          if (cost < bestCost) {
            best = option;
            bestCost = cost;
          }
        }
      }
    }
    if (best == null || lessAsked(best)) {
      // The best kind was just asked for all that was wanted: the answer comes first. While what is
      // wanted goes beyond one request, the next is sent without waiting.
      return null;
    }
    double perTask = best.type.hourly(best.spot) / job.spec.size().countIn(best.type.size());
    if (!pressing && perTask > cheapestPerTask * policy.dearFactor()) {
      return null;
    }
    return best;
  }

  private boolean lessAsked(Option option) {
    for (Hire h : open.values()) {
      if (h.count < MOST_PER_REQUEST && h.kind().equals(option.kind())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether a machine for the job may still be had: some kind that it may use was not refused
   * lately.
   */
  boolean mayHave(Job job, Collection<MachineType> types, Time now) {
    for (MachineType type : types) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Option option = new Option(type, zone, spot);
          Backoff b = backoffs.get(option.kind());
          boolean refused = b != null && now.before(b.until.plus(REFUSED_LATELY));
          if (!refused
              && job.spec.allows(type.name(), zone, spot)
              && job.spec.size().fitsIn(type.size())) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /** Whether the cloud has refused nothing lately. */
  boolean givesAll(Time now) {
    return backoffs.values().stream().noneMatch(b -> now.before(b.until));
  }

  void answered(Hire hire, int got, Time now) {
    open.remove(hire.name);
    if (got >= hire.count) {
      backoffs.remove(hire.kind());
      return;
    }
    Backoff before = backoffs.get(hire.kind());
    Span length = before == null || got > 0 ? FIRST_BACKOFF : before.length.times(2);
    if (length.longerThan(LONGEST_BACKOFF)) {
      length = LONGEST_BACKOFF;
    }
    backoffs.put(hire.kind(), new Backoff(now.plus(length), length));
    account.happened(
        "machines were asked for and the cloud did not give them",
        hire.count - got,
        got + " of " + hire.count + " " + hire.kind());
  }
}
