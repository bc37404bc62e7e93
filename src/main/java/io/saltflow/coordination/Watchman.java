package io.saltflow.coordination;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;

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
    shares(scheduler.parts(), now);
    account.tell(now);
  }

  private void machines(Collection<Machine> machines, Time now) {
    int silent = 0;
    int tasks = 0;
    int late = 0;
    int deaf = 0;
    for (Machine m : machines) {
      deaf += m.deaf() && !m.leaving ? 1 : 0;
      if (m.quiet && !m.deaf() && !m.leaving) {
        silent++;
        tasks += m.presences.size();
      }
      if (m.late(now)) {
        late++;
      }
    }
    account.level(Account.Trouble.SILENT, silent, tasks + " tasks are on them", now);
    account.level(Account.Trouble.DEAF, deaf, "they are given nothing more", now);
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

  /** Classes and teams that have waited for long and get less than they ask for. */
  private void shares(LeastParts parts, Time now) {
    Set<String> over = account.lasting(Account.Trouble.SHARE);
    parts
        .standings()
        .forEach(
            (party, s) -> {
              if (!s.waits()) {
                return;
              }
              over.remove(party.toString());
              String note =
                  String.format(
                      Locale.ROOT,
                      "it has %.0f%% of the fleet and asks for %.0f%%, its least part is %.0f%%,"
                          + " the oldest waits %.0f s",
                      100 * parts.held(party),
                      100 * s.wanted(),
                      100 * s.least(),
                      s.longest().toSeconds());
              account.level(Account.Trouble.SHARE, party.toString(), s.jobs(), note, now);
            });
    for (String name : over) {
      account.level(Account.Trouble.SHARE, name, 0, "", now);
    }
  }
}
