package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests jobs with dependencies on a simulated cluster, under failovers, outages and cancellations.
 */
class DependencyTrackerTest {
  private static JobSpecBuilder step(int number) {
    return JobSpecBuilder.job(number).estimateS(3);
  }

  private static List<JobId> chain(PipelineSimulation pipeline, int length) {
    List<JobId> chain = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      JobId id = i == 0 ? pipeline.submit(step(0)) : pipeline.submit(step(i), chain.get(i - 1));
      chain.add(id);
    }
    return chain;
  }

  @Test
  void waitingJobsAreKnownButNotScheduled() {
    PipelineSimulation pipeline = new PipelineSimulation(1);
    JobId first = pipeline.submit(step(1).estimateS(60));
    JobId second = pipeline.submit(step(2), first);
    pipeline.run(30);
    assertTrue(pipeline.record(first).startedAt > 0);
    assertEquals(second, pipeline.core().jobs().find(second).id());
    assertEquals(List.of(first), pipeline.core().jobs().scheduled().stream().map(Job::id).toList());
    assertEquals(List.of(first, second), pipeline.core().jobs().liveIds());
    assertFalse(
        pipeline.record(second).started, "a job with unfinished dependencies is marked as started");
    pipeline.runUntilAllJobsEnd(120);
  }

  @Test
  void diamondRunsInOrder() {
    PipelineSimulation pipeline = new PipelineSimulation(2);
    JobId top = pipeline.submit(step(1));
    JobId left = pipeline.submit(step(2).tasks(3), top);
    JobId right = pipeline.submit(step(3).estimateS(20), top);
    JobId bottom = pipeline.submit(step(4), left, right);
    pipeline.runUntilAllJobsEnd(150);
    assertTrue(pipeline.record(bottom).startedAt >= pipeline.record(right).doneAt);
    assertTrue(
        pipeline.record(right).startedAt < pipeline.record(left).doneAt,
        "the branches do not run in parallel");
  }

  @Test
  void chainOfThirtyJobsSurvivesFailovers() {
    PipelineSimulation pipeline = new PipelineSimulation(3);
    List<JobId> chain = chain(pipeline, 30);
    pipeline.run(60);
    pipeline.simulation.failLeader(0);
    pipeline.run(60);
    pipeline.simulation.failLeader(20_000);
    pipeline.runUntilAllJobsEnd(900);
    assertTrue(chain.stream().allMatch(pipeline::isDone));
  }

  @Test
  void twoHundredDependentsRunAfterOneJob() {
    PipelineSimulation pipeline = new PipelineSimulation(4);
    JobId first = pipeline.submit(step(1));
    IntStream.range(2, 202).forEach(i -> pipeline.submit(step(i), first));
    pipeline.runUntilAllJobsEnd(400);
  }

  @Test
  void twoHundredDependentsAreCancelledWithTheirDependency() {
    PipelineSimulation pipeline = new PipelineSimulation(5);
    JobId first = pipeline.submit(step(1).estimateS(100));
    IntStream.range(2, 202).forEach(i -> pipeline.submit(step(i), first));
    pipeline.run(20);
    pipeline.simulation.cancel(first);
    pipeline.lostResponseProbability = 0.5;
    pipeline.runUntilAllJobsEnd(40);
    assertEquals(
        0, pipeline.simulation.records.values().stream().filter(r -> r.doneAt >= 0).count());
  }

  /** Guards against a job reserving capacity while its dependency is blocked by a team's limit. */
  @Test
  void jobWithPendingDependencyReservesNoCapacity() {
    PipelineSimulation pipeline = new PipelineSimulation(6);
    for (int i = 1; i <= 6; i++) {
      pipeline.submit(JobSpecBuilder.job(i).team("red").cores(8).estimateS(200));
    }
    pipeline.run(20);
    JobId dependency = pipeline.submit(JobSpecBuilder.job(7).team("red").cores(8).estimateS(5));
    JobId waiting = pipeline.submit(JobSpecBuilder.job(8).cores(8).tasks(20), dependency);
    JobId other =
        pipeline.submit(JobSpecBuilder.job(9).priority(Priority.LOW).cores(8).estimateS(5));
    pipeline.run(60);
    assertEquals(
        -1,
        pipeline.record(dependency).startedAt,
        "the dependency started although its team is at its limit");
    assertEquals(-1, pipeline.record(waiting).startedAt);
    assertTrue(pipeline.isDone(other), "the waiting job reserves capacity");
    assertTrue(
        pipeline.simulation.workers.size() <= 8,
        "machines were created for the waiting job: " + pipeline.simulation.workers.size());
    pipeline.runUntilAllJobsEnd(500);
  }

  @Test
  void jobSubmittedAfterItsDependenciesEndedIsResolved() {
    PipelineSimulation pipeline = new PipelineSimulation(7);
    List<JobId> chain = chain(pipeline, 3);
    pipeline.runUntilAllJobsEnd(150);
    pipeline.simulation.failLeader(0);
    pipeline.run(20);
    JobId last = pipeline.submit(step(9), chain.get(0), chain.get(2));
    JobId cancelled = pipeline.submit(step(10).estimateS(50));
    pipeline.simulation.cancel(cancelled);
    JobId dependentOfCancelled = pipeline.submit(step(11), cancelled, chain.get(0));
    pipeline.runUntilAllJobsEnd(60);
    assertTrue(pipeline.isDone(last));
    assertTrue(pipeline.isCancelled(dependentOfCancelled));
  }

  /** Cancels the first job of a chain at varying times, each close to a failover or an outage. */
  @Test
  void cancellationCascadesAcrossFailover() {
    for (int at = 0; at < 30; at += 2) {
      PipelineSimulation pipeline = new PipelineSimulation(100 + at);
      pipeline.lostResponseProbability = 0.3;
      List<JobId> chain = chain(pipeline, 5);
      pipeline.run(at);
      pipeline.simulation.cancel(chain.get(0));
      boolean wasCancelled = pipeline.isCancelled(chain.get(0));
      if (at % 3 == 0) {
        pipeline.simulation.failLeader(0);
      } else if (at % 3 == 1) {
        pipeline.simulation.startStoreOutage(12_000);
      } else {
        pipeline.run(0.5);
        pipeline.simulation.failLeader(15_000);
      }
      pipeline.runUntilAllJobsEnd(200);
      for (JobId id : chain) {
        assertEquals(wasCancelled, pipeline.isCancelled(id), "cancelled at " + at + " s: " + id);
        assertEquals(!wasCancelled, pipeline.isDone(id));
      }
    }
  }

  @Test
  void dependenciesHoldUnderRandomFaults() {
    for (int seed = 0; seed < 30; seed++) {
      PipelineSimulation pipeline = new PipelineSimulation(1000 + seed);
      pipeline.lostResponseProbability = 0.3;
      pipeline.simulation.delayedWriteProbability = 0.1;
      pipeline.simulation.lostResponseProbability = 0.05;
      List<JobId> ids = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        JobSpecBuilder job =
            step(i)
                .tasks(1 + pipeline.simulation.random.nextInt(4))
                .team(i % 3 == 0 ? "red" : "blue");
        List<JobId> dependencies = new ArrayList<>();
        for (int n = 0; n < 3 && i > 0 && pipeline.simulation.chance(0.6); n++) {
          JobId dependency = ids.get(Math.max(0, i - 1 - pipeline.simulation.random.nextInt(6)));
          if (!dependencies.contains(dependency)) {
            dependencies.add(dependency);
          }
        }
        ids.add(pipeline.submit(job, dependencies.toArray(new JobId[0])));
        pipeline.run(1 + pipeline.simulation.random.nextInt(4));
        if (pipeline.simulation.chance(0.06)) {
          pipeline.simulation.cancel(ids.get(pipeline.simulation.random.nextInt(ids.size())));
        }
        injectRandomFault(pipeline);
      }
      pipeline.runUntilAllJobsEnd(900);
    }
  }

  private static void injectRandomFault(PipelineSimulation pipeline) {
    switch (pipeline.simulation.random.nextInt(25)) {
      case 0 -> pipeline.simulation.failLeader(0);
      case 1 -> pipeline.simulation.failLeader(12_000);
      case 2 -> pipeline.simulation.startStoreOutage(8_000);
      case 3 -> pipeline.simulation.disconnectLeaderFromStore(9_000);
      default -> {}
    }
  }

  @Test
  void checksDetectStartBeforeRecordedCompletion() {
    PipelineSimulation pipeline = new PipelineSimulation(8);
    pipeline.treatsRemovalAsDone = true;
    List<JobId> chain = chain(pipeline, 3);
    pipeline.run(15);
    pipeline.simulation.cancel(chain.get(0));
    pipeline.run(60);
    assertTrue(
        pipeline.violations.stream().anyMatch(b -> b.startsWith("too_early")),
        "" + pipeline.violations);
  }

  @Test
  void priorityAndDeadlineAreInherited() {
    PipelineSimulation pipeline = new PipelineSimulation(9);
    JobId first = pipeline.submit(step(1).priority(Priority.LOW).estimateS(30));
    JobId second = pipeline.submit(step(2).priority(Priority.LOW).estimateS(20), first);
    pipeline.run(10);
    Job job = pipeline.core().jobs().find(first);
    assertEquals(Priority.LOW, job.queueState().priority());
    assertNull(job.queueState().completeBy());

    JobId last =
        pipeline.submit(step(3).priority(Priority.HIGH).estimateS(5).deadlineS(300), second);
    pipeline.run(2);
    assertEquals(
        Priority.HIGH, job.queueState().priority(), "the priority of a running job did not change");
    assertEquals(Priority.HIGH, job.queueState().effectivePriority());
    long stepMs = pipeline.simulation.policy.heartbeatInterval().ms();
    Job end = pipeline.core().jobs().find(last);
    long expectedMs = end.queueState().completeBy().ms() - 5_000 - stepMs - 20_000 - stepMs;
    assertEquals(expectedMs, job.queueState().completeBy().ms());
    assertTrue(job.queueState().hasDeadline());

    pipeline.simulation.failLeader(0);
    pipeline.run(8);
    Job afterFailover = pipeline.core().jobs().find(first);
    assertEquals(
        Priority.HIGH,
        afterFailover.queueState().priority(),
        "the new leader did not recompute the priority");
    pipeline.simulation.cancel(last);
    pipeline.run(2);
    assertEquals(Priority.LOW, afterFailover.queueState().priority());
    pipeline.runUntilAllJobsEnd(200);
  }

  /** Guards against a high-priority job being delayed by its low-priority dependency. */
  @Test
  void dependencyRunsAtInheritedPriority() {
    PipelineSimulation pipeline = new PipelineSimulation(10);
    pipeline.simulation.maxMachines = 2;
    for (int i = 1; i <= 12; i++) {
      pipeline.submit(JobSpecBuilder.job(i).cores(8).estimateS(40));
    }
    JobId first = pipeline.submit(step(20).priority(Priority.LOW).cores(8));
    JobId last = pipeline.submit(step(21).priority(Priority.HIGH).cores(8), first);
    pipeline.run(60);
    assertTrue(pipeline.isDone(first), String.join("\n", pipeline.simulation.trace));
    assertTrue(pipeline.record(last).startedAt > 0);
    pipeline.runUntilAllJobsEnd(600);
  }

  @Test
  void waitStartsAtLastDependencyAndDeadlineAtSubmission() {
    PipelineSimulation pipeline = new PipelineSimulation(11);
    JobId first = pipeline.submit(step(1).estimateS(30));
    JobId second = pipeline.submit(step(2).estimateS(60).deadlineS(500), first);
    pipeline.run(70);
    assertTrue(pipeline.record(second).startedAt > 0);
    Job job = pipeline.core().jobs().find(second);
    assertEquals(pipeline.record(first).doneAt, job.queueState().eligibleAt().ms());
    assertEquals(pipeline.record(second).submittedAt + 500_000, job.queueState().dueAt().ms());

    // The new leader reads the time from the recorded completion.
    pipeline.simulation.failLeader(0);
    pipeline.run(8);
    Job afterFailover = pipeline.core().jobs().find(second);
    assertEquals(pipeline.record(first).doneAt, afterFailover.queueState().eligibleAt().ms());
    pipeline.runUntilAllJobsEnd(200);
  }

  /**
   * Guards against a second launch after a leader of a version without dependencies dropped the
   * job's progress entry while a partitioned machine was running the task.
   */
  @Test
  void jobDroppedByOlderVersionIsNotStartedTwice() {
    PipelineSimulation pipeline = new PipelineSimulation(13);
    pipeline.submit(JobSpecBuilder.job(5).cores(5).estimateS(120));
    pipeline.submit(JobSpecBuilder.job(6).cores(5).estimateS(120));
    JobId first = pipeline.submit(step(1).estimateS(30));
    JobId second = pipeline.submit(step(2).estimateS(100), first);
    for (int s = 0; s < 90 && pipeline.record(second).startedAt < 0; s++) {
      pipeline.run(1);
    }
    ClusterSimulation.SimulatedWorker partitionedWorker =
        pipeline.simulation.workers.values().stream()
            .filter(w -> w.tasks.keySet().stream().anyMatch(task -> task.job().equals(second)))
            .findFirst()
            .get();
    partitionedWorker.partitionedUntil = pipeline.simulation.now + 60_000;
    pipeline.simulation.supersede(0);
    pipeline.record(second).started = false;
    JobId other = pipeline.submit(step(3));
    pipeline.run(14);
    assertTrue(pipeline.record(other).startedAt > 0, "other jobs do not start");
    pipeline.runUntilAllJobsEnd(500);
    assertTrue(pipeline.isDone(second));
  }

  /** Cycles, which only damaged records can contain, must not block other jobs. */
  @Test
  void cyclicDependenciesDoNotDelayOtherJobs() {
    PipelineSimulation pipeline = new PipelineSimulation(12);
    JobId jobId = new JobId(JobSpecBuilder.id(1));
    JobId otherJobId = new JobId(JobSpecBuilder.id(2));
    pipeline.simulation.submit(step(1).build().withDependencies(List.of(otherJobId)));
    pipeline.simulation.submit(step(2).build().withDependencies(List.of(jobId, otherJobId)));
    JobId other = pipeline.submit(step(3));
    JobId next = pipeline.submit(step(4).priority(Priority.HIGH), other);
    pipeline.run(80);
    assertTrue(pipeline.isDone(other) && pipeline.isDone(next));
    assertEquals(-1, pipeline.record(jobId).startedAt);
    pipeline.simulation.cancel(jobId);
    pipeline.runUntilAllJobsEnd(10);
    assertTrue(pipeline.isCancelled(otherJobId));
  }
}
