package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;

/** Cluster simulation with the reads and writes that job dependencies require. */
final class PipelineSimulation {
  final ClusterSimulation simulation;
  final List<String> violations = new ArrayList<>();

  /** Probability that the response to a recorded cancellation is lost. */
  double lostResponseProbability;

  /** Seeded fault: whether a job without a recorded end is treated as done. */
  boolean treatsRemovalAsDone;

  PipelineSimulation(long seed) {
    simulation =
        new ClusterSimulation(
            seed, ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)));
  }

  JobId submit(JobSpecBuilder job, JobId... dependencies) {
    JobSpec spec = job.build().withDependencies(List.of(dependencies));
    simulation.submit(spec);
    for (JobId dependency : dependencies) {
      if (record(dependency).cancelledAt >= 0) {
        // A controller cancels a job at submission if a dependency is cancelled.
        simulation.cancel(spec.id());
      }
    }
    return spec.id();
  }

  ClusterSimulation.JobRecord record(JobId id) {
    return simulation.records.get(id);
  }

  LeaderCore core() {
    return simulation.leader == null ? null : simulation.leader.core;
  }

  void run(double seconds) {
    for (long end = simulation.now + (long) (seconds * 1000); simulation.now < end; ) {
      simulation.step();
      boolean storeReachable =
          simulation.leader != null
              && simulation.leader.canReachStore()
              && !simulation.leader.isPartitioned();
      if (storeReachable && core() != null) {
        readEndedDependencies();
        cancelDependents();
      }
      check();
    }
    assertEquals(List.of(), simulation.violations);
  }

  private void readEndedDependencies() {
    List<JobId> toRead = new ArrayList<>(core().dependencies().completionsToRead());
    toRead.addAll(core().dependencies().completionsToReadForTimes());
    for (JobId id : toRead) {
      ClusterSimulation.JobRecord record = record(id);
      if (treatsRemovalAsDone || record.doneAt >= 0) {
        core().jobs().onCompletionRead(id, record.doneAt, simulation.time());
      } else if (record.ended) {
        core().jobs().onCancellationRead(id, simulation.time());
      }
    }
  }

  private void cancelDependents() {
    for (JobId id : core().dependencies().jobsToCancel()) {
      ClusterSimulation.JobRecord record = record(id);
      boolean acknowledged = !simulation.chance(lostResponseProbability);
      if (!record.ended) {
        record.ended = true;
        record.cancelledAt = simulation.now;
        simulation.log(id + " cancelled because a dependency was cancelled");
      }
      if (acknowledged) {
        core().jobs().onCancellationRead(id, simulation.time());
      }
    }
  }

  /** Records a violation for each job that starts too early or outlives a cancelled dependency. */
  private void check() {
    for (ClusterSimulation.JobRecord record : simulation.records.values()) {
      for (JobId id : record.spec.dependencies()) {
        ClusterSimulation.JobRecord dependency = record(id);
        boolean done =
            dependency.doneAt >= 0
                && dependency.completedTasks.cardinality() == dependency.spec.tasks();
        if (record.startedAt >= 0 && (!done || dependency.doneAt > record.startedAt)) {
          violations.add("too_early: " + record.spec.id() + " at " + record.startedAt);
        }
        boolean overdue =
            dependency.cancelledAt >= 0
                && simulation.now
                    > dependency.cancelledAt + ClusterSimulation.CANCELLATION_BOUND_MS;
        if (overdue && !record.ended) {
          violations.add("orphaned: " + record.spec.id() + " at " + simulation.now);
        }
      }
    }
  }

  void runUntilAllJobsEnd(double maxSeconds) {
    for (double elapsed = 0; elapsed < maxSeconds && !simulation.allJobsEnded(); elapsed += 5) {
      run(5);
    }
    assertTrue(simulation.allJobsEnded(), String.join("\n", simulation.trace));
    assertEquals(List.of(), violations);
  }

  boolean isDone(JobId id) {
    return record(id).doneAt >= 0;
  }

  boolean isCancelled(JobId id) {
    return record(id).cancelledAt >= 0;
  }
}
