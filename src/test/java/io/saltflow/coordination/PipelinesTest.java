package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Jobs that depend on others, on the core that runs: each test is a day with what it may break. */
class PipelinesTest {
  private static Jobs step(int number) {
    return Jobs.job(number).estimateS(3);
  }

  private static List<JobId> chain(PipelineDay day, int length) {
    List<JobId> chain = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      JobId id = i == 0 ? day.submit(step(0)) : day.submit(step(i), chain.get(i - 1));
      chain.add(id);
    }
    return chain;
  }

  @Test
  void waitingJobsAreKnownButNotScheduled() {
    PipelineDay day = new PipelineDay(1);
    JobId first = day.submit(step(1).estimateS(60));
    JobId second = day.submit(step(2), first);
    day.run(30);
    assertTrue(day.record(first).startedAt > 0);
    assertEquals(second, day.core().job(second).id());
    assertEquals(List.of(first), day.core().jobs().stream().map(Job::id).toList());
    assertEquals(List.of(first, second), day.core().live());
    assertFalse(day.record(second).started, "a job that waits is not marked as one that may run");
    day.runUntilOver(120);
  }

  @Test
  void aDiamondRunsInOrder() {
    PipelineDay day = new PipelineDay(2);
    JobId top = day.submit(step(1));
    JobId left = day.submit(step(2).tasks(3), top);
    JobId right = day.submit(step(3).estimateS(20), top);
    JobId bottom = day.submit(step(4), left, right);
    day.runUntilOver(150);
    assertTrue(day.record(bottom).startedAt >= day.record(right).overAt);
    assertTrue(day.record(right).startedAt < day.record(left).overAt, "branches run side by side");
  }

  @Test
  void aChainOfThirtyWithTakeovers() {
    PipelineDay day = new PipelineDay(3);
    List<JobId> chain = chain(day, 30);
    day.run(60);
    day.world.loseLeader(0);
    day.run(60);
    day.world.loseLeader(20_000);
    day.runUntilOver(900);
    assertTrue(chain.stream().allMatch(day::done));
  }

  @Test
  void twoHundredJobsThatNeedOne() {
    PipelineDay day = new PipelineDay(4);
    JobId first = day.submit(step(1));
    IntStream.range(2, 202).forEach(i -> day.submit(step(i), first));
    day.runUntilOver(400);
  }

  @Test
  void twoHundredJobsAreCancelledWithTheOneTheyNeed() {
    PipelineDay day = new PipelineDay(5);
    JobId first = day.submit(step(1).estimateS(100));
    IntStream.range(2, 202).forEach(i -> day.submit(step(i), first));
    day.run(20);
    day.world.cancel(first);
    day.lost = 0.5;
    day.runUntilOver(40);
    assertEquals(0, day.world.records.values().stream().filter(r -> r.overAt >= 0).count());
  }

  /** The team of the need is at its limit; what waits for it takes nothing from anybody. */
  @Test
  void aWaitingJobHoldsNothingUp() {
    PipelineDay day = new PipelineDay(6);
    for (int i = 1; i <= 6; i++) {
      day.submit(Jobs.job(i).team("red").cores(8).estimateS(200));
    }
    day.run(20);
    JobId need = day.submit(Jobs.job(7).team("red").cores(8).estimateS(5));
    JobId waiting = day.submit(Jobs.job(8).cores(8).tasks(20), need);
    JobId other = day.submit(Jobs.job(9).priority(Priority.LOW).cores(8).estimateS(5));
    day.run(60);
    assertEquals(-1, day.record(need).startedAt, "its team is at its limit");
    assertEquals(-1, day.record(waiting).startedAt);
    assertTrue(day.done(other), "the waiting job reserves no room");
    assertTrue(day.world.workers.size() <= 8, "none is rented for it: " + day.world.workers.size());
    day.runUntilOver(500);
  }

  @Test
  void theLastJobComesWhenTheOthersAreLongOver() {
    PipelineDay day = new PipelineDay(7);
    List<JobId> chain = chain(day, 3);
    day.runUntilOver(150);
    day.world.loseLeader(0);
    day.run(20);
    JobId last = day.submit(step(9), chain.get(0), chain.get(2));
    JobId cancelled = day.submit(step(10).estimateS(50));
    day.world.cancel(cancelled);
    JobId hopeless = day.submit(step(11), cancelled, chain.get(0));
    day.runUntilOver(60);
    assertTrue(day.done(last));
    assertTrue(day.cancelled(hopeless));
  }

  /** Once for each step of a chain at which its first job is cancelled, with a takeover near it. */
  @Test
  void aCancelledChainGoesAsAWholeAcrossATakeover() {
    for (int at = 0; at < 30; at += 2) {
      PipelineDay day = new PipelineDay(100 + at);
      day.lost = 0.3;
      List<JobId> chain = chain(day, 5);
      day.run(at);
      day.world.cancel(chain.get(0));
      boolean was = day.cancelled(chain.get(0));
      if (at % 3 == 0) {
        day.world.loseLeader(0);
      } else if (at % 3 == 1) {
        day.world.stateDown(12_000);
      } else {
        day.run(0.5);
        day.world.loseLeader(15_000);
      }
      day.runUntilOver(200);
      for (JobId id : chain) {
        assertEquals(was, day.cancelled(id), "cancelled at " + at + ": " + id);
        assertEquals(!was, day.done(id));
      }
    }
  }

  @Test
  void anythingMayHappen() {
    for (int seed = 0; seed < 30; seed++) {
      PipelineDay day = new PipelineDay(1000 + seed);
      day.lost = 0.3;
      day.world.late = 0.1;
      day.world.loss = 0.05;
      List<JobId> ids = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        Jobs job = step(i).tasks(1 + day.world.random.nextInt(4)).team(i % 3 == 0 ? "red" : "blue");
        List<JobId> needs = new ArrayList<>();
        for (int n = 0; n < 3 && i > 0 && day.world.chance(0.6); n++) {
          JobId need = ids.get(Math.max(0, i - 1 - day.world.random.nextInt(6)));
          if (!needs.contains(need)) {
            needs.add(need);
          }
        }
        ids.add(day.submit(job, needs.toArray(new JobId[0])));
        day.run(1 + day.world.random.nextInt(4));
        if (day.world.chance(0.06)) {
          day.world.cancel(ids.get(day.world.random.nextInt(ids.size())));
        }
        trouble(day);
      }
      day.runUntilOver(900);
    }
  }

  private static void trouble(PipelineDay day) {
    switch (day.world.random.nextInt(25)) {
      case 0 -> day.world.loseLeader(0);
      case 1 -> day.world.loseLeader(12_000);
      case 2 -> day.world.stateDown(8_000);
      case 3 -> day.world.refuseLeader(9_000);
      default -> {}
    }
  }

  @Test
  void theChecksNoticeAStartOnAnEndThatNobodyRecorded() {
    PipelineDay day = new PipelineDay(8);
    day.takesGoneForDone = true;
    List<JobId> chain = chain(day, 3);
    day.run(15);
    day.world.cancel(chain.get(0));
    day.run(60);
    assertTrue(day.broken.stream().anyMatch(b -> b.startsWith("too_early")), "" + day.broken);
  }

  @Test
  void priorityAndDeadlineArePassedBack() {
    PipelineDay day = new PipelineDay(9);
    JobId first = day.submit(step(1).priority(Priority.LOW).estimateS(30));
    JobId second = day.submit(step(2).priority(Priority.LOW).estimateS(20), first);
    day.run(10);
    Job job = day.core().job(first);
    assertEquals(Priority.LOW, job.priority());
    assertNull(job.completeBy());

    JobId last = day.submit(step(3).priority(Priority.HIGH).estimateS(5).deadlineS(300), second);
    day.run(2);
    assertEquals(Priority.HIGH, job.priority(), "it changes while the job runs");
    assertEquals(Priority.HIGH, job.queuedAs());
    long stepMs = day.world.policy.report().ms();
    Job end = day.core().job(last);
    long latestMs = end.completeBy().ms() - 5_000 - stepMs - 20_000 - stepMs;
    assertEquals(latestMs, job.completeBy().ms());
    assertTrue(job.hasDeadline());

    day.world.loseLeader(0);
    day.run(8);
    Job successors = day.core().job(first);
    assertEquals(Priority.HIGH, successors.priority(), "a successor computes it anew");
    day.world.cancel(last);
    day.run(2);
    assertEquals(Priority.LOW, successors.priority());
    day.runUntilOver(200);
  }

  /** The first step is of low priority and belongs to a critical pipeline. */
  @Test
  void aStepGoesBeforeWorkOfLowerPriorityThanItsPipeline() {
    PipelineDay day = new PipelineDay(10);
    day.world.mostMachines = 2;
    for (int i = 1; i <= 12; i++) {
      day.submit(Jobs.job(i).cores(8).estimateS(40));
    }
    JobId first = day.submit(step(20).priority(Priority.LOW).cores(8));
    JobId last = day.submit(step(21).priority(Priority.HIGH).cores(8), first);
    day.run(60);
    assertTrue(day.done(first), String.join("\n", day.world.trace));
    assertTrue(day.record(last).startedAt > 0);
    day.runUntilOver(600);
  }

  @Test
  void timesCountFromTheEndOfTheLastNeedAndTheDeadlineFromTheSubmission() {
    PipelineDay day = new PipelineDay(11);
    JobId first = day.submit(step(1).estimateS(30));
    JobId second = day.submit(step(2).estimateS(60).deadlineS(500), first);
    day.run(70);
    assertTrue(day.record(second).startedAt > 0);
    Job job = day.core().job(second);
    assertEquals(day.record(first).overAt, job.arrivedAt.ms());
    assertEquals(day.record(second).at + 500_000, job.dueAt.ms());

    // A successor knows it from the recorded end.
    day.world.loseLeader(0);
    day.run(8);
    Job successors = day.core().job(second);
    assertEquals(day.record(first).overAt, successors.arrivedAt.ms());
    day.runUntilOver(200);
  }

  /**
   * A leader of a version that knows no dependencies led in between. It could not read the job's
   * record and dropped its entry in the progress pages, and a machine out of its reach runs the
   * task: a successor that took it for one that was never started would run it twice.
   */
  @Test
  void whatAFormerVersionForgotIsNotStartedTwice() {
    PipelineDay day = new PipelineDay(13);
    day.submit(Jobs.job(5).cores(5).estimateS(120));
    day.submit(Jobs.job(6).cores(5).estimateS(120));
    JobId first = day.submit(step(1).estimateS(30));
    JobId second = day.submit(step(2).estimateS(100), first);
    for (int s = 0; s < 90 && day.record(second).startedAt < 0; s++) {
      day.run(1);
    }
    World.Worker runs =
        day.world.workers.values().stream()
            .filter(w -> w.tasks.keySet().stream().anyMatch(task -> task.job().equals(second)))
            .findFirst()
            .get();
    runs.cutUntil = day.world.now + 60_000;
    day.world.supersede(0);
    day.record(second).started = false;
    JobId other = day.submit(step(3));
    day.run(14);
    assertTrue(day.record(other).startedAt > 0, "others go on");
    day.runUntilOver(500);
    assertTrue(day.done(second));
  }

  /** Only damaged records can say that: the others go on. */
  @Test
  void jobsThatNeedEachOtherInACircleHoldNobodyUp() {
    PipelineDay day = new PipelineDay(12);
    JobId a = new JobId(Jobs.id(1));
    JobId b = new JobId(Jobs.id(2));
    day.world.submit(step(1).build().awaiting(List.of(b)));
    day.world.submit(step(2).build().awaiting(List.of(a, b)));
    JobId other = day.submit(step(3));
    JobId next = day.submit(step(4).priority(Priority.HIGH), other);
    day.run(80);
    assertTrue(day.done(other) && day.done(next));
    assertEquals(-1, day.record(a).startedAt);
    day.world.cancel(a);
    day.runUntilOver(10);
    assertTrue(day.cancelled(b));
  }
}
