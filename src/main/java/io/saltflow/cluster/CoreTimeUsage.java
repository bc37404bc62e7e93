package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import java.util.Collection;

/** Accounts for the billed core time, in core seconds, by what it was used for. */
public final class CoreTimeUsage {
  private double booting;
  private double idle;
  private double idleOnEmptyMachines;
  private double fetching;
  private double running;
  private double checkpointing;
  private double wastedRunning;
  private MonotonicTime lastSampleAt;

  /** Attributes the time since the last sample to the current state of each machine and task. */
  public void sample(Collection<Machine> machines, MonotonicTime now) {
    double elapsedS = lastSampleAt == null ? 0 : now.since(lastSampleAt).toSeconds();
    lastSampleAt = now;
    for (Machine machine : machines) {
      if (machine.type() == null) {
        continue;
      }
      double coreSeconds = machine.type().size().cores() * elapsedS;
      if (!machine.isUp()) {
        booting += coreSeconds;
        continue;
      }
      double idleCoreSeconds = coreSeconds;
      for (TaskPlacement placement : machine.placements.values()) {
        double taskCoreSeconds = placement.job.spec.size().cores() * elapsedS;
        idleCoreSeconds -= taskCoreSeconds;
        switch (placement.state()) {
          case RUNNING -> running += taskCoreSeconds;
          case SAVING -> checkpointing += taskCoreSeconds;
          default -> fetching += taskCoreSeconds;
        }
      }
      idle += Math.max(0, idleCoreSeconds);
      idleOnEmptyMachines += machine.placements.isEmpty() ? coreSeconds : 0;
    }
  }

  /** Adds run time of a task that has to be repeated, in seconds. */
  public void recordWasted(TaskPlacement placement, double seconds) {
    wastedRunning += placement.job.spec.size().cores() * seconds;
  }

  /** Returns the shares of the billed core time for the status line. */
  public String summary() {
    double total = Math.max(1e-9, booting + idle + fetching + running + checkpointing);
    return String.format(
        "billed core time: %.0f%% running (%.0f%% wasted), %.0f%% fetching, %.0f%% checkpointing,"
            + " %.0f%% idle (%.0f%% on empty machines), %.0f%% booting",
        100 * running / total,
        100 * wastedRunning / total,
        100 * fetching / total,
        100 * checkpointing / total,
        100 * idle / total,
        100 * idleOnEmptyMachines / total,
        100 * booting / total);
  }
}
