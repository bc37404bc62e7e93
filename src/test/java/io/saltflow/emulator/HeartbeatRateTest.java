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
 * Guards the heartbeat and byte rates of one worker with about 27 tasks, for several task start
 * rates, in simulated time and with immediate answers. {@code docs/CAPACITY.md} is based on the
 * printed table.
 */
class HeartbeatRateTest {
  private static final Term TERM = new Term(41);
  private static final double TASKS_PER_WORKER = 27;
  private static final double[] STARTS_PER_SECOND = {0.1, 0.22, 0.44, 0.89, 1.78};
  private static final double PLANNED_STARTS_PER_SECOND = 0.89;
  private static final long STEP_MS = 10;
  private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
  private static final long HEARTBEAT_INTERVAL_MS = 3000;
  private static final long MEASURED_MS = 600_000;
  private static final double FETCH_S = 2;
  private static final MachineType TYPE =
      new MachineType(
          "c96", new Resources(960, 0, 960), 1, 1, 1, TimeSpan.seconds(1), List.of("zone-a"));

  /** Averages per second, and the average number of tasks per heartbeat. */
  private record Rate(double heartbeats, double bytesUp, double bytesDown, double tasks) {}

  /** Simulates one worker and a leader that starts tasks at random and clears exited ones. */
  private static final class Simulation {
    private final SplittableRandom random = new SplittableRandom(7);
    private final Map<JobId, JobSpec> jobs = new HashMap<>();
    private final List<WorkerCommand> pendingLaunches = new ArrayList<>();
    private final WorkerStateMachine worker =
        new WorkerStateMachine(
            new MachineId("vm-003231"),
            TYPE,
            "zone-a",
            true,
            TimeSpan.seconds(26),
            new ObjectStore(jobs::get),
            new MonotonicTime(0));
    private final double startsPerSecond;
    private final long holdMs;
    private final int headBytes;
    private long commandedAt;
    private long heartbeats;
    private long bytesUp;
    private long bytesDown;
    private long taskStatuses;

    /**
     * @param holdMs the shortest time between two answers with commands, in milliseconds
     * @param headBytes the size of a heartbeat's request head
     */
    Simulation(double startsPerSecond, long holdMs, int headBytes) {
      this.startsPerSecond = startsPerSecond;
      this.holdMs = holdMs;
      this.headBytes = headBytes;
    }

    Rate run() {
      long warmUpMs = (long) (3000 * TASKS_PER_WORKER / startsPerSecond);
      long lastHeartbeatMs = -MIN_HEARTBEAT_INTERVAL_MS;
      long nextHeartbeatMs = 0;
      double nextStartMs = 0;
      for (long ms = 0; ms < warmUpMs + MEASURED_MS; ms += STEP_MS) {
        if (ms >= warmUpMs && ms < warmUpMs + STEP_MS) {
          heartbeats = 0;
          bytesUp = 0;
          bytesDown = 0;
          taskStatuses = 0;
        }
        for (;
            nextStartMs <= ms;
            nextStartMs -= Math.log(1 - random.nextDouble()) * 1000 / startsPerSecond) {
          addLaunch();
        }
        worker.tick(new MonotonicTime(ms));
        boolean statusChanged =
            worker.changed() && ms - lastHeartbeatMs >= MIN_HEARTBEAT_INTERVAL_MS;
        if (statusChanged || ms >= nextHeartbeatMs) {
          sendHeartbeat(ms);
          lastHeartbeatMs = ms;
          nextHeartbeatMs =
              ms + HEARTBEAT_INTERVAL_MS * 3 / 4 + random.nextLong(HEARTBEAT_INTERVAL_MS / 2);
        }
      }
      double seconds = MEASURED_MS / 1000.0;
      return new Rate(
          heartbeats / seconds,
          bytesUp / seconds,
          bytesDown / seconds,
          taskStatuses / (double) heartbeats);
    }

