package io.saltflow.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.HttpMessageSizes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * How many reports and bytes a second one worker sends by PROTOCOL's rules when it holds some 27
 * tasks, as a function of the tasks started on it. Simulated time; answers come at once. Reports
 * are bounded by the half second that PROTOCOL keeps between them, so this is no line and no fit is
 * given. docs/CAPACITY.md is worked out from this table.
 */
class HeartbeatRateTest {
  private static final Term TERM = new Term(41);
  private static final double TASKS = 27;
  private static final double[] STARTS_A_SECOND = {0.1, 0.22, 0.44, 0.89, 1.78};
  private static final double PLAN = 0.89;
  private static final long STEP_MS = 10;
  private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
  private static final long HEARTBEAT_INTERVAL_MS = 3000;
  private static final long MEASURED_MS = 600_000;
  private static final double FETCH_S = 2;
  private static final MachineType TYPE =
      new MachineType(
          "c96", new Resources(960, 0, 960), 1, 1, 1, TimeSpan.seconds(1), List.of("zone-a"));

  /** What was sent in a second, on average. */
  private record Rate(double reports, double up, double down, double tasks) {}

  /** One worker, and a leader that starts tasks at random and clears what has exited. */
  private static final class Simulation {
    private final SplittableRandom random = new SplittableRandom(7);
    private final Map<JobId, JobSpec> jobs = new HashMap<>();
    private final List<WorkerCommand> waiting = new ArrayList<>();
    private final WorkerStateMachine worker =
        new WorkerStateMachine(
            new MachineId("vm-003231"),
            TYPE,
            "zone-a",
            true,
            TimeSpan.seconds(26),
            new ObjectStore(jobs::get),
            new MonotonicTime(0));
    private final double startsASecond;
    private final long holdMs;
    private final int head;
    private long commandedAt;
    private long reports;
    private long up;
    private long down;
    private long listed;

    /**
     * @param holdMs so long the leader keeps between two answers with commands
     */
    Simulation(double startsASecond, long holdMs, int head) {
      this.startsASecond = startsASecond;
      this.holdMs = holdMs;
      this.head = head;
    }

    Rate run() {
      long warm = (long) (3000 * TASKS / startsASecond);
      long lastReport = -MIN_HEARTBEAT_INTERVAL_MS;
      long nextReport = 0;
      double nextStart = 0;
      for (long ms = 0; ms < warm + MEASURED_MS; ms += STEP_MS) {
        if (ms >= warm && ms < warm + STEP_MS) {
          reports = 0;
          up = 0;
          down = 0;
          listed = 0;
        }
        for (;
            nextStart <= ms;
            nextStart -= Math.log(1 - random.nextDouble()) * 1000 / startsASecond) {
          start();
        }
        worker.tick(new MonotonicTime(ms));
        boolean soon = worker.changed() && ms - lastReport >= MIN_HEARTBEAT_INTERVAL_MS;
        if (soon || ms >= nextReport) {
          report(ms);
          lastReport = ms;
          nextReport =
              ms + HEARTBEAT_INTERVAL_MS * 3 / 4 + random.nextLong(HEARTBEAT_INTERVAL_MS / 2);
        }
      }
      double seconds = MEASURED_MS / 1000.0;
      return new Rate(reports / seconds, up / seconds, down / seconds, listed / (double) reports);
    }

    private void start() {
      JobId id = new JobId("req-" + (412_000 + jobs.size()));
      double runS = Math.max(0.1, (TASKS / startsASecond - FETCH_S) * (0.5 + random.nextDouble()));
      jobs.put(id, spec(id, runS));
      waiting.add(new WorkerCommand.Launch(new TaskId(id, 0), new Attempt(1)));
    }

    private void report(long ms) {
      WorkerHeartbeat report = worker.nextHeartbeat();
      byte[] body = MessagePackCodec.encode(WorkerCodec.encodeHeartbeat(report));
      List<WorkerCommand> orders = ms - commandedAt >= holdMs ? commands(report) : List.of();
      if (!orders.isEmpty()) {
        commandedAt = ms;
      }
      byte[] answer = MessagePackCodec.encode(WorkerCodec.encodeCommands(TERM, orders));
      worker.onAnswer(
          report.agentEpoch(), TERM, orders, new MonotonicTime(ms), new MonotonicTime(ms));
      reports++;
      up += head + body.length;
      down += HttpMessageSizes.responseBytes(200, answer);
      listed += report.tasks().size();
    }

    private List<WorkerCommand> commands(WorkerHeartbeat report) {
      List<WorkerCommand> orders = new ArrayList<>(waiting);
      waiting.clear();
      for (WorkerHeartbeat.TaskStatus task : report.tasks()) {
        if (task.state() == WorkerHeartbeat.TaskState.EXITED) {
          orders.add(new WorkerCommand.Clear(task.task(), task.attempt()));
        }
      }
      return orders;
    }
  }

  /** Each task has an image of its own, which is fetched first. */
  private static JobSpec spec(JobId id, double runS) {
    return new JobSpec(
        id,
        "page-render",
        "reader-ops",
        false,
        Priority.NORMAL,
        1,
        new Resources(2, 0, 4),
        null,
        null,
        false,
        false,
        true,
        "img-" + id,
        FETCH_S,
        TimeSpan.seconds(runS),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        null,
        List.of());
  }

  /** Bytes of a report's head where its body takes four digits. */
  private static int head() throws IOException {
    byte[] body = new byte[1000];
    return HttpMessageSizes.requestBytes("POST", Wire.PATH_HEARTBEAT, body) - body.length;
  }

  private static Rate play(double startsASecond, long holdMs) throws IOException {
    Rate rate = new Simulation(startsASecond, holdMs, head()).run();
    System.out.printf(
        Locale.ROOT,
        "| %.2f | %d | %.1f | %.2f | %.0f | %.0f | %.0f |%n",
        startsASecond,
        holdMs,
        rate.tasks,
        rate.reports,
        rate.up,
        rate.down,
        rate.up + rate.down);
    return rate;
  }

  @Test
  void heartbeatsComeCloseToTheirBoundAtThePlannedStartRate() throws IOException {
    double last = 0;
    for (double starts : STARTS_A_SECOND) {
      Rate rate = play(starts, 0);
      assertTrue(rate.reports > last && rate.reports <= 2);
      last = rate.reports;
      if (starts == PLAN) {
        assertEquals(1.76, rate.reports, 0.03);
        assertEquals(2396, rate.up, 30);
      }
    }
  }

  @Test
  void commandsThatAreHeldBackSaveHeartbeats() throws IOException {
    Rate atOnce = play(PLAN, 0);
    Rate oneSecond = play(PLAN, 1000);
    Rate twoSeconds = play(PLAN, 2000);
    Rate fourSeconds = play(PLAN, 4000);
    assertEquals(2626, atOnce.up + atOnce.down, 30);
    assertEquals(2469, oneSecond.up + oneSecond.down, 30);
    assertEquals(2263, twoSeconds.up + twoSeconds.down, 30);
    assertEquals(1771, fourSeconds.up + fourSeconds.down, 30);
  }
}
