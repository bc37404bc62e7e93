package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** The paper's reservation for the job at the head of the queue, and the stops when it is due. */
final class HeadReservation {
  /** How many tasks of the head get a reservation: bounds a round's work. */
  static final int MOST_RESERVED = 256;

  /** How many jobs get a reservation on account of what they are owed: bounds it too. */
  private static final int MOST_NEEDS = 16;

  /** The head's promise, kept over rounds so that it does not slip. */
  private record Promise(JobId job, Time at) {}

  private record End(Time at, int order, Machine machine, Size size) {}

  private static final Comparator<End> SOONEST =
      Comparator.comparing(End::at).thenComparingInt(End::order);

  private final Estimates estimates;
  private final LeastParts parts;
  private final Account account;
  private Promise promise;

  HeadReservation(Estimates estimates, LeastParts parts, Account account) {
    this.account = account;
    this.parts = parts;
    this.estimates = estimates;
  }

  /** A job that room is reserved for, and for how many of its tasks. */
  static final class Need {
    final Job job;
    int tasks;

    Need(Job job, int tasks) {
      this.job = job;
      this.tasks = tasks;
    }
  }

  /** Adds the room of running tasks by predicted end until the head's tasks fit. */
  void reserve(Job head, int tasks, List<Machine> usable, List<Machine> booting, Time now) {
    List<Need> needs = List.of(new Need(head, Math.min(tasks, MOST_RESERVED)));
    Time first = claim(needs, false, usable, booting, now);
    if (first == null) {
      promise = null;
    } else if (promise == null || !promise.job.equals(head.id()) || first.before(promise.at)) {
      promise = new Promise(head.id(), first);
    }
  }

  /**
   * The same for jobs whose class or team is owed a part of the fleet, in their order. Room that is
   * made by a stop is left to the work that it is made for.
   */
  void reserveOwed(Collection<Need> needs, List<Machine> usable, List<Machine> booting, Time now) {
    int left = MOST_RESERVED;
    List<Need> first = new ArrayList<>();
    for (Need need : needs) {
      need.tasks = Math.min(left, need.tasks);
      left -= need.tasks;
      if (need.tasks > 0 && first.size() < MOST_NEEDS) {
        first.add(need);
      }
    }
    if (!first.isEmpty()) {
      claim(first, true, usable, booting, now);
    }
  }

  private static boolean allowed(List<Need> needs, Machine m) {
    for (Need need : needs) {
      if (need.tasks > 0 && Placement.allowed(need.job, m)) {
        return true;
      }
    }
    return false;
  }

  private Time claim(
      List<Need> needs, boolean owed, List<Machine> usable, List<Machine> booting, Time now) {
    List<End> ends = new ArrayList<>();
    Map<Machine, Size> future = new HashMap<>();
    for (Machine m : usable) {
      if (m.reserved != null || !allowed(needs, m)) {
        continue;
      }
      future.put(m, m.room);
      for (Presence p : m.presences.values()) {
        if (!owed || !p.stopping) {
          ends.add(new End(estimates.end(p, now), ends.size(), m, p.job.spec.size()));
        }
      }
      for (Machine.Assigned a : m.assigned) {
        Time end =
            now.plus(estimates.fetch(a.job(), m)).plus(estimates.predict(a.job(), a.index()));
        Time at = a.job().spec.daemon() ? Time.NEVER : end;
        ends.add(new End(at, ends.size(), m, a.job().spec.size()));
      }
    }
    for (Machine m : booting) {
      if (allowed(needs, m)) {
        future.put(m, Size.ZERO);
        ends.add(new End(readyAt(m, now), ends.size(), m, m.type.size()));
      }
    }
    return claim(needs, owed, ends, future);
  }

  /** Goes through the ends by time, as far as the jobs need; the first claim's time. */
  private static Time claim(
      List<Need> needs, boolean owed, List<End> ends, Map<Machine, Size> future) {
    int left = 0;
    Size least = null;
    for (Need need : needs) {
      left += need.tasks;
      least = least == null ? need.job.spec.size() : least.least(need.job.spec.size());
    }
    // A heap, for the head mostly fits after few of the thousands of ends.
    PriorityQueue<End> soonest = new PriorityQueue<>(Math.max(1, ends.size()), SOONEST);
    soonest.addAll(ends);
    Time first = null;
    while (left > 0 && !soonest.isEmpty()) {
      End end = soonest.poll();
      if (end.at.equals(Time.NEVER)) {
        // Replicas stay: room behind them is promised to nobody, and small work may use it.
        break;
      }
      Machine m = end.machine;
      Size sum = future.get(m).plus(end.size);
      for (Need need : least.fitsIn(sum) ? needs : List.<Need>of()) {
        Size size = need.job.spec.size();
        if (need.tasks == 0 || !size.fitsIn(sum) || !Placement.allowed(need.job, m)) {
          continue;
        }
        while (need.tasks > 0 && size.fitsIn(sum)) {
          sum = sum.minus(size);
          need.tasks--;
          left--;
        }
        first = first == null ? end.at : first;
        m.reserved = new Reservation(end.at, owed, sum);
      }
      future.put(m, sum);
      if (m.reserved != null) {
        m.reserved.extra = sum;
      }
    }
    return first;
  }

  /** A machine's room counts from when it should be ready: our extension for rented machines. */
  static Time readyAt(Machine m, Time now) {
    Time due = m.rentedAt.plus(m.type.boot());
    return due.after(now) ? due : now.plus(now.since(m.rentedAt).times(0.3));
  }

  /** At the reserve time, backfilled tasks that checkpoint are stopped, largest first. */
  void stopWhenDue(Job head, List<Machine> usable, Time now) {
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
      Size sum = m.room;
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
        if (!head.spec.size().fitsIn(sum) && parts.spares(p, chosen)) {
          sum = sum.plus(p.job.spec.size());
          chosen.add(p);
        }
      }
      if (!chosen.isEmpty() && head.spec.size().fitsIn(sum)) {
        for (Presence p : chosen) {
          account.happened(
              "backfilled tasks are stopped: the time reserved for the head job has come",
              p.task() + " for " + head.id());
          parts.stopped(p);
          p.stop(now, p.job.spec.save().plus(Span.seconds(1)));
        }
        return;
      }
    }
  }

  /** Work never preempts work of equal or higher priority, even at the reserve time. */
  private static boolean behind(Job job, Job head) {
    return head.priority().above(job.priority());
  }
}
