package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rounds of one leader, most of them as traces to read. */
class RoundsTest {
  private static Policy policy(double thresholdS) {
    return Policies.of(
        Span.seconds(16),
        Span.seconds(20),
        thresholdS,
        new Policy.Team("blue", 0, 0, 0, 0),
        new Policy.Team("red", 10, 12, 0, 0));
  }

  private static Floor oneMachine(double thresholdS) {
    Floor f = new Floor(policy(thresholdS), List.of());
    f.checkIn("vm-1");
    return f;
  }

  /**
   * The paper's figure 3: A and B run; C, the head, must wait for B; D and E are estimated to run
   * past that, yet are backfilled by their scaled estimates. D ends in time; E is stopped when C's
   * reserved time has come, and goes on when C has ended.
   */
  @Test
  void figure3() throws IOException {
    Floor f = oneMachine(0);
    f.arrive(Jobs.job(1).cores(4).estimateS(20).build());
    f.arrive(Jobs.job(2).cores(6).estimateS(70).build());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(3).cores(9).estimateS(40).build());
    f.arrive(Jobs.job(4).cores(2).estimateS(100).checkpointS(10).priority(Priority.LOW).build());
    f.arrive(Jobs.job(5).cores(2).estimateS(200).checkpointS(10).priority(Priority.LOW).build());
    f.checkIn("vm-1");
    f.work("vm-1", 20);
    f.ends("vm-1", Floor.task(1, 0), Report.ExitCause.DONE);
    f.work("vm-1", 20);
    f.ends("vm-1", Floor.task(4, 0), Report.ExitCause.DONE);
    f.work("vm-1", 30);
    f.ends("vm-1", Floor.task(2, 0), Report.ExitCause.DONE);
    f.work("vm-1", 40);
    f.ends("vm-1", Floor.task(3, 0), Report.ExitCause.DONE);
    f.work("vm-1", 2);
    Traces.check("figure3", f.trace);
  }

  /** Without scaling, the same two jobs have to wait, as in the classical algorithm. */
  @Test
  void classicalBackfillLeavesThemWaiting() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(2).cores(6).estimateS(50).build());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(3).cores(9).estimateS(40).build());
    f.arrive(Jobs.job(4).cores(2).estimateS(100).checkpointS(10).priority(Priority.LOW).build());
    assertTrue(launches(f.checkIn("vm-1")).isEmpty());
    // What ends before the reserve time is backfilled all the same.
    f.arrive(Jobs.job(5).cores(2).estimateS(20).priority(Priority.LOW).build());
    assertEquals(List.of(Floor.task(5, 0)), launches(f.checkIn("vm-1")));
  }

  private static List<TaskId> launches(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Launch).map(Order::task).toList();
  }

  @Test
  void urgentWorkStopsWhatLosesLeastAndNothingOfItsOwnPriority() throws IOException {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).cores(4).estimateS(100).priority(Priority.HIGH).build());
    f.arrive(Jobs.job(2).cores(3).estimateS(100).priority(Priority.LOW).build());
    f.arrive(Jobs.job(3).cores(3).estimateS(100).checkpointS(10).priority(Priority.LOW).build());
    f.checkIn("vm-1");
    f.work("vm-1", 20);
    f.arrive(Jobs.job(4).cores(3).estimateS(10).priority(Priority.HIGH).build());
    f.checkIn("vm-1");
    f.pass(3);
    f.checkIn("vm-1");
    f.pass(3);
    f.checkIn("vm-1");
    Traces.check("preemption", f.trace);
  }

  @Test
  void roomThatComesByItselfSoonIsWaitedFor() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).cores(10).estimateS(30).priority(Priority.LOW).build());
    f.checkIn("vm-1");
    f.work("vm-1", 26);
    f.arrive(Jobs.job(2).cores(3).estimateS(10).priority(Priority.HIGH).build());
    assertTrue(f.checkIn("vm-1").isEmpty(), "it ends in 5 s: stopping it would be thrash");
  }

  @Test
  void teamLimitHoldsAndOverLimitJobsDoNotBlockOthers() {
    Floor f = oneMachine(1800);
    f.checkIn("vm-2");
    f.arrive(Jobs.job(1).team("red").tasks(5).cores(4).build());
    f.arrive(Jobs.job(2).team("blue").cores(4).build());
    int red = launches(f.checkIn("vm-1")).size() + launches(f.checkIn("vm-2")).size();
    // Three of red's tasks use its 12 cores; the fourth launch is blue's.
    assertEquals(4, red);
    assertEquals(3, f.leader.job(new JobId(Jobs.id(1))).present.size());
  }

  @Test
  void spreadAndOneZoneCountTasksWhereverTheyMightBe() {
    Floor f = oneMachine(1800);
    f.checkIn("vm-2b");
    f.arrive(Jobs.job(1).tasks(3).cores(1).spread(true).build());
    f.arrive(Jobs.job(2).tasks(4).cores(1).oneZone(true).build());
    int a = launches(f.checkIn("vm-1")).size();
    int b = launches(f.checkIn("vm-2b")).size();
    assertEquals(7, a + b);
    Job spread = f.leader.job(new JobId(Jobs.id(1)));
    assertEquals(2, spread.present.values().stream().map(p -> p.machine.zone).distinct().count());
    Job oneZone = f.leader.job(new JobId(Jobs.id(2)));
    assertEquals(1, oneZone.present.values().stream().map(p -> p.machine.zone).distinct().count());
  }

  @Test
  void faultyMachineIsReturnedAndItsTasksGoElsewhere() throws IOException {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).tasks(2).cores(5).estimateS(30).build());
    f.checkIn("vm-1");
    f.checkIn("vm-2");
    f.pass(1);
    f.ends("vm-1", Floor.task(1, 0), Report.ExitCause.ERROR);
    f.ends("vm-1", Floor.task(1, 1), Report.ExitCause.ERROR);
    f.checkIn("vm-1");
    f.say("to return: " + f.leader.toDelete(f.time()));
    f.pass(1);
    f.checkIn("vm-2");
    f.pass(1);
    // One job's failures may be its own. They work elsewhere, so they were the machine's.
    f.ends("vm-2", Floor.task(1, 0), Report.ExitCause.DONE);
    f.checkIn("vm-2");
    f.say("to return: " + f.leader.toDelete(f.time()));
    Traces.check("faulty-machine", f.trace);
  }

  @Test
  void jobThatFailsEverywhereIsNotTakenForFaultyMachines() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).tasks(1).cores(5).estimateS(30).build());
    int machine = 1;
    for (int i = 0; i < 12; i++) {
      String name = "vm-" + machine;
      f.checkIn(name);
      if (f.on.get(name).containsKey(Floor.task(1, 0))) {
        f.ends(name, Floor.task(1, 0), Report.ExitCause.ERROR);
        f.checkIn(name);
      }
      machine = machine % 4 + 1;
      f.pass(1);
    }
    Job job = f.leader.job(new JobId(Jobs.id(1)));
    assertTrue(job.failsEverywhere());
    assertTrue(job.errors <= 6, "it loops hot: " + job.errors);
    assertTrue(f.leader.toDelete(f.time()).isEmpty(), "its machines are sound");
  }

  /**
   * On the operators' day a chapter of 60 tasks that fail wherever they are started had machines
   * returned as faulty, and was tried some hundred times a minute.
   */
  @Test
  void aWideJobWithAMistakeCostsNoMachineAndFewTries() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).tasks(60).cores(2).estimateS(30).build());
    int tries = 0;
    for (int second = 0; second < 55; second++) {
      for (int m = 1; m <= 12; m++) {
        String name = "vm-" + m;
        f.checkIn(name);
        for (TaskId task : List.copyOf(f.on.get(name).keySet())) {
          f.ends(name, task, Report.ExitCause.ERROR);
          tries++;
        }
        f.checkIn(name);
      }
      assertEquals(List.of(), f.leader.toDelete(f.time()), "its machines are sound");
      f.pass(1);
    }
    assertTrue(tries <= 72, "tried " + tries + " times: 60 at first, then now and then");
    assertEquals(0, f.leader.toRent(f.time()).size(), "nothing is rented for it");
    // It is mended: one try shows it, and all tasks start.
    for (int second = 0; second < 70; second++) {
      f.checkIn("vm-1");
      for (TaskId task : List.copyOf(f.on.get("vm-1").keySet())) {
        f.ends("vm-1", task, Report.ExitCause.DONE);
      }
      f.pass(1);
    }
    Job job = f.leader.job(new JobId(Jobs.id(1)));
    assertTrue(job == null || job.doneCount() > 30, "it goes on");
  }

  /** Leaders that were superseded without knowing found this: a job stayed undone for ever. */
  @Test
  void whatWasGivenToAMachineThatIsDeletedGoesElsewhere() {
    Floor f = oneMachine(1800);
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).cores(5).estimateS(30).build());
    f.pass(1);
    f.leader.deleted(List.of(new MachineId("vm-1")), f.time());
    f.checkIn("vm-2");
    f.pass(1);
    assertEquals(List.of(Floor.task(1, 0)), launches(f.checkIn("vm-2")));
  }

  @Test
  void daemonsAreReplacedWhenTheirMachineIsGone() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).daemon().tasks(2).cores(1).estimateS(0).build());
    assertEquals(2, launches(f.checkIn("vm-1")).size());
    f.checkIn("vm-2");
    f.leader.deleted(List.of(new MachineId("vm-1")), f.time());
    f.pass(1);
    assertEquals(2, launches(f.checkIn("vm-2")).size());
  }

  @Test
  void resultIsClearedOnlyOnceItIsRecorded() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).tasks(2).cores(10).build());
    f.checkIn("vm-1");
    f.ends("vm-1", Floor.task(1, 0), Report.ExitCause.DONE);
    f.pass(1);
    assertFalse(f.checkIn("vm-1").stream().anyMatch(o -> o instanceof Order.Clear));
    Job job = f.leader.toRecord().get(0);
    f.leader.recorded(job, (BitSet) job.doneTasks().clone());
    f.pass(1);
    assertTrue(f.checkIn("vm-1").stream().anyMatch(o -> o instanceof Order.Clear));
  }

  /**
   * An empty dear machine that is to go still takes work within a guarantee: after a takeover
   * twenty of them were returned while a hundred such tasks waited, and others were stopped for
   * those.
   */
  @Test
  void guaranteedWorkMayUseDearMachinesThatAreToGo() {
    Floor f = new Floor(policy(1800), List.of());
    f.checkIn("vm-1s");
    f.arrive(Jobs.job(1).cores(10).estimateS(20).build());
    f.checkIn("vm-1s");
    f.checkIn("vm-2");
    f.work("vm-2", 4);
    f.arrive(Jobs.job(2).cores(3).estimateS(20).build());
    assertEquals(List.of(), launches(f.checkIn("vm-2")), "what can wait, waits for a cheap one");
    f.arrive(Jobs.job(3).team("red").cores(3).estimateS(20).build());
    assertEquals(List.of(Floor.task(3, 0)), launches(f.checkIn("vm-2")));
  }

  /** Without it, clips that should start within three minutes rose only when they were over. */
  @Test
  void workThatShouldHaveStartedRises() {
    Policy p =
        Policies.of(
            Map.of("class", Span.seconds(100)),
            Span.seconds(16),
            Span.seconds(20),
            1800,
            new Policy.Team("blue", 0, 0, 0, 0));
    Floor f = new Floor(p, List.of());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).cores(10).estimateS(90).build());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(2).cores(10).estimateS(20).priority(Priority.LOW).build());
    f.work("vm-1", 60);
    f.arrive(Jobs.job(3).cores(10).estimateS(20).build());
    f.work("vm-1", 20);
    f.ends("vm-1", Floor.task(1, 0), Report.ExitCause.DONE);
    assertEquals(List.of(Floor.task(2, 0)), launches(f.checkIn("vm-1")));
  }

  /**
   * The largest of a class begin within four minutes although smaller work keeps coming: one with
   * the most tasks stands behind all that is shorter, one that needs all of a machine finds none
   * free, and one that needs most of its team's limit finds it in use.
   */
  @ParameterizedTest
  @CsvSource({"200, 3, blue", "2, 10, blue", "2, 10, red"})
  void theLargestBeginThoughSmallerWorkKeepsComing(int tasks, int cores, String team) {
    Floor f = oneMachine(1800);
    f.checkIn("vm-2");
    int next = 2;
    double begunS = -1;
    f.arrive(Jobs.job(next++).team(team).tasks(20).cores(3).estimateS(16).build());
    f.arrive(Jobs.job(1).team(team).tasks(tasks).cores(cores).estimateS(30).build());
    for (int s = 0; s < 300 && begunS < 0; s += 2) {
      f.pass(2);
      if (s % 4 == 0) {
        f.arrive(Jobs.job(next++).team(team).tasks(2).cores(3).estimateS(16).build());
      }
      for (String m : List.of("vm-1", "vm-2")) {
        f.checkIn(m);
        for (TaskId task : List.copyOf(f.on.get(m).keySet())) {
          begunS = task.job().equals(new JobId(Jobs.id(1))) ? s : begunS;
          if ((s / 2 + task.index()) % 8 == 0) {
            f.ends(m, task, Report.ExitCause.DONE);
          }
        }
      }
    }
    assertTrue(begunS >= 0 && begunS <= 240, "begins after " + begunS + " s");
  }

  /** Work of low priority whose time runs out queues with work of normal priority. */
  @Test
  void pressedWorkRises() {
    Floor f = oneMachine(1800);
    f.arrive(Jobs.job(1).cores(10).estimateS(60).build());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(2).cores(10).estimateS(20).priority(Priority.LOW).deadlineS(90).build());
    f.work("vm-1", 50);
    f.arrive(Jobs.job(3).cores(10).estimateS(20).build());
    f.ends("vm-1", Floor.task(1, 0), Report.ExitCause.DONE);
    assertEquals(List.of(Floor.task(2, 0)), launches(f.checkIn("vm-1")));
  }
}
