package io.saltflow.coordination;

import java.util.Collection;
import java.util.List;

/** The state of things in one line, for whoever reads the log. */
final class Totals {
  private Totals() {}

  static String of(
      int jobs,
      Collection<Machine> machines,
      List<Scheduler.Waiting> waiting,
      long launches,
      Usage usage) {
    int up = 0;
    int booting = 0;
    int tasks = 0;
    double used = 0;
    double cores = 0;
    for (Machine m : machines) {
      if (m.up) {
        up++;
        if (m.type != null) {
          cores += m.type.size().cores();
        }
      } else {
        booting++;
      }
      tasks += m.presences.size();
      used += m.used().cores();
    }
    int queued = 0;
    int limited = 0;
    for (Scheduler.Waiting w : waiting) {
      queued += w.tasks();
      limited += Math.max(0, w.job().pendingCount() - w.tasks());
    }
    return String.format(
        "%d jobs, %d tasks wait and %d beyond team limits, %d on machines, %.0f of %.0f cores in use, %d machines up, %d"
            + " booting, %d launches; %s",
        jobs, queued, limited, tasks, used, cores, up, booting, launches, usage.summary());
  }
}
