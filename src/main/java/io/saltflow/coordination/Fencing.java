package io.saltflow.coordination;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import io.saltflow.reachability.Hearing;
import io.saltflow.reachability.Next;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Where each task might be. A presence ends only by proof: a report made after the last order with
 * our token seen, a new session, a successful delete, or the lease certainly over. Silence alone
 * and the cloud's list prove nothing.
 */
final class Fencing {
  private static final Logger LOG = LoggerFactory.getLogger(Fencing.class);

  private static final Size BEYOND_ANY_LIMIT = new Size(1e9, 1e9, 1e9);

  /** Why a replica was lost that nobody told to end. */
  static final String BY_ITSELF = "it ended by itself";

  /** What the rest of the core is told. */
  interface Events {
    void done(Job job, int index, Presence presence, Time now);

    void failed(Job job, int index, Machine machine, Time now);

    void stopped(Presence presence, boolean saved, Time now);

    void refused(Presence presence, Report.ExitCause cause, Time now);

    void lost(Presence presence, String why, Time now);
  }

  private final Policy policy;
  private final Term term;
  private final Map<JobId, Job> jobs;
  private final EndedJobs endedJobs = new EndedJobs();
  private final Events events;
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Time tookOver;
  private final TeamUse use;
  private final Account account;
  private boolean missing;

  /**
   * Machines that might hold tasks of a former leader, and all of them together. Kept up as they
   * are heard: summed up over thousands of machines at each of their reports it was most of a
   * takeover.
   */
  private int unheard;

  private Size unheardSize = Size.ZERO;

  Fencing(
      Policy policy,
      Term term,
      Map<JobId, Job> jobs,
      TeamUse use,
      Events events,
      Account account,
      Time tookOver) {
    this.use = use;
    this.account = account;
    this.policy = policy;
    this.term = term;
    this.jobs = jobs;
    this.events = events;
    this.tookOver = tookOver;
  }

  Collection<Machine> machines() {
    return machines.values();
  }

  Machine find(MachineId id) {
    return machines.get(id);
  }

  void add(Machine m) {
    if (machines.putIfAbsent(m.id, m) == null && m.mightHoldOldTasks) {
      count(m);
    }
  }

  private void count(Machine m) {
    unheard++;
    m.unheardAs = m.type == null ? BEYOND_ANY_LIMIT : m.type.size();
    unheardSize = unheardSize.plus(m.unheardAs);
  }

  /** The job is over, and what former leaders launched of it may still be on machines. */
  void ended(Job job) {
    if (!allAccounted()) {
      endedJobs.add(job);
    }
  }

  /** Every machine is accounted for: what may run of ended jobs is known. */
  void forgetEnded() {
    endedJobs.clear();
  }

  /** Types have become known: machines that counted as larger than any limit are measured. */
  void recount() {
    unheard = 0;
    unheardSize = Size.ZERO;
    for (Machine m : machines.values()) {
      if (m.mightHoldOldTasks) {
        count(m);
      }
    }
  }

  /** What former leaders launched there is known now, or gone. */
  private void accountedFor(Machine m) {
    if (m.mightHoldOldTasks) {
      m.mightHoldOldTasks = false;
      unheard--;
      // Sums of amounts keep no dust when all have been taken off.
      unheardSize = unheard == 0 ? Size.ZERO : unheardSize.minus(m.unheardAs);
    }
  }

  /** Part of the ledger could not be read: there may be machines that are not known. */
  void missesMachines() {
    missing = true;
  }

  /** Whether every machine that a former leader may have used is accounted for. */
  boolean allAccounted() {
    return !missing && unheard == 0;
  }

  /** All of every machine that might hold tasks of a former leader and has not been heard of. */
  Size unaccounted() {
    return missing ? BEYOND_ANY_LIMIT : unheardSize;
  }

