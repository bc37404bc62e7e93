package io.saltflow.coordination;

import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Time;
import java.util.Collection;

/**
 * What all accepted work still needs, summed up once a round.
 *
 * @param work core-seconds, by prediction
 * @param wanted the cores with which every job would be worked off within the horizon, or sooner
 *     where its due time asks for it
 * @param stoppable cores in use by work that urgent work may stop
 */
record Backlog(double work, double wanted, double stoppable) {
  static final Backlog NONE = new Backlog(0, 0, 0);

  static Backlog of(
      Collection<Job> jobs,
      Collection<MachineType> types,
      Policy policy,
      Estimates estimates,
      Time now) {
    double bootS = soonestBootS(types);
    double horizonS = policy.horizon().toSeconds();
    double tightestS = horizonS;
    for (Job job : jobs) {
      if (!over(job) && job.pendingCount() > 0) {
        tightestS = Math.min(tightestS, windowS(job, bootS, policy, estimates, now));
      }
    }
    double work = 0;
    double wanted = 0;
    double stoppable = 0;
    for (Job job : jobs) {
      double cores = job.spec.size().cores();
      if (job.priority().compareTo(policy.preemptFrom()) < 0) {
        stoppable += cores * job.present.size();
      }
      if (over(job)) {
        continue;
      }
      if (job.spec.daemon()) {
        work += cores * job.wantedTasks() * horizonS;
        wanted += cores * job.wantedTasks();
        continue;
      }
      double runS = estimates.predict(job, 0).toSeconds();
      double pending = cores * job.wantingRoom();
      work += pending * runS;
      wanted += pending * Math.min(1, runS / windowS(job, bootS, policy, estimates, now));
      for (Presence p : job.present.values()) {
        double leftS = Math.max(0, estimates.end(p, now).since(now).toSeconds());
        work += cores * leftS;
        // What runs stands in the way of what must start soon, for as long as it runs.
        wanted += cores * Math.min(1, leftS / tightestS);
      }
    }
    return new Backlog(work, wanted, stoppable);
  }

  private static boolean over(Job job) {
    return job.cancelled || job.finishing;
  }

  /**
   * In what time the job's tasks are to be worked off: the horizon, or sooner where its due time
   * asks for it, so that its last task starts in time on a machine that is rented now; no sooner
   * than one run, within which all of them start at once.
   */
  private static double windowS(
      Job job, double bootS, Policy policy, Estimates estimates, Time now) {
    double horizonS = policy.horizon().toSeconds();
    if (job.spec.daemon() || job.dueBy() == null) {
      return horizonS;
    }
    double runS = estimates.predict(job, 0).toSeconds();
    double startS = job.dueBy().since(now).toSeconds() - bootS - runS;
    return Math.min(horizonS, Math.max(runS, startS));
  }

  private static double soonestBootS(Collection<MachineType> types) {
    double bootS = Double.MAX_VALUE;
    for (MachineType type : types) {
      bootS = Math.min(bootS, type.boot().toSeconds());
    }
    return bootS;
  }
}
