package io.saltflow.leader;

import io.saltflow.cluster.Policy;
import io.saltflow.model.Resources;
import java.util.Map;
import java.util.TreeMap;

/** Checks that the running tasks of each team stay within its limit. */
final class QuotaChecks {
  private static final double TOLERANCE = 1e-6;

  private final ClusterSimulation simulation;

  QuotaChecks(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  void check() {
    Map<String, Resources> used = new TreeMap<>();
    simulation.workers.values().stream()
        .filter(this::mayRunTasks)
        .forEach(worker -> addTasks(worker, used));
    used.forEach(this::checkTeam);
  }

  /** A worker paused beyond its lease discards its tasks before it does anything else. */
  private boolean mayRunTasks(ClusterSimulation.SimulatedWorker worker) {
    boolean leaseExpired = simulation.now - worker.leaseRenewedAt > ClusterSimulation.LEASE_MS;
    return !worker.failed && !(leaseExpired && simulation.now < worker.pausedUntil);
  }

  private void addTasks(ClusterSimulation.SimulatedWorker worker, Map<String, Resources> used) {
    worker.tasks.forEach(
        (id, task) -> {
          if (task.isRunning()) {
            ClusterSimulation.JobRecord job = simulation.records.get(id.job());
            used.merge(job.spec.team(), job.spec.size(), Resources::plus);
          }
        });
  }

  private void checkTeam(String name, Resources used) {
    Policy.TeamQuota team = simulation.policy.teams().get(name);
    boolean overCores = exceeds(used.cores(), team.coreLimit());
    boolean overGpus = exceeds(used.gpus(), team.gpuLimit());
    if (overCores || overGpus) {
      simulation.violations.add(
          String.format(
              "quota: %s uses %s cores and %s GPUs at %d",
              name, used.cores(), used.gpus(), simulation.now));
    }
  }

  /** A limit of 0 means unlimited. */
  private static boolean exceeds(double used, double limit) {
    return limit > 0 && used > limit + TOLERANCE;
  }
}