  /**
   * Takes a report in; null when it is older than one seen before, and must not be answered with
   * orders.
   *
   * @param late whether this leader's own answers may have been too late to be heard
   */
  Machine onReport(Report r, Map<String, MachineType> types, boolean late, Time now) {
    Machine m = machines.get(r.machine());
    if (m == null) {
      m = new Machine(r.machine(), types.get(r.type()), r.type(), r.zone(), r.spot(), now);
      machines.put(m.id, m);
      account.happened("machines report that this leader did not know", m.id);
    }
    if (!r.newerThan(m.session, m.sequence)) {
      return null;
    }
    if (m.accounted && !r.token().equals(term)) {
      // A worker never forgets a token while it lives, so this is of another life of the machine: a
      // late copy from before it was back at once, whose session may well be the higher one. Taken
      // for newer, it "disproved" what had been launched since, and that ran twice.
      return null;
    }
    boolean newSession = m.session != 0 && r.session() != m.session;
    if (m.hearing == null) {
      m.hearing = new Hearing(policy.report(), policy.lease());
    }
    boolean seen = r.token().equals(term);
    m.hearing.reported(new Next(r.session(), r.sequence(), seen, launches(m, r)), late, now);
    m.session = r.session();
    m.sequence = r.sequence();
    m.lastHeard = now;
    m.address = r.address();
    if (!m.up) {
      m.up = true;
      LOG.debug("machine {} is up, {} s after renting", m.id, now.since(m.rentedAt).toSeconds());
    }
    if (m.type == null) {
      m.type = types.get(r.type());
    }
    if (r.notice() != null) {
      if (m.noticeAt == null) {
        account.happened("machines will be taken back by the cloud", m.id);
      }
      m.noticeAt = now.plus(r.notice());
    } else {
      m.noticeAt = null;
    }
    if (newSession) {
      // The worker killed and forgot everything when its lease ran out.
      dropAll(m, p -> p.sentSession < r.session(), "its worker began a new session", now);
    }
    Map<TaskId, Report.TaskReport> listed = new HashMap<>();
    boolean ours = r.token().equals(term);
    for (Report.TaskReport t : r.tasks()) {
      listed.put(t.task(), t);
      take(m, t, ours, now);
    }
    if (ours) {
      m.accounted = true;
      accountedFor(m);
      // Orders travel only in answers, and the worker made this report after it had executed or
      // dropped every earlier answer: what it does not list is not there.
      dropAll(
          m,
          p -> {
            Report.TaskReport t = listed.get(p.task());
            boolean same = t != null && t.attempt().equals(p.attempt);
            return !same && r.newerThan(p.sentSession, p.sentSequence);
          },
          "its machine does not have it",
          now);
    }
    if (m.presences.isEmpty()) {
      if (m.idleSince == null) {
        m.idleSince = now;
      }
    } else {
      m.idleSince = null;
    }
    return m;
  }

  /** What became of the launches that the machine's last answer held. */
  private static Next.Launches launches(Machine m, Report r) {
    Next.Launches found = Next.Launches.NONE;
    for (Presence p : m.presences.values()) {
      if (p.state == Presence.State.SENT && r.newerThan(p.sentSession, p.sentSequence)) {
        for (Report.TaskReport t : r.tasks()) {
          if (t.task().equals(p.task()) && t.attempt().equals(p.attempt)) {
            return Next.Launches.CARRIED_OUT;
          }
        }
        found = Next.Launches.NOT_LISTED;
      }
    }
    return found;
  }

  private void take(Machine m, Report.TaskReport t, boolean ours, Time now) {
    Job job = jobs.get(t.task().job());
    Presence p = m.presences.get(t.task());
    boolean known = p != null && p.attempt.equals(t.attempt());
    if (t.state() == Report.TaskState.EXITED) {
      if (known) {
        remove(p);
      }
      exited(m, job, known ? p : null, t, now);
      return;
    }
    if (job == null) {
      // Cancelled between the machine's first answer and this report, which accounts for the
      // machine. Not counted, the task let its team start another while the halt that answers this
      // report was lost, and both ran beyond the team's limit.
      job = endedJobs.find(t.task().job());
    }
    if (!ours || job == null || t.task().index() >= job.spec.tasks()) {
      // A list made before our token was seen may be minutes old: taking a task from it as present
      // would hide where the task really is.
      return;
    }
    if (!known) {
      Presence other = job.present.get(t.task().index());
      if (other != null) {
        // A report that was held back until its machine's lease was over; the next one is a new
        // session's. The task stays where it was launched since.
        account.happened("tasks in reports too old to count", t.task() + " of " + m.id);
        return;
      }
      p =
          new Presence(
              job,
              t.task().index(),
              t.attempt(),
              m,
              now,
              m.session,
              m.sequence,
              Presence.State.SENT);
      p.found = true;
      put(p);
    }
    p.state =
        switch (t.state()) {
          case FETCHING -> Presence.State.FETCHING;
          case SAVING -> Presence.State.SAVING;
          default -> Presence.State.RUNNING;
        };
    if (p.state == Presence.State.RUNNING && p.runningSince == null) {
      p.runningSince = now;
      TaskOutcomes.begins(job, now);
      if (!p.found) {
        job.started(now.since(p.launchedAt));
      }
      LOG.debug("{} runs on {}, {} s after its launch", p.task(), m.id, sinceLaunch(p, now));
      m.remember(job.spec.image());
    }
    if (p.state == Presence.State.SAVING && !p.stopping) {
      p.stop(now, job.spec.save());
    }
  }

