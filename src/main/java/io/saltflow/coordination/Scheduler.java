package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
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
  private final Policy policy;
  private final Estimates estimates;
  private final TeamUse use;
  private final Queue queue;
  private final HeadReservation reservation;
  private final Preemption preemption;
  private List<Machine> usable = List.of();
  private List<Waiting> waiting = List.of();
  private Job head;
  private double cheapest;
  private Size smallestWaiting;
  private Set<JobId> guaranteed = Set.of();

  /** How often a machine was looked at for a task: what a round's work grows with. */
  private long looks;

  Scheduler(Policy policy, Estimates estimates, TeamUse use, Account account) {
    this.policy = policy;
    this.estimates = estimates;
    this.use = use;
    queue = new Queue(policy, estimates);
    reservation = new HeadReservation(estimates, account);
    preemption = new Preemption(policy, estimates, use, account);
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

  long looks() {
    return looks;
  }

  /** Gives tasks to machines and marks tasks to stop; returns who still waits, in queue order. */
  List<Waiting> round(
      Collection<Job> jobs, Collection<Machine> machines, boolean accounted, Time now) {
    usable = new ArrayList<>();
    List<Machine> booting = new ArrayList<>();
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
    List<Job> order = new ArrayList<>();
    for (Job job : queue.inOrder(jobs, guaranteed, cores, now)) {
      if (!job.cancelled
          && !job.finishing
          && job.pendingCount() > 0
          && (accounted || !job.maybeStartedBefore)) {
        order.add(job);
      }
    }
    List<Machine> open = withRoomFor(smallest(order));
    waiting = new ArrayList<>();
    head = null;
    for (Job job : order) {
      if (!job.startRecorded) {
        waiting.add(new Waiting(job, job.countPending(0, use.mayStillGive(job), now), true));
        continue;
      }
      int left = place(job, open, now);
      if (left > 0 || job.nextPending(0, now) >= 0) {
        waiting.add(new Waiting(job, left, false));
      }
      if (left > 0 && head == null) {
        head = job;
        reservation.reserve(job, left, usable, booting, now);
      }
    }
    smallestWaiting = null;
    for (Waiting w : waiting) {
      Size s = w.job.spec.size();
      smallestWaiting = smallestWaiting == null ? s : smallestWaiting.least(s);
    }
    reservation.stopWhenDue(head, usable, now);
    preemption.preempt(waiting, usable, booting, guaranteed, now);
    return waiting;
  }

  /** The least of each amount that any of these asks for. */
  private static Size smallest(List<Job> jobs) {
    Size least = null;
    for (Job job : jobs) {
      least = least == null ? job.spec.size() : least.least(job.spec.size());
    }
    return least;
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
  private int place(Job job, List<Machine> open, Time now) {
    int index = job.nextPending(0, now);
    if (index < 0) {
      return 0;
    }
    Crowd crowd = job.service() ? new Crowd(job) : null;
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(BEST);
    for (int i = 0; i < open.size(); i++) {
      offer(job, index, open.get(i), i, crowd, candidates, now);
    }
    while (index >= 0) {
      if (!use.mayGive(job)) {
        // Its team's limit stands in its way, not room: no room is made or reserved for it.
        return 0;
      }
      Candidate best = candidates.poll();
      if (best == null) {
        return job.countPending(index, use.mayStillGive(job), now);
      }
      if (crowd != null && score(job, best.machine, crowd) > best.score) {
        // Its zone got another meanwhile.
        offer(job, index, best.machine, best.order, crowd, candidates, now);
        continue;
      }
      // Tasks that were stopped before are predicted otherwise than their siblings.
      if (mayTake(job, index, best.machine, head != null, now)) {
        give(job, index, best.machine, now);
        if (crowd != null) {
          crowd.add(best.machine);
        }
        index = job.nextPending(index + 1, now);
        if (index >= 0) {
          offer(job, index, best.machine, best.order, crowd, candidates, now);
        }
      }
    }
    return 0;
  }

  private void offer(
      Job job,
      int index,
      Machine m,
      int order,
      Crowd crowd,
      PriorityQueue<Candidate> candidates,
      Time now) {
    if (mayTake(job, index, m, head != null, now)) {
      candidates.add(new Candidate(m, order, score(job, m, crowd)));
    }
  }

  /** A service's tasks are spread; others go where they fetch least and leave most room. */
  private double score(Job job, Machine m, Crowd crowd) {
    boolean dear = m.pricePerCore() > cheapest * policy.dearFactor();
    return Placement.score(job, m, m.room, estimates, dear) + (crowd == null ? 0 : crowd.score(m));
  }

  private boolean mayTake(Job job, int index, Machine m, boolean backfilling, Time now) {
    looks++;
    return job.spec.size().fitsIn(m.room)
        && Placement.allowed(job, m)
        && (!backfilling || mayBackfill(job, m, estimates.predict(job, index), now))
        && (job.errorMachines.isEmpty()
            || !job.errorMachines.contains(m.id)
            || job.failsEverywhere()
            || usable.size() <= 1)
        && (!m.retiring
            || guaranteed.contains(job.id())
            || job.spec.priority().compareTo(policy.preemptFrom()) >= 0);
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
    boolean backfilling = false;
    for (Waiting w : waiting) {
      Job job = w.job;
      // A service's tasks are spread over machines, which only a whole round looks at.
      if (!job.cancelled
          && !job.finishing
          && !job.service()
          && job.startRecorded
          && (accounted || !job.maybeStartedBefore)) {
        int index = job.nextPending(0, now);
        while (index >= 0 && use.mayGive(job) && mayTake(job, index, m, backfilling, now)) {
          give(job, index, m, now);
          index = job.nextPending(index + 1, now);
        }
        if (!smallestWaiting.fitsIn(m.room)) {
          return;
        }
      }
      backfilling |= job == head;
    }
  }

  private boolean mayBackfill(Job job, Machine m, Span run, Time now) {
    Reservation r = m.reserved;
    return r == null || endsBefore(job, m, run, now, r) || job.spec.size().fitsIn(r.extra);
  }

  private boolean endsBefore(Job job, Machine m, Span run, Time now, Reservation r) {
    return !job.spec.daemon() && !now.plus(estimates.fetch(job, m)).plus(run).after(r.at);
  }

  private void give(Job job, int index, Machine m, Time now) {
    boolean backfilling = head != null && head != job;
    m.room = m.room.minus(job.spec.size());
    use.given(job);
    job.given(index);
    m.assigned.add(new Machine.Assigned(job, index, backfilling));
    if (job.spec.oneZone() || job.spec.spread()) {
      job.assignedZones.add(m.zone);
    }
    Reservation r = m.reserved;
    if (r != null && !endsBefore(job, m, estimates.predict(job, index), now, r)) {
      r.extra = r.extra.minus(job.spec.size());
    }
  }
}
