package io.saltflow.coordination;

import io.saltflow.deadlines.Morning;
import io.saltflow.lanes.Basis;
import io.saltflow.lanes.Moved;
import io.saltflow.packing.Kept;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader decides beside launches and what its successor goes on with: plans of moves, what
 * the order of jobs rests on, mornings of queues, and what operators did with jobs. Each is used
 * only as it is recorded.
 */
public final class Decided {
  private static final Logger LOG = LoggerFactory.getLogger(Decided.class);

  /** By then every job that a bundle held has its own record. */
  private static final Span MOVED_WAITS = Span.seconds(60);

  private final Function<JobId, Job> live;
  private final Map<JobId, Job> jobs;
  private final Estimates estimates;
  private final Moves moves;
  private final Mornings mornings;
  private final OrderBasis basis = new OrderBasis();

  /** What operators did with jobs that were live. */
  private final Map<JobId, Moved> moved = new LinkedHashMap<>();

  /** The time of day as far as it is believed, less the steady clock. */
  private long believedMs;

  /** Whether replicas may be moved: nothing holds the state service or the machines up. */
  private boolean mayMove;

  private boolean changed;
  private Time forgetsAfter = Time.NEVER;

  /**
   * @param live finds every live job, those that wait for others too
   * @param jobs those that are scheduled
   */
  Decided(
      Policy policy,
      Function<JobId, Job> live,
      Map<JobId, Job> jobs,
      Fencing fencing,
      Estimates estimates,
      TeamUse use,
      Account account,
      Term term,
      long wallMinusClockMs) {
    this.live = live;
    this.jobs = jobs;
    this.estimates = estimates;
    believedMs = wallMinusClockMs;
    mornings = new Mornings(policy.mornings(), estimates, use, policy.teams());
    moves = new Moves(jobs, fencing::find, estimates, account, term, wallMinusClockMs);
  }

  OrderBasis basis() {
    return basis;
  }

  /** Whether a round should look at something that was recorded since the last one. */
  boolean changed() {
    return changed;
  }

  void accounted(Time now) {
    forgetsAfter = now.plus(MOVED_WAITS);
  }

  /** What an operator did with a job; null: nothing. */
  Moved movedHow(JobId id) {
    return moved.get(id);
  }

  void done(Job job) {
    mornings.done(job);
  }

  /** Why those wait whom moves might help. */
  Map<JobId, String> movesWanted() {
    return moves.reasons();
  }

  void beforeRound(Collection<Machine> machines, boolean accounted, Time now) {
    changed = false;
    for (Job job : jobs.values()) {
      job.pushed = mornings.rank(job);
      long dueMs = job.pushed == Integer.MAX_VALUE ? 0 : mornings.dueMs(job);
      job.pushedDue = dueMs == 0 ? null : new Time(dueMs - believedMs);
    }
    moves.proceed(machines, accounted, now);
  }

  /**
   * Looks at what the round left.
   *
   * @param mayRent whether the cloud may still have a machine for a job
   * @param fleet what there is before long: machines that are up, on their way or about to be
   *     rented
   */
  void afterRound(
      List<Scheduler.Waiting> waiting,
      Scheduler scheduler,
      Function<Job, Boolean> mayRent,
      Size fleet,
      boolean accounted,
      Time now) {
    if (mayMove) {
      moves.plan(waiting, scheduler.usable(), scheduler.booting(), mayRent, accounted, now);
    }
    mornings.look(jobs.values(), waiting, fleet, accounted, now.ms() + believedMs, now);
  }

  /** What former leaders planned to move, as it was recorded. */
  public void moves(Collection<Kept> recorded, Time now) {
    moves.inherit(recorded, now);
  }

  /** Whether replicas may be moved now, as far as the state service goes. */
  public void mayMove(boolean may) {
    mayMove = may;
  }

  /** Plans of moves to write; each is told of by {@link #recorded(Kept, boolean)}. */
  public List<Kept> movesToRecord() {
    return moves.takeToRecord();
  }

  public void recorded(Kept plan, boolean ok) {
    moves.recorded(plan, ok);
    changed = true;
  }

  /** Names of plans whose records may go. */
  public List<String> movesToForget() {
    return moves.takeToForget();
  }

  /** What is planned, done and given up, and why a model waits, a line each. */
  public List<String> movesTold() {
    return moves.told();
  }

  /** What the order of jobs rests on, as it was recorded; null: it was not. */
  public void basis(Basis recorded) {
    basis.inherit(recorded);
    if (recorded != null) {
      estimates.inherit(recorded.corrections());
    }
  }

  /** What of it is to be written now, or null; {@link #basisRecorded} tells what became of it. */
  public Basis basisToRecord(Time now) {
    return basis.toRecord(now);
  }

  public void basisRecorded(Basis written, boolean ok) {
    basis.written(written, ok);
  }

  /** The mornings of queues as they were recorded. */
  public void mornings(Collection<Morning> recorded) {
    mornings.inherit(recorded, jobs.values());
  }

  /** The time of day now, as far as it is believed. */
  public void timeOfDay(long wallMs, Time now) {
    believedMs = wallMs - now.ms();
  }

  /** A morning to write, or null; {@link #morningRecorded} tells what became of it. */
  public Morning morningToRecord(Time now) {
    return mornings.toRecord(now);
  }

  public void morningRecorded(Morning written, boolean ok) {
    mornings.written(written, ok);
    changed = true;
  }

  /** Names of mornings whose records may go. */
  public List<String> morningsToForget() {
    return mornings.takeToForget();
  }

  /** An operator moved a job. */
  public void moved(JobId id, Moved how) {
    Moved before = moved.put(id, how);
    Job job = jobs.get(id);
    if (job != null && !how.equals(before)) {
      job.moved = how;
      changed = true;
      LOG.info(
          "{} was moved by an operator {}",
          id,
          how.lane() == null ? "in front of its lane" : "to the lane " + how.lane());
    }
  }

  /** Jobs that were moved and are over: what was recorded of that may go. */
  public List<JobId> movedAndOver(Time now) {
    return now.before(forgetsAfter)
        ? List.of()
        : moved.keySet().stream().filter(id -> live.apply(id) == null).toList();
  }

  public void forgotten(List<JobId> ids, boolean ok) {
    if (ok) {
      moved.keySet().removeAll(ids);
    }
  }
}