    private void addLaunch() {
      JobId id = new JobId("req-" + (412_000 + jobs.size()));
      double runS =
          Math.max(
              0.1, (TASKS_PER_WORKER / startsPerSecond - FETCH_S) * (0.5 + random.nextDouble()));
      jobs.put(id, spec(id, runS));
      pendingLaunches.add(new WorkerCommand.Launch(new TaskId(id, 0), new Attempt(1)));
    }

    private void sendHeartbeat(long ms) {
      WorkerHeartbeat heartbeat = worker.nextHeartbeat();
      byte[] body = MessagePackCodec.encode(WorkerCodec.encodeHeartbeat(heartbeat));
      List<WorkerCommand> commands = ms - commandedAt >= holdMs ? commands(heartbeat) : List.of();
      if (!commands.isEmpty()) {
        commandedAt = ms;
      }
      byte[] answer = MessagePackCodec.encode(WorkerCodec.encodeCommands(TERM, commands));
      worker.onAnswer(
          heartbeat.agentEpoch(), TERM, commands, new MonotonicTime(ms), new MonotonicTime(ms));
      heartbeats++;
      bytesUp += headBytes + body.length;
      bytesDown += HttpMessageSizes.responseBytes(200, answer);
      taskStatuses += heartbeat.tasks().size();
    }

    private List<WorkerCommand> commands(WorkerHeartbeat heartbeat) {
      List<WorkerCommand> commands = new ArrayList<>(pendingLaunches);
      pendingLaunches.clear();
      for (WorkerHeartbeat.TaskStatus task : heartbeat.tasks()) {
        if (task.state() == WorkerHeartbeat.TaskState.EXITED) {
          commands.add(new WorkerCommand.Clear(task.task(), task.attempt()));
        }
      }
      return commands;
    }
  }

  /** Returns a job with a unique image, which must be fetched before the task runs. */
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

  /** Returns the size of a heartbeat's request head for a body length of four digits, in bytes. */
  private static int headBytes() throws IOException {
    byte[] body = new byte[1000];
    return HttpMessageSizes.requestBytes("POST", Wire.PATH_HEARTBEAT, body) - body.length;
  }

  private static Rate simulate(double startsPerSecond, long holdMs) throws IOException {
    Rate rate = new Simulation(startsPerSecond, holdMs, headBytes()).run();
    System.out.printf(
        Locale.ROOT,
        "| %.2f | %d | %.1f | %.2f | %.0f | %.0f | %.0f |%n",
        startsPerSecond,
        holdMs,
        rate.tasks,
        rate.heartbeats,
        rate.bytesUp,
        rate.bytesDown,
        rate.bytesUp + rate.bytesDown);
    return rate;
  }

  @Test
  void heartbeatRateApproachesItsLimitAtPlannedStartRate() throws IOException {
    double previous = 0;
    for (double starts : STARTS_PER_SECOND) {
      Rate rate = simulate(starts, 0);
      assertTrue(rate.heartbeats > previous && rate.heartbeats <= 2);
      previous = rate.heartbeats;
      if (starts == PLANNED_STARTS_PER_SECOND) {
        assertEquals(1.76, rate.heartbeats, 0.03);
        assertEquals(2396, rate.bytesUp, 30);
      }
    }
  }

  @Test
  void delayedCommandsReduceHeartbeatTraffic() throws IOException {
    Rate immediate = simulate(PLANNED_STARTS_PER_SECOND, 0);
    Rate oneSecond = simulate(PLANNED_STARTS_PER_SECOND, 1000);
    Rate twoSeconds = simulate(PLANNED_STARTS_PER_SECOND, 2000);
    Rate fourSeconds = simulate(PLANNED_STARTS_PER_SECOND, 4000);
    assertEquals(2626, immediate.bytesUp + immediate.bytesDown, 30);
    assertEquals(2469, oneSecond.bytesUp + oneSecond.bytesDown, 30);
    assertEquals(2263, twoSeconds.bytesUp + twoSeconds.bytesDown, 30);
    assertEquals(1771, fourSeconds.bytesUp + fourSeconds.bytesDown, 30);
  }
}
