package io.saltflow.leader;

import io.saltflow.cluster.CoreTimeUsage;
import io.saltflow.cluster.Machine;
import io.saltflow.scheduler.WaitingJob;
import java.util.Collection;
import java.util.List;

/** Formats the state of the cluster as one log line. */
final class StatusLine {
  private StatusLine() {}

  static String format(
      int jobs,
      Collection<Machine> machines,
      List<WaitingJob> waitingJobs,
      long launches,
      CoreTimeUsage coreTimeUsage) {
    int up = 0;
    int booting = 0;
    int tasks = 0;
    double used = 0;
    double cores = 0;
    for (Machine machine : machines) {
      if (machine.isUp()) {
        up++;
        if (machine.type() != null) {
          cores += machine.type().size().cores();
        }
      } else {
        booting++;
      }
      tasks += machine.placements.size();
      used += machine.used().cores();
    }
    int queued = 0;
    int beyondQuota = 0;
    for (WaitingJob waitingJob : waitingJobs) {
      queued += waitingJob.tasks();
      beyondQuota += Math.max(0, waitingJob.job().pendingCount() - waitingJob.tasks());
    }
    return String.format(
        "%d jobs, %d tasks waiting, %d beyond quota, %d placed on machines,"
            + " %.0f of %.0f cores in use, %d machines up, %d booting, %d launches; %s",
        jobs,
        queued,
        beyondQuota,
        tasks,
        used,
        cores,
        up,
        booting,
        launches,
        coreTimeUsage.summary());
  }
}
