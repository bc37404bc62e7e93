package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import java.util.Map;
import java.util.TreeMap;

/** The rule that no team's running tasks take more than its limit, looked at after each step. */
final class TeamLimits {
  private static final double TOLERANCE = 1e-6;

  private final World world;

  TeamLimits(World world) {
    this.world = world;
  }

  void check() {
    Map<String, Size> used = new TreeMap<>();
    world.workers.values().stream().filter(this::mayExecute).forEach(w -> addTasks(w, used));
    used.forEach(this::checkTeam);
  }

  /** A machine that hangs past its lease forgets its tasks before it does anything else. */
  private boolean mayExecute(World.Worker w) {
    boolean leaseOver = world.now - w.leaseFrom > World.LEASE;
    return !w.dead && !(leaseOver && world.now < w.hungUntil);
  }

  private void addTasks(World.Worker w, Map<String, Size> used) {
    w.tasks.forEach(
        (id, task) -> {
          if (task.isRunning()) {
            World.JobRecord job = world.records.get(id.job());
            used.merge(job.spec.team(), job.spec.size(), Size::plus);
          }
        });
  }

  private void checkTeam(String name, Size size) {
    Policy.Team team = world.policy.teams().get(name);
    boolean overCores = exceeds(size.cores(), team.coresLimit());
    boolean overGpus = exceeds(size.gpus(), team.gpusLimit());
    if (overCores || overGpus) {
      world.broken.add(
          String.format(
              "quota: %s uses %s cores and %s gpus at %d",
              name, size.cores(), size.gpus(), world.now));
    }
  }

  /** A limit of 0 is none. */
  private static boolean exceeds(double used, double limit) {
    return limit > 0 && used > limit + TOLERANCE;
  }
}
