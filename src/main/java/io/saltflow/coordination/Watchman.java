package io.saltflow.coordination;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.Collection;
import java.util.List;

/** Looks once a second at what may be wrong for long, for the account of the night. */
final class Watchman {
  private static final Span EVERY = Span.seconds(1);

  private final Policy policy;
  private final Account account;
  private Time last = Time.LONG_AGO;

  Watchman(Policy policy, Account account) {
    this.policy = policy;
    this.account = account;
  }

  void look(
      Collection<Machine> machines,
      Collection<Job> jobs,
      List<Scheduler.Waiting> waiting,
      Scheduler scheduler,
      Time now) {
    if (now.since(last).compareTo(EVERY) < 0) {
      return;
    }
    last = now;
    machines(machines, now);
    lateJobs(jobs, now);
    guarantees(waiting, scheduler, now);
    account.tell(now);
  }

  private void machines(Collection<Machine> machines, Time now) {
    int silent = 0;
    int tasks = 0;
    int late = 0;
    for (Machine m : machines) {
      if (m.quiet && !m.leaving) {
        silent++;
        tasks += m.presences.size();
      }
      if (m.late(now)) {
        late++;
      }
    }
    account.level(Account.Trouble.SILENT, silent, tasks + " tasks are on them", now);
    account.level(Account.Trouble.LATE_BOOT, late, "others are rented instead", now);
  }

  private void lateJobs(Collection<Job> jobs, Time now) {
    int late = 0;
    double worst = 0;
    for (Job job : jobs) {
      double s = job.lateS(now);
      if (s > 0 && !job.cancelled && !job.allDone()) {
        late++;
        worst = Math.max(worst, s);
      }
    }
    account.level(Account.Trouble.LATE_JOBS, late, "the worst by " + Math.round(worst) + " s", now);
  }

  private void guarantees(List<Scheduler.Waiting> waiting, Scheduler scheduler, Time now) {
    int jobs = 0;
    int tasks = 0;
    for (Scheduler.Waiting w : waiting) {
      boolean waits = now.since(w.job().arrivedAt).longerThan(policy.guaranteeWithin());
      if (waits && w.tasks() > 0 && scheduler.guaranteed().contains(w.job().id())) {
        jobs++;
        tasks += w.tasks();
      }
    }
    account.level(
        Account.Trouble.GUARANTEE,
        jobs,
        tasks + " tasks for more than " + Math.round(policy.guaranteeWithin().toSeconds()) + " s",
        now);
  }
}
