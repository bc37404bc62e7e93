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
    double work = 0;
    double wanted = 0;
    double stoppable = 0;
    for (Job job : jobs) {
      double cores = job.spec.size().cores();
      if (job.spec.priority().compareTo(policy.preemptFrom()) < 0) {
        stoppable += cores * job.present.size();
      }
      if (job.cancelled || job.finishing) {
        continue;
      }
      if (job.spec.daemon()) {
        work += cores * job.spec.tasks() * horizonS;
        wanted += cores * job.spec.tasks();
        continue;
      }
      double runS = estimates.predict(job, 0).toSeconds();
      double pending = cores * job.pendingCount();
      work += pending * runS;
      // Machines that are rented now are of use only once they are up.
      double windowS = horizonS;
      if (job.dueAt != null) {
        windowS = Math.min(windowS, job.dueAt.since(now).toSeconds() - bootS);
      }
      wanted += pending * Math.min(1, runS / Math.max(runS, windowS));
      for (Presence p : job.present.values()) {
        double leftS = Math.max(0, estimates.end(p, now).since(now).toSeconds());
        work += cores * leftS;
        wanted += cores * Math.min(1, leftS / horizonS);
      }
    }
    return new Backlog(work, wanted, stoppable);
  }

  private static double soonestBootS(Collection<MachineType> types) {
    double bootS = Double.MAX_VALUE;
    for (MachineType type : types) {
      bootS = Math.min(bootS, type.boot().toSeconds());
    }
    return bootS;
  }
}
