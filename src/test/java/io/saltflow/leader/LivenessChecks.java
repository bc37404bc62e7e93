package io.saltflow.leader;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Checks liveness once all faults are over. No job waits for 90 s while a suitable machine has room
 * and its team is below its limit, and no job is unknown to the leader for 75 s. Half of the jobs
 * of each class and team, and of the largest jobs of each class, complete within ten minutes. The
 * largest jobs of each class start within four minutes.
 */
final class LivenessChecks {
  private static final long MAX_WAIT_MS = 90_000;
  private static final long MAX_UNKNOWN_MS = 75_000;
  private static final long LARGEST_START_MS = 240_000;

  /**
   * Time in which half of the jobs submitted before the faults ended must be done. The largest
   * random jobs use all of their team's limit for about four minutes.
   */
  private static final long HALF_COMPLETED_MS = 600_000;

  private final ClusterSimulation simulation;
  private final Map<JobId, Long> waitingSince = new HashMap<>();
  private final Map<JobId, Long> unknownSince = new HashMap<>();
  private final Map<JobId, Integer> previouslyHeld = new HashMap<>();
  private long healthySince = -1;
  private boolean faultsEnded;
  private boolean completionChecked;

  /** Longest wait of a job despite free room after the faults ended, in milliseconds. */
  long longestWaitMs;

  /** Job with the longest wait. */
  JobId longestWaitingJob;

  LivenessChecks(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  /** Enables the checks; no new faults are injected from now on. */
  void onFaultsEnded() {
    faultsEnded = true;
  }

  /** Checks the current state; called after each step. */
  void check() {
    if (!faultsEnded) {
      return;
    }
    if (healthySince < 0) {
      if (simulation.hasFaults()) {
        return;
      }
      healthySince = simulation.now;
      simulation.log("all faults have ended");
    }
    Map<String, Double> used = coresByTeam();
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      if (record.ended || record.spec.jobClass().equals(ClusterSimulation.ALWAYS_FAILING_CLASS)) {
        waitingSince.remove(record.spec.id());
        unknownSince.remove(record.spec.id());
      } else {
        checkWait(record, used.getOrDefault(record.spec.team(), 0.0));
        checkKnown(record);
      }
    }
    checkLargestStarted();
    if (!completionChecked && simulation.now - healthySince >= HALF_COMPLETED_MS) {
      completionChecked = true;
      checkHalfCompleted("class", record -> record.spec.jobClass(), false);
      checkHalfCompleted("team", record -> record.spec.team(), false);
      checkHalfCompleted("largest jobs of class", record -> record.spec.jobClass(), true);
    }
  }

  private Map<String, Double> coresByTeam() {
    Map<String, Double> used = new HashMap<>();
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      for (TaskId id : worker.tasks.keySet()) {
        if (worker.holdsTask(id)) {
          JobSpec spec = simulation.records.get(id.job()).spec;
          used.merge(spec.team(), spec.size().cores(), Double::sum);
        }
      }
    }
    return used;
  }

  private void checkWait(ClusterSimulation.JobRecord record, double teamCores) {
    JobId id = record.spec.id();
    Map<String, Integer> byZone = new TreeMap<>();
    int held = 0;
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      for (TaskId task : worker.tasks.keySet()) {
        if (task.job().equals(id) && worker.holdsTask(task)) {
          held++;
          byZone.merge(worker.zone, 1, Integer::sum);
        }
      }
    }
    int heldBefore = previouslyHeld.getOrDefault(id, 0);
    previouslyHeld.put(id, held);
    boolean pending = held + record.completedTasks.cardinality() < record.spec.tasks();
    if (!pending
        || held > heldBefore
        || !fitsOnHealthyMachine(record.spec, byZone, held, teamCores)) {
      waitingSince.remove(id);
      return;
    }
    long since = waitingSince.computeIfAbsent(id, key -> simulation.now);
    if (simulation.now - since > longestWaitMs) {
      longestWaitMs = simulation.now - since;
      longestWaitingJob = id;
    }
    if (simulation.now - since == MAX_WAIT_MS) {
      simulation.violations.add("left_waiting: " + id + " since " + since);
    }
  }

  private boolean fitsOnHealthyMachine(
      JobSpec spec, Map<String, Integer> byZone, int held, double teamCores) {
    double limit = simulation.policy.teams().get(spec.team()).coreLimit();
    if (limit > 0 && teamCores + spec.size().cores() > limit) {
      return false;
    }
    for (ClusterSimulation.SimulatedWorker worker : simulation.workers.values()) {
      int here = byZone.getOrDefault(worker.zone, 0);
      Resources free = ClusterSimulation.MACHINE_TYPE.size().minus(worker.usedResources());
      if (worker.isHealthy()
          && spec.allows(ClusterSimulation.MACHINE_TYPE.name(), worker.zone, worker.spot)
          && spec.size().fitsIn(free)
          && !(spec.oneZone() && held > here)
          && !(spec.spread() && here + 1 > spec.spreadLimit())) {
        return true;
      }
    }
    return false;
  }

  private void checkKnown(ClusterSimulation.JobRecord record) {
    JobId id = record.spec.id();
    LeaderCore core = simulation.leader == null ? null : simulation.leader.core;
    if (core != null && core.jobs().find(id) != null) {
      unknownSince.remove(id);
    } else if (simulation.now - unknownSince.computeIfAbsent(id, key -> simulation.now)
        == MAX_UNKNOWN_MS) {
      simulation.violations.add("forgotten: " + id + " at " + simulation.now);
    }
  }

  private static double totalCores(ClusterSimulation.JobRecord record) {
    return record.spec.tasks() * record.spec.size().cores();
  }

  private Map<String, Double> largestByClass() {
    Map<String, Double> largest = new HashMap<>();
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      largest.merge(record.spec.jobClass(), totalCores(record), Math::max);
    }
    return largest;
  }

  private void checkLargestStarted() {
    Map<String, Double> largest = largestByClass();
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      long since = Math.max(healthySince, record.submittedAt);
      boolean isLargest = totalCores(record) == largest.get(record.spec.jobClass());
      if (isLargest
          && !record.ended
          && record.startedAt < 0
          && simulation.now - since == LARGEST_START_MS) {
        simulation.violations.add("largest_late: " + record.spec.id() + " at " + simulation.now);
      }
    }
  }

  private void checkHalfCompleted(
      String group, Function<ClusterSimulation.JobRecord, String> groupBy, boolean largestOnly) {
    Map<String, Double> largest = largestByClass();
    Map<String, int[]> counts = new TreeMap<>();
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      boolean counted =
          !largestOnly || totalCores(record) >= largest.get(record.spec.jobClass()) / 2;
      if (counted
          && record.cancelledAt < 0
          && record.submittedAt < healthySince
          && !alwaysFails(record)) {
        int[] doneOfAll = counts.computeIfAbsent(groupBy.apply(record), key -> new int[2]);
        doneOfAll[0]++;
        doneOfAll[1] += record.doneAt >= 0 ? 1 : 0;
      }
    }
    counts.forEach(
        (name, doneOfAll) -> {
          if (doneOfAll[1] * 2 < doneOfAll[0]) {
            simulation.violations.add(
                "half: " + doneOfAll[1] + " of " + doneOfAll[0] + " of " + group + " " + name);
          }
        });
  }

  private static boolean alwaysFails(ClusterSimulation.JobRecord record) {
    return record.spec.jobClass().equals(ClusterSimulation.ALWAYS_FAILING_CLASS);
  }
}
