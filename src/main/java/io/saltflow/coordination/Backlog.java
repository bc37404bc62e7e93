package io.saltflow.coordination;

import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * What all accepted work still needs, summed up once a round.
 *
 * @param work core-seconds, by prediction
 * @param wanted the cores with which every job would be worked off within the horizon, or sooner
 *     where its due time asks for it
 * @param stoppable cores in use by work that urgent work may stop
 * @param running core-seconds of the tasks that are on machines
 * @param dues what waits and has a due time that can still be kept, the soonest first
 */
record Backlog(double work, double wanted, double stoppable, double running, List<Due> dues) {
  static final Backlog NONE = new Backlog(0, 0, 0, 0, List.of());

  /** Work that waits, and in how many seconds it should be over. */
  record Due(double inS, double runS, double work) {}

  /**
   * The cores that are missing for the work that waits to be done by its due times, the soonest
   * first, behind what runs. Machines that are rented now help only what is due after a boot and a
   * run of its own.
   */
  double missing(double fleetCores, double bootS) {
    double most = 0;
    double sum = 0;
    for (Due due : dues) {
      sum += due.work;
      double demand = sum + running;
      double shortage = demand - fleetCores * due.inS * USABLE;
      double helpS = due.inS - bootS;
      if (shortage > 0 && helpS >= due.runS) {
        most = Math.max(most, shortage / helpS);
      }
    }
    return most;
  }

  /** The part of the time until a due time that tasks of whole lengths fill. */
  private static final double USABLE = 0.85;

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
    double running = 0;
    List<Due> dues = new ArrayList<>();
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
        double inS = job.dueAt.since(now).toSeconds();
        windowS = Math.min(windowS, inS - bootS);
        if (pending > 0 && inS >= runS) {
          dues.add(new Due(inS, runS, pending * runS));
        }
      }
      wanted += pending * Math.min(1, runS / Math.max(runS, windowS));
      for (Presence p : job.present.values()) {
        double leftS = Math.max(0, estimates.end(p, now).since(now).toSeconds());
        work += cores * leftS;
        running += cores * leftS;
        wanted += cores * Math.min(1, leftS / horizonS);
      }
    }
    dues.sort(Comparator.comparingDouble(Due::inS));
    return new Backlog(work, wanted, stoppable, running, dues);
  }

  static double soonestBootS(Collection<MachineType> types) {
    double bootS = Double.MAX_VALUE;
    for (MachineType type : types) {
      bootS = Math.min(bootS, type.boot().toSeconds());
    }
    return bootS;
  }
}
