package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/**
 * One leader before a thousand machines and a hundred jobs at once. The work is counted in looks at
 * a machine for a task, never in time, so the verdict is the same on every machine.
 */
class GrownTest {
  private static final MachineType BOX =
      new MachineType("box", new Size(8, 0, 32), 1, 0.4, 0.1, Span.seconds(15), List.of("a", "b"));
  private static final int MACHINES = 1000;
  private static final int JOBS = 100;

  /** A part of one core such as the platform gives: whole rounds are then some way apart. */
  private static Policy policy() {
    Policy p =
        Policies.of(
            Span.seconds(26),
            Span.seconds(15),
            1800,
            new Policy.Team("red", 0, 2000, 0, 0),
            new Policy.Team("blue", 0, 0, 0, 0));
    return Policies.onPartOfACore(p, 0.4);
  }

  private record Due(long at, int machine) {}

  private final Leader leader =
      new Leader(policy(), new Term(3), List.of(), List.of(), true, List.of(BOX), new Time(0), 0);
  private final UniformRandomProvider random = new SplitMix64(11);
  private final List<Map<TaskId, Long>> ends = new ArrayList<>();
  private final Map<TaskId, Integer> where = new HashMap<>();
  private final Map<TaskId, Long> attempts = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final long[] ticks = new long[MACHINES];
  private int reports;
  private double redCores;

  private Report report(int machine, long now) {
    List<Report.TaskReport> list = new ArrayList<>();
    ends.get(machine)
        .forEach(
            (id, end) ->
                list.add(
                    new Report.TaskReport(
                        id,
                        new Attempt(attempts.get(id)),
                        end <= now ? Report.TaskState.EXITED : Report.TaskState.RUNNING,
                        Report.ExitCause.DONE,
                        false)));
    return new Report(
        new MachineId("vm-" + machine),
        "",
        "box",
        machine % 2 == 0 ? "a" : "b",
        true,
        1,
        ++ticks[machine],
        new Term(3),
        null,
        list);
  }

  private static boolean red(TaskId id) {
    return Integer.parseInt(id.job().text().substring(4)) % 5 == 0;
  }

  private void obey(int machine, Order order, long now) {
    TaskId id = order.task();
    if (order instanceof Order.Launch) {
      assertTrue(done.contains(id) || !where.containsKey(id), id + " runs twice");
      where.put(id, machine);
      attempts.put(id, order.attempt().number());
      ends.get(machine).put(id, now + 10_000 + random.nextInt(50_000));
      redCores += red(id) ? 2 : 0;
      assertTrue(redCores <= 2000, "more than the team's limit");
      long on = ends.get(machine).values().stream().filter(end -> end > now).count();
      assertTrue(on <= 4, "more than the machine holds");
    } else {
      ends.get(machine).remove(id);
    }
  }

  @Test
  void workPerReportIsBoundedAndAllGetsDone() {
    int tasks = 0;
    for (int j = 1; j <= JOBS; j++) {
      int n = 20 + random.nextInt(j % 10 == 0 ? 580 : 120);
      tasks += n;
      Priority priority = j % 3 == 0 ? Priority.HIGH : Priority.NORMAL;
      leader.jobSeen(
          Jobs.job(j)
              .team(j % 5 == 0 ? "red" : "blue")
              .tasks(n)
              .cores(2)
              .estimateS(30)
              .priority(priority)
              .build(),
          j,
          false);
    }
    for (Job job : leader.toMark()) {
      leader.recorded(job, new BitSet());
    }
    PriorityQueue<Due> due = new PriorityQueue<>((x, y) -> Long.compare(x.at, y.at));
    for (int m = 0; m < MACHINES; m++) {
      ends.add(new LinkedHashMap<>());
      due.add(new Due(10_000 + m * 5L, m));
    }
    long lastTick = 0;
    long now = 0;
    while (done.size() < tasks && now < 600_000) {
      Due next = due.poll();
      now = next.at;
      for (; lastTick + 200 <= now; lastTick += 200) {
        leader.tick(new Time(lastTick + 200));
        for (Job job : leader.toRecord()) {
          leader.recording(job);
          leader.recorded(job, (BitSet) job.doneTasks().clone());
        }
        Time at = new Time(lastTick + 200);
        leader.toFinish().forEach(j -> leader.finished(j, at));
      }
      due.add(new Due(checkIn(next.machine, now), next.machine));
    }
    assertEquals(tasks, done.size(), "work was left undone after " + now + " ms");
    long each = leader.looks() / reports;
    // It is 117; with a whole round in each answer that changes something it is 1,095.
    assertTrue(each < 250, each + " looks a report, " + reports + " reports");
  }

