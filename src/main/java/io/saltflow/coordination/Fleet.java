package io.saltflow.coordination;

import io.saltflow.protocol.MachineId;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which machines to rent and which to return. */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final int MOST_PER_REQUEST = 50;
  private static final Span FIRST_BACKOFF = Span.seconds(8);
  private static final Span LONGEST_BACKOFF = Span.seconds(60);

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
  private final Map<String, Hire> open = new LinkedHashMap<>();
  private final Map<String, Backoff> backoffs = new HashMap<>();
  private long hireSequence;

  Fleet(Policy policy, Term term, Estimates estimates) {
    this.policy = policy;
    this.term = term;
    this.estimates = estimates;
  }

  Collection<Hire> open() {
    return open.values();
  }

  /** What is to be rented for those who wait, beside what is on its way. */
  List<Hire> plan(
      List<Scheduler.Waiting> waiting,
      Collection<Job> jobs,
      Collection<Machine> machines,
      Collection<MachineType> types,
      Time now) {
    List<Hire> out = new ArrayList<>();
    if (open.size() >= 6) {
      return out;
    }
    Map<Object, Size> coming = new LinkedHashMap<>();
    double fleetCores = 0;
    for (Machine m : machines) {
      if (m.type == null || m.leaving || m.faulty) {
        continue;
      }
      boolean late = m.booting() && now.after(m.rentedAt.plus(m.type.boot().times(1.6)));
      if (!late && m.noticeAt == null) {
        fleetCores += m.type.size().cores();
      }
      if (m.booting() && !late) {
        coming.put(m, m.type.size());
      }
    }
    for (Hire h : open.values()) {
      for (int i = 0; i < h.count; i++) {
        coming.put(h.name + "#" + i, h.type.size());
        fleetCores += h.type.size().cores();
      }
    }
    // Not even for late work may one dear machine cost a good part of what all the others do: a
    // large one would idle around its last long task.
    double dearest = fleetHourly(machines) * policy.dearShare();
    double stoppable = stoppableCores(jobs);
    double work = remainingWork(jobs, now);
    double spare = coresWanted(jobs, types, now) - fleetCores;
    for (Scheduler.Waiting w : waiting) {
      int left = w.tasks();
      if (w.job().failsEverywhere()) {
        left = Math.min(left, 1);
      }
      for (Map.Entry<Object, Size> e : coming.entrySet()) {
        while (left > 0 && w.job().spec.size().fitsIn(e.getValue())) {
          e.setValue(e.getValue().minus(w.job().spec.size()));
          left--;
        }
      }
      if (left == 0) {
        continue;
      }
      double cores = w.job().spec.size().cores();
      boolean urgent = w.job().spec.daemon();
      if (w.job().spec.priority().compareTo(policy.preemptFrom()) >= 0) {
        // Room that can be had by stopping lower work is there before any machine is up; what was
        // stopped then counts as backlog.
        urgent |= stoppable < cores * left;
        stoppable -= cores * left;
      }
      if (!urgent && fleetCores > 0 && cores > 0) {
        left = (int) Math.min(left, Math.ceil(spare / cores));
      }
      while (left > 0 && out.size() < 4) {
        double waitS = work / Math.max(1, fleetCores);
        boolean pressing =
            urgent
                || waitS > policy.ordinaryHorizon().toSeconds()
                || wouldBeLate(w.job(), waitS, now);
        Option option =
            choose(w.job(), left, types, pressing, urgent ? Double.MAX_VALUE : dearest, now, out);
        if (option == null) {
          break;
        }
        int slots = w.job().spec.size().countIn(option.type.size());
        int count = Math.min(MOST_PER_REQUEST, (left + slots - 1) / slots);
        Hire hire =
            new Hire(
                "r-" + term + "-" + (++hireSequence),
                option.type,
                option.zone,
                option.spot,
                count,
                now);
        open.put(hire.name, hire);
        out.add(hire);
        left -= Math.min(left, count * slots);
        double rented = count * option.type.size().cores();
        fleetCores += rented;
        spare -= rented;
        // What one rented machine has beside this job's tasks serves those behind it.
        for (int i = 0; i < count; i++) {
          int taken = Math.min(slots, w.tasks());
          coming.put(
              hire.name + "#" + i, option.type.size().minus(w.job().spec.size().times(taken)));
        }
      }
    }
    return out;
  }

  /**
   * Dear machines are let go while the others can work the backlog off in time. The bound is well
   * below the one at which they are rented, so that they do not come and go.
   */
  void retire(Collection<Machine> machines, Collection<Job> jobs, Time now) {
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
    double waitS = remainingWork(jobs, now) / Math.max(1, cheapCores);
    boolean late = false;
    for (Job job : jobs) {
      late |= job.pendingCount() > 0 && wouldBeLate(job, waitS, now);
    }
    boolean enough = !late && waitS < policy.ordinaryHorizon().toSeconds() * 0.7;
    boolean tooLittle = late || waitS > policy.ordinaryHorizon().toSeconds();
    for (Machine m : up) {
      boolean dear = m.pricePerCore() > cheapest * policy.dearFactor();
      if (!dear || tooLittle) {
        m.retiring = false;
      } else if (enough) {
        m.retiring = true;
      }
    }
  }

  /**
   * The cores with which every job would be worked off within the horizon, or sooner where its due
   * time asks for it. Machines that are rented now are of use only once they are up.
   */
  private double coresWanted(Collection<Job> jobs, Collection<MachineType> types, Time now) {
    double bootS = Double.MAX_VALUE;
    for (MachineType type : types) {
      bootS = Math.min(bootS, type.boot().toSeconds());
    }
    double horizonS = policy.horizon().toSeconds();
    double wanted = 0;
    for (Job job : jobs) {
      if (job.cancelled || job.finishing) {
        continue;
      }
      double cores = job.spec.size().cores();
      if (job.spec.daemon()) {
        wanted += cores * job.spec.tasks();
        continue;
      }
      double runS = estimates.predict(job, 0).toSeconds();
      double windowS = horizonS;
      if (job.dueAt != null) {
        windowS = Math.min(windowS, job.dueAt.since(now).toSeconds() - bootS);
      }
      wanted += cores * job.pendingCount() * Math.min(1, runS / Math.max(runS, windowS));
      for (Presence p : job.present.values()) {
        double leftS = Math.max(0, estimates.end(p, now).since(now).toSeconds());
        wanted += cores * Math.min(1, leftS / horizonS);
      }
    }
    return wanted;
  }

  private static double fleetHourly(Collection<Machine> machines) {
    double hourly = 0;
    for (Machine m : machines) {
      hourly += m.type == null ? 0 : m.type.hourly(m.spot);
    }
    return hourly;
  }

  /** Cores in use by work that urgent work may stop. */
  private double stoppableCores(Collection<Job> jobs) {
    double cores = 0;
    for (Job job : jobs) {
      if (job.spec.priority().compareTo(policy.preemptFrom()) < 0) {
        cores += job.spec.size().cores() * job.present.size();
      }
    }
    return cores;
  }

  /** Whether a job would miss its own deadline by waiting so long. */
  private boolean wouldBeLate(Job job, double waitS, Time now) {
    return job.spec.deadline() != null && job.dueAt != null && waitS > spareS(job, now);
  }

  /** How long a job's tasks may still wait so that it ends in time. */
  private double spareS(Job job, Time now) {
    return job.dueAt.since(now).toSeconds() - estimates.predict(job, 0).toSeconds();
  }

  /** Core-seconds that all accepted work still needs, by prediction. */
  private double remainingWork(Collection<Job> jobs, Time now) {
    double work = 0;
    for (Job job : jobs) {
      if (job.cancelled || job.finishing) {
        continue;
      }
      double cores = job.spec.size().cores();
      if (job.spec.daemon()) {
        work += cores * job.spec.tasks() * policy.horizon().toSeconds();
        continue;
      }
      work += cores * job.pendingCount() * estimates.predict(job, 0).toSeconds();
      for (Presence p : job.present.values()) {
        work += cores * Math.max(0, estimates.end(p, now).since(now).toSeconds());
      }
    }
    return work;
  }

  private Option choose(
      Job job,
      int tasks,
      Collection<MachineType> types,
      boolean pressing,
      double dearest,
      Time now,
      List<Hire> planned) {
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
          if (!job.spec.allows(type.name(), zone, spot)) {
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
    if (best == null || asked(best, planned)) {
      // The best kind was just asked for: its answer comes before a worse kind is taken.
      return null;
    }
    double perTask = best.type.hourly(best.spot) / job.spec.size().countIn(best.type.size());
    if (!pressing && perTask > cheapestPerTask * policy.dearFactor()) {
      return null;
    }
    return best;
  }

  private boolean asked(Option option, List<Hire> planned) {
    for (Hire h : open.values()) {
      if (h.kind().equals(option.kind())) {
        return true;
      }
    }
    for (Hire h : planned) {
      if (h.kind().equals(option.kind())) {
        return true;
      }
    }
    return false;
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
    LOG.info("the cloud gave {} of {} {}", got, hire.count, hire.kind());
  }

  /** Machines to return: silent, faulty, never up, taken soon and empty, or idle for too long. */
  List<MachineId> toReturn(Collection<Machine> machines, Time tookOver, Time now) {
    List<MachineId> out = new ArrayList<>();
    int heard = 0;
    int silent = 0;
    int old = 0;
    int unheard = 0;
    for (Machine m : machines) {
      if (m.up || m.mightHoldOldTasks) {
        heard++;
        if (silentFor(m, tookOver, now).longerThan(policy.reportOverdue())) {
          silent++;
        }
        old++;
        unheard += m.mightHoldOldTasks ? 1 : 0;
      }
    }
    // When many fall silent at once, the cut is more likely to be ours than theirs.
    boolean cut = silent >= 3 && silent * 2 > heard;
    // A new leader that has heard nearly all waits less for the rest: they hold everything up.
    Span patience = policy.silence().times(unheard * 5 <= old ? 0.65 : 1);
    for (Machine m : machines) {
      if (m.deleteAsked) {
        continue;
      }
      String why = reason(m, cut, patience, tookOver, now);
      if (why != null) {
        LOG.info("machine {} ({}) is returned: {}", m.id, m.kind(), why);
        m.leaving = true;
        m.deleteAsked = true;
        out.add(m.id);
      }
    }
    return out;
  }

  private static Span silentFor(Machine m, Time tookOver, Time now) {
    return now.since(Time.later(m.lastHeard, tookOver));
  }

  private String reason(Machine m, boolean cut, Span patience, Time tookOver, Time now) {
    Span silence = silentFor(m, tookOver, now);
    Span most = m.mightHoldOldTasks ? patience : policy.silence();
    if (m.unlisted) {
      most = m.mightHoldOldTasks ? policy.report() : policy.reportOverdue();
    } else if (cut) {
      most = policy.leaseSurelyOver();
    }
    if ((m.up || m.mightHoldOldTasks) && silence.longerThan(most)) {
      return "it has been silent for " + Math.round(silence.toSeconds()) + " s";
    }
    if (m.type == null) {
      return m.presences.isEmpty() ? "its type is not known" : null;
    }
    if (m.faulty) {
      return "it fails what it is given";
    }
    Span age = now.since(m.rentedAt);
    if (m.booting()) {
      Span longest = m.type.boot().times(policy.bootPatience()).plus(Span.seconds(10));
      return age.longerThan(longest) ? "it never came up" : null;
    }
    if (!m.presences.isEmpty() || !m.assigned.isEmpty() || m.idleSince == null || !m.accounted) {
      return null;
    }
    if (m.noticeAt != null) {
      return "it is empty and the cloud is about to take it";
    }
    // The first minute is charged whether it is used or not.
    Span idle = now.since(m.idleSince);
    if (m.retiring && age.longerThan(policy.minimumCharge())) {
      return "it is dear and no longer needed";
    }
    boolean paid = age.longerThan(policy.minimumCharge());
    if (paid && idle.longerThan(m.type.boot().times(policy.idleReturnBoots()))) {
      // Kept for as long as it would take to rent another: longer costs more than it can save.
      return "it is idle";
    }
    return null;
  }
}
