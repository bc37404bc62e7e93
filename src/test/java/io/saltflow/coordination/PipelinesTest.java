package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Jobs that depend on others, on the core that runs: each test is a day with what it may break. */
class PipelinesTest {
  private static final Span LEASE = Span.millis(World.LEASE);

  /** The test world, with the reads and writes that dependent jobs take. */
  private static final class Day {
    final World world;
    final List<String> broken = new ArrayList<>();

    /** Which part of the recorded cancellations gets no answer. */
    double lost;

    /** A planted mistake: an end that nobody recorded is taken for one that is done. */
    boolean takesGoneForDone;

    Day(long seed) {
      world = new World(seed, World.policy(LEASE));
    }

    JobId submit(Jobs job, JobId... needs) {
      JobSpec spec = job.build().awaiting(List.of(needs));
      world.submit(spec);
      for (JobId need : needs) {
        if (record(need).cancelledAt >= 0) {
          // What a node does that accepts a job which names a cancelled one.
          world.cancel(spec.id());
        }
      }
      return spec.id();
    }

    World.JobRecord record(JobId id) {
      return world.records.get(id);
    }

    Leader core() {
      return world.lead == null ? null : world.lead.core;
    }

    void run(double seconds) {
      for (long end = world.now + (long) (seconds * 1000); world.now < end; ) {
        world.step();
        boolean served = world.lead != null && world.lead.served() && !world.lead.cut();
        if (served && core() != null) {
          readEnds();
          cancelDependents();
        }
        check();
      }
      assertEquals(List.of(), world.broken);
    }

    private void readEnds() {
      List<JobId> ends = new ArrayList<>(core().pipelines().endsToRead());
      ends.addAll(core().pipelines().endsToReadForTimes());
      for (JobId id : ends) {
        World.JobRecord r = record(id);
        if (takesGoneForDone || r.overAt >= 0) {
          core().doneRead(id, r.overAt, world.time());
        } else if (r.over) {
          core().cancelledRead(id, world.time());
        }
      }
    }

    private void cancelDependents() {
      for (JobId id : core().pipelines().toCancel()) {
        World.JobRecord r = record(id);
        boolean answered = !world.chance(lost);
        if (!r.over) {
          r.over = true;
          r.cancelledAt = world.now;
          world.say(id + " is cancelled with what it needs");
        }
        if (answered) {
          core().cancelledRead(id, world.time());
        }
      }
    }

    /** The rules: too_early and orphaned. */
    private void check() {
      for (World.JobRecord r : world.records.values()) {
        for (JobId each : r.spec.awaits()) {
          World.JobRecord need = record(each);
          boolean done = need.overAt >= 0 && need.ran.cardinality() == need.spec.tasks();
          if (r.startedAt >= 0 && (!done || need.overAt > r.startedAt)) {
            broken.add("too_early: " + r.spec.id() + " at " + r.startedAt);
          }
          boolean late = need.cancelledAt >= 0 && world.now > need.cancelledAt + World.CANCEL;
          if (late && !r.over) {
            broken.add("orphaned: " + r.spec.id() + " at " + world.now);
          }
        }
      }
    }

    void runUntilOver(double mostSeconds) {
      for (double s = 0; s < mostSeconds && !world.allOver(); s += 5) {
        run(5);
      }
      assertTrue(world.allOver(), String.join("\n", world.trace));
      assertEquals(List.of(), broken);
    }

    boolean done(JobId id) {
      return record(id).overAt >= 0;
    }

    boolean cancelled(JobId id) {
      return record(id).cancelledAt >= 0;
    }
  }

  private static Jobs step(int number) {
    return Jobs.job(number).estimateS(3);
  }

  private static List<JobId> chain(Day day, int length) {
    List<JobId> chain = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      JobId id = i == 0 ? day.submit(step(0)) : day.submit(step(i), chain.get(i - 1));
      chain.add(id);
    }
    return chain;
  }

  @Test
  void waitingJobsAreKnownButNotScheduled() {
    Day day = new Day(1);
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
    Day day = new Day(2);
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
    Day day = new Day(3);
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
    Day day = new Day(4);
    JobId first = day.submit(step(1));
    IntStream.range(2, 202).forEach(i -> day.submit(step(i), first));
    day.runUntilOver(400);
  }

  @Test
  void twoHundredJobsAreCancelledWithTheOneTheyNeed() {
    Day day = new Day(5);
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
    Day day = new Day(6);
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
    Day day = new Day(7);
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
      Day day = new Day(100 + at);
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
      Day day = new Day(1000 + seed);
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

  private static void trouble(Day day) {
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
    Day day = new Day(8);
    day.takesGoneForDone = true;
    List<JobId> chain = chain(day, 3);
    day.run(15);
    day.world.cancel(chain.get(0));
    day.run(60);
    assertTrue(day.broken.stream().anyMatch(b -> b.startsWith("too_early")), "" + day.broken);
  }

  @Test
  void priorityAndDeadlineArePassedBack() {
    Day day = new Day(9);
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
    Day day = new Day(10);
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
    Day day = new Day(11);
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

  /** Only damaged records can say that: the others go on. */
  @Test
  void jobsThatNeedEachOtherInACircleHoldNobodyUp() {
    Day day = new Day(12);
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
