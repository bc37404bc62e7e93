package io.saltflow.coordination;

import io.saltflow.faultattribution.Evidence;
import io.saltflow.faultattribution.Evidence.Finding;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What befalls tasks, as the fencing proves it, and what follows from it for their jobs. */
final class TaskOutcomes implements Fencing.Events {
  private static final Logger LOG = LoggerFactory.getLogger(TaskOutcomes.class);

  private static final String ERROR = "error";

  /** How soon a task that failed is tried again elsewhere. */
  private static final Span AGAIN = Span.millis(500);

  private final Estimates estimates;
  private final Usage usage;
  private final Account account;
  private final Map<JobId, Job> jobs;
  private final Evidence evidence;
  private Fencing fencing;
  private boolean changed;

  TaskOutcomes(
      Policy policy, Map<JobId, Job> jobs, Estimates estimates, Usage usage, Account account) {
    this.jobs = jobs;
    this.evidence = new Evidence(policy.faultyAfter());
    this.estimates = estimates;
    this.usage = usage;
    this.account = account;
  }

  /** Whose machines it is about. */
  void of(Fencing all) {
    fencing = all;
  }

  void over(JobId job) {
    evidence.over(job);
  }

  void gone(MachineId machine) {
    evidence.gone(machine);
  }

  /** Whether something happened since the last round that a round should look at. */
  boolean changed() {
    return changed;
  }

  /** A round looks at it now. */
  void taken() {
    changed = false;
  }

  /** Told once of each job: how long its user waited until anything happened. */
  static void begins(Job job, Time now) {
    if (job.begins()) {
      double afterS = Math.max(0, now.since(job.arrivedAt).toSeconds());
      LOG.info(
          "{} begins {} s after it arrived", job.id(), String.format(Locale.ROOT, "%.1f", afterS));
    }
  }

  @Override
  public void done(Job job, int index, Presence p, Time now) {
    begins(job, now);
    if (p != null && p.wholeRunSeen()) {
      estimates.observed(job.spec, now.since(p.runningSince));
    }
    found(evidence.succeeded(job.id(), p == null ? null : p.machine.id), now);
    if (p != null) {
      p.machine.errorsInARow = 0;
    }
    job.isDone(index);
    job.stopped.clear(index);
    job.notBefore.remove(index);
    job.ranBefore.remove(index);
    job.dirty = true;
    changed = true;
  }

  @Override
  public void failed(Job job, int index, Machine m, Time now) {
    job.errors++;
    job.errorMachines.add(m.id);
    changed = true;
    job.ended(ERROR, true);
    job.notBefore.put(index, now.plus(AGAIN));
    if (job.service()) {
      // A broken build fails wherever it is tried: its roll-out judges it, and the machines, which
      // others' replicas may be on, are not to blame.
      LOG.debug("{}/{} failed on {}", job.id(), index, m.id);
      double waitS = job.failsEverywhere() ? Math.min(60, 2 * job.errors) : AGAIN.toSeconds();
      job.notBefore.put(index, now.plus(Span.seconds(waitS)));
      return;
    }
    if (job.doneCount() > 0) {
      // What succeeded under former leaders.
      found(evidence.succeeded(job.id(), null), now);
    }
    found(evidence.failed(job.id(), m.id), now);
    job.triedInVain(now);
    for (MachineId id : job.errorMachines) {
      Machine each = fencing.find(id);
      if (each != null) {
        each.errorsInARow = evidence.weight(id);
      }
    }
  }

  /** What the failures and successes so far show of jobs and machines. */
  private void found(List<Finding> findings, Time now) {
    for (Finding f : findings) {
      changed = true;
      if (f instanceof Finding.Faulty faulty) {
        Machine m = fencing.find(faulty.machine());
        if (m != null && !m.faulty) {
          m.fails(now);
          account.happened("machines fail what they are given", m.id);
        }
      } else if (f instanceof Finding.Mistaken mistaken) {
        Job job = jobs.get(mistaken.job());
        if (job != null) {
          job.mistaken(true, now);
          LOG.info(
              "{} fails wherever it is started, on {} machines so far: now and then one of its"
                  + " tasks is tried again until it is cancelled",
              job.id(),
              mistaken.machines());
        }
      } else if (f instanceof Finding.Cleared cleared) {
        Job job = jobs.get(cleared.job());
        if (job != null) {
          job.mistaken(false, now);
          LOG.info("{} does not fail everywhere, its tasks are started again", job.id());
        }
      }
    }
  }

  @Override
  public void stopped(Presence p, boolean saved, Time now) {
    changed = true;
    if (!saved && p.runningSince != null) {
      usage.lost(p, now.since(p.runningSince).toSeconds());
    }
    p.job.stopped.set(p.index);
    if (p.machine.noticeAt == null && p.runningSince != null) {
      Span lost = saved ? p.job.spec.save().times(2) : now.since(p.runningSince);
      p.job.lostToOthersS += lost.toSeconds();
    }
    if (saved && p.runningSince != null) {
      keep(p, now.since(p.runningSince));
    }
  }

  @Override
  public void refused(Presence p, Report.ExitCause cause, Time now) {
    changed = true;
    account.happened("launches were refused by their machines: " + cause, on(p));
    p.job.notBefore.put(p.index, now.plus(Span.seconds(2)));
  }

  @Override
  public void lost(Presence p, String why, Time now) {
    changed = true;
    p.job.ended(why, why.equals(Fencing.BY_ITSELF));
    if (p.state != Presence.State.SENT) {
      account.happened("tasks are lost and start again: " + why, on(p));
    }
    p.job.stopped.set(p.index);
    if (p.runningSince == null) {
      return;
    }
    Span ran = now.since(p.runningSince);
    if (p.job.spec.checkpoints()) {
      long interval = p.job.spec.checkpoint().ms();
      keep(p, new Span(ran.ms() / interval * interval));
    } else {
      usage.lost(p, ran.toSeconds());
    }
  }

  private static String on(Presence p) {
    return p.task() + " on " + p.machine.id;
  }

  /** Progress that was saved: the task goes on from there. */
  private static void keep(Presence p, Span ran) {
    Span before = p.job.ranBefore.getOrDefault(p.index, new Span(0));
    p.job.ranBefore.put(p.index, before.plus(ran));
  }
}
