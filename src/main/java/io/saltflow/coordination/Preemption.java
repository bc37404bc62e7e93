package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Makes room for jobs of higher priority, and for guarantees. Room that comes by itself within the
 * patience counts first, so that nothing is stopped for room that is on its way.
 */
final class Preemption {
  private final Policy policy;
  private final Estimates estimates;
  private final TeamUse use;
  private final LeastParts parts;
  private final Account account;

  Preemption(Policy policy, Estimates estimates, TeamUse use, LeastParts parts, Account account) {
    this.policy = policy;
    this.estimates = estimates;
    this.use = use;
    this.parts = parts;
    this.account = account;
  }

  /** A machine with the room that it will have soon, and what runs there beyond that. */
  private static final class Place {
    final Machine machine;
    final int order;
    final List<Presence> lasting = new ArrayList<>();
    Size soon;

    Place(Machine machine, int order, Size soon) {
      this.machine = machine;
      this.order = order;
      this.soon = soon;
    }
  }

  /** What stopping these would cost, so that one more task of a job fits. */
  private record Offer(Place place, List<Presence> victims, double cost) {}

  private static final Comparator<Offer> CHEAPEST =
      Comparator.comparingDouble(Offer::cost).thenComparingInt(o -> o.place.order);

  void preempt(
      List<Scheduler.Waiting> waiting,
      List<Machine> usable,
      List<Machine> booting,
      Set<JobId> guaranteed,
      Time now) {
    List<Place> places = null;
    Map<String, Size> stopped = new HashMap<>();
    for (Scheduler.Waiting w : waiting) {
      boolean urgent = w.job().priority().compareTo(policy.preemptFrom()) >= 0;
      if ((!urgent && !guaranteed.contains(w.job().id()))
          || w.job().failsEverywhere()
          || w.held()) {
        continue;
      }
      if (places == null) {
        places = places(usable, booting, now);
      }
      int left = useRoomSoon(w, places);
      if (left > 0) {
        stopFor(w.job(), left, places, guaranteed, stopped, now);
      }
    }
  }

  private List<Place> places(List<Machine> usable, List<Machine> booting, Time now) {
    Time limit = now.plus(policy.patience());
    List<Place> out = new ArrayList<>();
    for (Machine m : usable) {
      // What is gathered on a machine for a class or team that is owed it is nobody else's.
      Reservation owed = m.reserved != null && m.reserved.owed ? m.reserved : null;
      Place place = new Place(m, out.size(), owed == null ? m.room : m.room.least(owed.extra));
      for (Presence p : m.presences.values()) {
        Time end = estimates.end(p, now);
        if (owed != null && !p.stopping && !end.after(owed.at)) {
          continue;
        }
        if (p.stopping || !end.after(limit)) {
          place.soon = place.soon.plus(p.job.spec.size());
        } else {
          place.lasting.add(p);
        }
      }
      place.lasting.sort(Comparator.comparingDouble((Presence p) -> cost(p, now)));
      out.add(place);
    }
    for (Machine m : booting) {
      if (!HeadReservation.readyAt(m, now).after(limit)) {
        out.add(new Place(m, out.size(), m.type.size()));
      }
    }
    return out;
  }

  /** Takes the room that comes by itself; how many tasks find none. */
  private static int useRoomSoon(Scheduler.Waiting w, List<Place> places) {
    Size size = w.job().spec.size();
    int left = Math.min(w.tasks(), HeadReservation.MOST_RESERVED);
    for (Place place : places) {
      while (left > 0 && size.fitsIn(place.soon) && Placement.allowed(w.job(), place.machine)) {
        place.soon = place.soon.minus(size);
        left--;
      }
      if (left == 0) {
        break;
      }
    }
    return left;
  }

  private void stopFor(
      Job job,
      int tasks,
      List<Place> places,
      Set<JobId> guaranteed,
      Map<String, Size> stopped,
      Time now) {
    PriorityQueue<Offer> offers = new PriorityQueue<>(CHEAPEST);
    for (Place place : places) {
      addOffer(job, place, offers, guaranteed, stopped, now);
    }
    int left = tasks;
    while (left > 0 && !offers.isEmpty()) {
      Offer best = offers.poll();
      Place place = best.place;
      for (Presence p : best.victims) {
        // A stop made meanwhile may have brought its team within its guarantee, or its service to
        // its floor.
        if (!mayStop(p, job, guaranteed, stopped, List.of()) || !spares(p, List.of())) {
          continue;
        }
        if (p.job.service()) {
          p.job.disruptions.take(1);
        }
        account.happened(
            guaranteed.contains(job.id())
                ? "tasks are stopped for work within its team's guarantee"
                : "tasks are stopped for work of higher priority",
            p.task() + " for " + job.id());
        parts.stopped(p);
        p.stop(now, grace(p));
        place.soon = place.soon.plus(p.job.spec.size());
        place.lasting.remove(p);
        stopped.merge(p.job.spec.team(), p.job.spec.size(), Size::plus);
      }
      while (left > 0 && job.spec.size().fitsIn(place.soon)) {
        place.soon = place.soon.minus(job.spec.size());
        left--;
      }
      addOffer(job, place, offers, guaranteed, stopped, now);
    }
  }

  private void addOffer(
      Job job,
      Place place,
      PriorityQueue<Offer> offers,
      Set<JobId> guaranteed,
      Map<String, Size> stopped,
      Time now) {
    if (place.lasting.isEmpty() || !Placement.allowed(job, place.machine)) {
      return;
    }
    Size sum = place.soon;
    double cost = estimates.fetch(job, place.machine).toSeconds();
    List<Presence> chosen = new ArrayList<>();
    for (Presence p : place.lasting) {
      if (job.spec.size().fitsIn(sum)) {
        break;
      }
      if (mayStop(p, job, guaranteed, stopped, chosen) && spares(p, chosen)) {
        sum = sum.plus(p.job.spec.size());
        cost += cost(p, now);
        chosen.add(p);
      }
    }
    if (!chosen.isEmpty() && job.spec.size().fitsIn(sum)) {
      offers.add(new Offer(place, chosen, cost));
    }
  }

  /** Whether its service has enough replicas without this one and those chosen before it. */
  private static boolean spares(Presence p, List<Presence> chosen) {
    if (!p.job.service()) {
      return true;
    }
    Disruptions budget = p.job.disruptions;
    int before = 0;
    for (Presence c : chosen) {
      before += c.job.disruptions == budget ? 1 : 0;
    }
    return budget != null && budget.covers(before + 1);
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

  private boolean mayStop(
      Presence p,
      Job forJob,
      Set<JobId> guaranteed,
      Map<String, Size> stopped,
      List<Presence> chosen) {
    Priority mine = forJob.priority();
    boolean victimGuaranteed = guaranteed.contains(p.job.id());
    if (mine.above(p.job.priority())
        && mine.compareTo(policy.preemptFrom()) >= 0
        && (!victimGuaranteed || guaranteed.contains(forJob.id()))
        && parts.spares(p, chosen)) {
      return true;
    }
    String theirs = p.job.spec.team();
    if (!guaranteed.contains(forJob.id())
        || victimGuaranteed
        || theirs.equals(forJob.spec.team())) {
      return false;
    }
    Policy.Team team = policy.teams().get(theirs);
    Size used = use.most(theirs).minus(stopped.getOrDefault(theirs, Size.ZERO));
    return team != null && (used.cores() > team.cores() || used.gpus() > team.gpus());
  }
}