  /** The machine reports; when it does so next. */
  private long checkIn(int machine, long now) {
    Report r = report(machine, now);
    reports++;
    for (Report.TaskReport t : r.tasks()) {
      if (t.state() == Report.TaskState.EXITED && done.add(t.task())) {
        redCores -= red(t.task()) ? 2 : 0;
      }
    }
    List<Order> orders = leader.onReport(r, true, new Time(now));
    leader.ledgered(leader.toLedger());
    orders.forEach(o -> obey(machine, o, now));
    long soonest = now + (orders.isEmpty() ? 4000 : 500);
    for (long end : ends.get(machine).values()) {
      if (end > now) {
        soonest = Math.min(soonest, Math.max(end, now + 500));
      }
    }
    return soonest;
  }

  /**
   * At 41 s of a day 400 cores idled beside 1,700 waiting tasks: the last round had not seen them.
   */
  @Test
  void machineThatComesUpBetweenTwoRoundsGetsWorkWithItsFirstReports() {
    for (int m = 0; m < 40; m++) {
      ends.add(new LinkedHashMap<>());
      leader.onReport(report(m, 0), true, new Time(1000));
    }
    leader.ledgered(leader.toLedger());
    leader.jobSeen(Jobs.job(1).tasks(600).cores(2).build(), 0, false);
    for (Job job : leader.toMark()) {
      leader.recorded(job, new BitSet());
    }
    leader.tick(new Time(2000));
    ends.add(new LinkedHashMap<>());
    leader.onReport(report(40, 2001), true, new Time(2001));
    leader.ledgered(leader.toLedger());
    assertEquals(4, leader.onReport(report(40, 2002), true, new Time(2002)).size());
  }

  /** Fifty a request, not one request a job: the cloud takes few requests a second. */
  @Test
  void whatAllJobsWantOfAKindIsRentedTogether() {
    for (int j = 1; j <= 30; j++) {
      leader.jobSeen(Jobs.job(j).tasks(12).cores(2).estimateS(60).build(), 0, false);
    }
    leader.tick(new Time(1000));
    List<Rental> rentals = leader.toRent(new Time(1000));
    int[] counts = rentals.stream().mapToInt(Rental::count).toArray();
    assertTrue(counts.length >= 1 && counts.length <= 2, Arrays.toString(counts));
    assertTrue(counts[0] >= 40, Arrays.toString(counts));
    Set<String> names = new HashSet<>();
    rentals.forEach(r -> assertTrue(names.add(r.name()), "a request's name was used twice"));
  }

  /** A machine that keeps many results must not be sent past what a body may hold. */
  @Test
  void machineWithManyResultsGetsNoMoreWork() {
    leader.jobSeen(Jobs.job(1).tasks(900).cores(0.01).estimateS(1).build(), 0, false);
    for (Job job : leader.toMark()) {
      leader.recorded(job, new BitSet());
    }
    ends.add(new LinkedHashMap<>());
    leader.onReport(report(0, 0), true, new Time(500));
    leader.ledgered(leader.toLedger());
    leader.tick(new Time(1000));
    List<Order> orders = leader.onReport(report(0, 0), true, new Time(1000));
    assertTrue(orders.size() > 300 && orders.size() <= 400, "launches: " + orders.size());
    orders.forEach(
        o -> {
          attempts.put(o.task(), o.attempt().number());
          ends.get(0).put(o.task(), 0L);
        });
    // All have ended and none is recorded yet: the results fill its reports.
    assertEquals(0, leader.onReport(report(0, 2000), true, new Time(2000)).size());
    assertEquals(400, leader.job(new JobId(Jobs.id(1))).doneCount());
  }
}
