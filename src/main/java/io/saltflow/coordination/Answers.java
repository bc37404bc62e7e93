package io.saltflow.coordination;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The orders that answer a worker's report: what to clear, to halt and to launch. */
final class Answers {
  private static final Logger LOG = LoggerFactory.getLogger(Answers.class);
  private static final Span SAVE_PATIENCE = Span.seconds(5);

  private final Policy policy;
  private final Term term;
  private final Time tookOver;
  private final Map<JobId, Job> jobs;
  private final Fencing fencing;
  private final Scheduler scheduler;
  private final TeamUse use;
  private long attemptSequence;
  private long launches;

  Answers(
      Policy policy,
      Term term,
      Time tookOver,
      Map<JobId, Job> jobs,
      Fencing fencing,
      Scheduler scheduler,
      TeamUse use) {
    this.policy = policy;
    this.term = term;
    this.tookOver = tookOver;
    this.jobs = jobs;
    this.fencing = fencing;
    this.scheduler = scheduler;
    this.use = use;
  }

  long launches() {
    return launches;
  }

  /** A result stays listed until the state service holds it, so that a new leader finds it. */
  void clear(Report r, List<Order> orders) {
    for (Report.TaskReport t : r.tasks()) {
      if (t.state() != Report.TaskState.EXITED) {
        continue;
      }
      Job job = jobs.get(t.task().job());
      boolean resultHeld = job == null || job.recorded.get(t.task().index());
      if (t.cause() != Report.ExitCause.DONE || resultHeld) {
        orders.add(new Order.Clear(t.task(), t.attempt()));
      }
    }
  }

  /**
   * Of a list that may be old, only what belongs to no live job is stopped. Every answer renews the
   * machine's lease, so each has to say that: a machine that was out of reach from before a
   * cancellation got its first answer by the new leader without it, was out of reach again before
   * its second, and went on with the task for a whole lease more.
   */
  void haltOver(Report r, List<Order> orders) {
    for (Report.TaskReport t : r.tasks()) {
      Job job = jobs.get(t.task().job());
      if (t.state() != Report.TaskState.EXITED && (job == null || job.cancelled)) {
        orders.add(new Order.Halt(t.task(), t.attempt(), new Span(0)));
      }
    }
  }

  void halt(Machine m, Report r, List<Order> orders, Time now) {
    for (Report.TaskReport t : r.tasks()) {
      if (t.state() == Report.TaskState.EXITED) {
        continue;
      }
      Presence p = m.presences.get(t.task());
      if (p == null || !p.attempt.equals(t.attempt()) || p.job.done.get(p.index)) {
        orders.add(new Order.Halt(t.task(), t.attempt(), new Span(0)));
      } else if (p.job.cancelled) {
        p.stop(now, new Span(0));
        orders.add(new Order.Halt(t.task(), t.attempt(), new Span(0)));
      } else if (p.stopping && p.state != Presence.State.SAVING) {
        orders.add(new Order.Halt(t.task(), t.attempt(), p.grace));
      } else if (p.stopping
          && now.after(p.stopAt.plus(p.grace.times(2)).plus(SAVE_PATIENCE).plus(policy.report()))) {
        orders.add(new Order.Halt(t.task(), t.attempt(), new Span(0)));
      }
    }
  }

  /**
   * Launches what rounds gave to the machine, as far as it is still right.
   *
   * @param urgentOnly whether the rest waits for the next round
   */
  void launch(
      Machine m, int most, boolean accounted, boolean urgentOnly, List<Order> orders, Time now) {
    if (m.assigned.isEmpty()) {
      return;
    }
    List<Machine.Assigned> given = List.copyOf(m.assigned);
    scheduler.takeBack(m);
    int left = most;
    for (Machine.Assigned a : given) {
      Job job = a.job();
      // Checked once more against what is true now: the round may be a second old.
      if (left <= 0
          || job.cancelled
          || job.finishing
          || (urgentOnly && policy.preemptFrom().above(job.priority()))
          || !mayStart(job, accounted)
          || job.done.get(a.index())
          || job.present.containsKey(a.index())
          || (job.service() && job.present.size() >= job.wantedTasks())
          || !job.spec.size().fitsIn(m.free())
          || !use.mayLaunch(job)
          || !Placement.allowed(job, m)) {
        continue;
      }
      Attempt attempt = Attempt.of(term, ++attemptSequence);
      Presence p = fencing.launch(job, a.index(), attempt, m, a.backfilled(), now);
      orders.add(new Order.Launch(p.task(), attempt));
      left--;
      if (launches++ == 0) {
        LOG.info("first launch of term {}, {} ms after it began", term, now.since(tookOver).ms());
      }
    }
  }

  /**
   * Until every machine is accounted for, only jobs that no former leader can have launched may
   * start: any other task might be on a machine that has not been heard of.
   */
  private static boolean mayStart(Job job, boolean accounted) {
    return job.startRecorded && (accounted || !job.maybeStartedBefore);
  }
}
