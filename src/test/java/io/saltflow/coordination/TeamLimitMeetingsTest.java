package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Every team is at its limit, by cores or by GPUs, while the leader changes and jobs are cancelled
 * whose machines can't be asked. What runs on such a machine counts until it is disproved.
 */
class TeamLimitMeetingsTest {
  static final MachineType GPU_BOX =
      new MachineType("box", new Size(8, 2, 32), 1, 0.4, 0.1, Span.seconds(15), List.of("a", "b"));

  static final Policy POLICY =
      Policies.of(
          Span.millis(World.LEASE),
          Authority.keepBound(Span.millis(World.LEASE), Span.millis(World.CANCEL)),
          1800,
          new Policy.Team("red", 0, 16, 0, 0),
          new Policy.Team("blue", 0, 0, 0, 2),
          new Policy.Team("green", 8, 12, 1, 2),
          new Policy.Team("unlimited", 0, 0, 0, 0));

  /** Each has all of its limit in use, and as much again waits. */
  private static final List<String> TEAMS = List.of("red", "blue", "green");

  private static final int JOBS_OF_A_TEAM = 3;

  private static final double ESTIMATE_S = 45;

  /** It holds machines; they are free for others once it is cancelled. */
  private static final int SPARE = 99;

  /** In half seconds from when the first leader is lost, as all moments here. */
  private static final int LAST_CANCEL = 14;

  /** How long after the cancellation, at most, the machines get out of reach. */
  private static final int LAST_STRIKE = 3;

  private static final int SECOND_CHANGE = 5;

  private static final long OUT_OF_REACH_MS = 11_000;

  private static final Term FORMER = new Term(6);

  private static World atTheLimits(long seed) {
    World w = new World(seed, POLICY);
    w.type = GPU_BOX;
    for (int i = 0; i < JOBS_OF_A_TEAM; i++) {
      w.submit(Jobs.job(number("red", i)).team("red").cores(8).estimateS(ESTIMATE_S).build());
      w.submit(Jobs.job(number("blue", i)).team("blue").gpus(1).estimateS(ESTIMATE_S).build());
      w.submit(
          Jobs.job(number("green", i))
              .team("green")
              .cores(6)
              .gpus(1)
              .estimateS(ESTIMATE_S)
              .build());
    }
    w.submit(Jobs.job(SPARE).team("unlimited").tasks(4).cores(8).estimateS(300).build());
    w.run(35);
    w.cancel(new JobId(Jobs.id(SPARE)));
    return w;
  }

  private static int number(String team, int job) {
    return 1 + TEAMS.indexOf(team) * JOBS_OF_A_TEAM + job;
  }

  /** Its tasks that run are cancelled; none of them may be replaced before it is gone. */
  private static void cancelWhatRuns(World w) {
    for (World.Worker worker : w.workers.values()) {
      List.copyOf(worker.tasks.keySet()).forEach(id -> w.cancel(id.job()));
    }
  }

  /**
   * The leader changes twice within half a lease, so that machines tell of the second change late.
   * The jobs are cancelled at each half second of that; their machines are out of reach from each
   * of the next half seconds on, for less than a lease.
   */
  @ParameterizedTest
  @EnumSource(MachineTrouble.class)
  void cancelledTasksCountUntilTheyAreDisproved(MachineTrouble trouble) {
    for (int cancel = 0; cancel <= LAST_CANCEL; cancel++) {
      for (int strike = cancel; strike <= cancel + LAST_STRIKE; strike++) {
        World w = atTheLimits(cancel + 100);
        assertTrue(w.started >= 6, "all are at their limits: " + w.started);
        for (int step = 0; step <= LAST_CANCEL + LAST_STRIKE; step++) {
          if (step == 0 || step == SECOND_CHANGE) {
            w.loseLeader(0);
            w.electAt = w.now + World.STEP;
          }
          if (step == cancel) {
            cancelWhatRuns(w);
          }
          if (step == strike) {
            long until = w.now + OUT_OF_REACH_MS;
            w.workers.values().stream()
                .filter(m -> !m.tasks.isEmpty())
                .forEach(m -> trouble.strike(m, until));
          }
          w.step();
        }
        WorldAssert.assertServed(w, trouble + ", cancel " + cancel + ", strike " + strike);
      }
    }
  }

  /**
   * A job ends between the first answer of the new leader to a machine that runs its task and the
   * report with the new token. The halt that answers that report is lost, and the task runs on.
   *
   * @param cancelled whether its user cancelled it; otherwise a kept result of another attempt ends
   *     it
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aTaskOfAJobThatEndedDuringTheTakeoverCounts(boolean cancelled) {
    Job ended = Floor.job(Jobs.job(1).team("red").cores(8).build(), true);
    Floor f = new Floor(POLICY, List.of(ended), "vm-1", "vm-2");
    TaskId task = Floor.task(1, 0);
    Attempt attempt = Attempt.of(FORMER, 1);
    Report.TaskReport runs =
        new Report.TaskReport(task, attempt, Report.TaskState.RUNNING, null, false);
    f.on.put("vm-1", new LinkedHashMap<>(Map.of(task, runs)));
    f.leader.onReport(f.report("vm-1", FORMER), true, f.time());
    f.checkIn("vm-2");
    f.checkIn("vm-3");
    f.arrive(Jobs.job(2).team("red").cores(8).build());
    f.arrive(Jobs.job(3).team("red").cores(8).build());

    if (cancelled) {
      f.leader.jobGone(ended.id(), f.time());
    } else {
      Report.TaskReport done =
          new Report.TaskReport(
              task, Attempt.of(FORMER, 2), Report.TaskState.EXITED, Report.ExitCause.DONE, false);
      f.on.put("vm-3", new LinkedHashMap<>(Map.of(task, done)));
      f.checkIn("vm-3");
      f.leader.toFinish().forEach(job -> f.leader.finished(job, f.time()));
    }
    List<Order> lost = f.leader.onReport(f.report("vm-1", Floor.TERM), true, f.time());
    assertEquals(List.of(new Order.Halt(task, attempt, new Span(0))), halts(lost));
    assertTrue(f.leader.accountedFor());

    f.pass(1);
    long beside = launches(f.checkIn("vm-2")) + launches(f.checkIn("vm-3"));
    lost = f.leader.onReport(f.report("vm-1", Floor.TERM), true, f.time());
    assertEquals(1, beside + launches(lost), "16 cores in all");
    f.pass(1);
    long after = launches(f.checkIn("vm-1")) + launches(f.checkIn("vm-1"));
    assertEquals(1, after, "once the task is disproved");
  }

  private static List<Order> halts(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Halt).toList();
  }

  private static long launches(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Launch).count();
  }
}