  /** Of a machine that is gone, only results count: they are kept wherever they were made. */
  void resultsOf(Report r, Time now) {
    for (Report.TaskReport t : r.tasks()) {
      Job job = jobs.get(t.task().job());
      if (t.state() == Report.TaskState.EXITED && t.cause() == Report.ExitCause.DONE) {
        exited(null, job, null, t, now);
      }
    }
  }

  private static double sinceLaunch(Presence p, Time now) {
    return now.since(p.launchedAt).toSeconds();
  }

  private void exited(Machine m, Job job, Presence p, Report.TaskReport t, Time now) {
    if (job == null || t.task().index() >= job.spec.tasks()) {
      return;
    }
    int index = t.task().index();
    if (t.cause() == Report.ExitCause.DONE && !job.spec.daemon()) {
      // A result is kept whichever attempt brought it, however late the report is.
      if (!job.done.get(index)) {
        events.done(job, index, p, now);
      }
      return;
    }
    if (p == null) {
      return;
    }
    switch (t.cause()) {
      case ERROR -> events.failed(job, index, m, now);
      case STOPPED -> events.stopped(p, t.saved(), now);
      case DONE -> events.lost(p, BY_ITSELF, now);
      default -> events.refused(p, t.cause(), now);
    }
  }

  Presence launch(Job job, int index, Attempt attempt, Machine m, boolean backfilled, Time now) {
    Presence p =
        new Presence(job, index, attempt, m, now, m.session, m.sequence, Presence.State.SENT);
    p.backfilled = backfilled;
    put(p);
    m.idleSince = null;
    return p;
  }

  private void put(Presence p) {
    p.machine.put(p);
    p.job.put(p);
    use.present(p.job);
  }

  private void remove(Presence p) {
    p.machine.remove(p);
    p.job.remove(p);
    use.gone(p.job);
  }

  private void dropAll(Machine m, Predicate<Presence> which, String why, Time now) {
    for (Presence p : new ArrayList<>(m.presences.values())) {
      if (which.test(p)) {
        remove(p);
        events.lost(p, why, now);
      }
    }
  }

  /** A successful delete: the machine and all on it are gone. */
  Machine deleted(MachineId id, Time now) {
    Machine m = machines.remove(id);
    if (m != null) {
      accountedFor(m);
      dropAll(m, p -> true, "its machine was returned", now);
    }
    return m;
  }

  /**
   * Ends what a lease that is certainly over has ended.
   *
   * <p>A successor that was elected without this leader knowing may have answered the machine and
   * so renewed its lease. Only a lease that was over while nobody else can have been elected proves
   * anything; judged by the present time, a task was started again while it ran.
   *
   * @param soleLeaderUntil nobody else was elected before this
   */
  void tick(Time now, Time soleLeaderUntil) {
    Time known = Time.earlier(now, soleLeaderUntil);
    Time formerAnswers = tookOver.plus(policy.keepAfterSync());
    if (missing && !known.before(formerAnswers.plus(policy.leaseSurelyOver()))) {
      LOG.info("whatever the ledger lacks, its lease is over by now");
      missing = false;
    }
    for (Machine m : machines.values()) {
      // The lease counts from when the last answered report was sent, which was before it came. A
      // report that got no 200 renews nothing: a worker that hears nobody kept a takeover waiting
      // for ever when each of its reports counted.
      Time last = m.accounted ? m.lastAnswered : Time.later(m.lastAnswered, formerAnswers);
      if (known.before(last.plus(policy.leaseSurelyOver()))) {
        continue;
      }
      if (m.mightHoldOldTasks) {
        account.happened("machines stayed silent until their lease and tasks were over", m.id);
        accountedFor(m);
      }
      if (!m.presences.isEmpty()) {
        dropAll(m, p -> true, "its machine was silent until its lease was over", now);
      }
    }
  }
}
