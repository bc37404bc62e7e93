package io.saltflow.capacity;

import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.HttpMessageSizes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Tests the sizes of messages between controllers and workers and among controllers. The figures in
 * docs/CAPACITY.md are based on these values and must be updated with them.
 */
class MessageSizesTest {
  private static final int[] TASKS = {0, 9, 27, 81, 243};
  private static final int[] COMMANDS = {0, 1, 3, 9, 27};
  private static final int[] JOBS = {0, 500, 1000, 2000, 4000};
  private static final Term TERM = new Term(41);

  private static TaskId task(int number) {
    return TaskId.parse("req-" + (412_000 + number) + "/" + (100 + number));
  }

  private static WorkerHeartbeat workerHeartbeat(int tasks, WorkerHeartbeat.TaskState state) {
    List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      WorkerHeartbeat.ExitCause cause =
          state == WorkerHeartbeat.TaskState.EXITED
              ? WorkerHeartbeat.ExitCause.DONE
              : WorkerHeartbeat.ExitCause.OTHER;
      statuses.add(new WorkerHeartbeat.TaskStatus(task(i), new Attempt(1), state, cause, false));
    }
    MachineId machine = new MachineId("vm-003231");
    return new WorkerHeartbeat(
        machine, "10.1.12.232:9000", "c96", "zone-a", true, 1, 70_000, TERM, null, statuses);
  }

  private static byte[] heartbeatBody(int tasks, WorkerHeartbeat.TaskState state) {
    return MessagePackCodec.encode(WorkerCodec.encodeHeartbeat(workerHeartbeat(tasks, state)));
  }

  @Test
  void heartbeatSizeIsLinearInTasks() throws IOException {
    LinearFit running = new LinearFit("heartbeat, running tasks, with HTTP header");
    LinearFit exited = new LinearFit("heartbeat, exited tasks, with HTTP header");
    LinearFit json = new LinearFit("heartbeat, running tasks, as JSON without HTTP header");
    for (int n : TASKS) {
      byte[] body = heartbeatBody(n, WorkerHeartbeat.TaskState.RUNNING);
      running.add(n, HttpMessageSizes.requestBytes("POST", Wire.PATH_HEARTBEAT, body));
      byte[] exitedBody = heartbeatBody(n, WorkerHeartbeat.TaskState.EXITED);
      exited.add(n, HttpMessageSizes.requestBytes("POST", Wire.PATH_HEARTBEAT, exitedBody));
      WorkerHeartbeat heartbeat = workerHeartbeat(n, WorkerHeartbeat.TaskState.RUNNING);
      json.add(n, JsonSize.of(WorkerCodec.encodeHeartbeat(heartbeat)));
    }
    running.check(41, 0.1, 209, 1, 2);
    exited.check(59, 0.1, 209, 1, 2);
    json.check(53, 0.1, 150, 1, 1);
  }

  private static LinearFit fitAnswers(String name, Function<TaskId, WorkerCommand> newCommand) {
    LinearFit fit = new LinearFit(name);
    for (int n : COMMANDS) {
      List<WorkerCommand> commands = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        commands.add(newCommand.apply(task(i)));
      }
      byte[] body = MessagePackCodec.encode(WorkerCodec.encodeCommands(TERM, commands));
      fit.add(n, HttpMessageSizes.responseBytes(200, body));
    }
    return fit;
  }

  @Test
  void answerSizeIsLinearInCommands() {
    Attempt attempt = new Attempt(1);
    fitAnswers(
            "answer, launch commands, with HTTP header", t -> new WorkerCommand.Launch(t, attempt))
        .check(39.1, 0.1, 90, 1, 1);
    fitAnswers("answer, clear commands, with HTTP header", t -> new WorkerCommand.Clear(t, attempt))
        .check(38.1, 0.1, 90, 1, 1);
    fitAnswers(
            "answer, stop commands, with HTTP header",
            t -> new WorkerCommand.Stop(t, attempt, TimeSpan.seconds(10)))
        .check(56.1, 0.1, 90, 1, 1);
  }

  @Test
  void peerHeartbeatSizeIsLinearInLiveJobs() {
    LinearFit fit = new LinearFit("peer heartbeat of a leader");
    for (int n : JOBS) {
      List<PeerHeartbeat.JobCounts> counts = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        counts.add(new PeerHeartbeat.JobCounts(new JobId("req-" + (412_000 + i)), 100, 100));
      }
      PeerHeartbeat heartbeat =
          new PeerHeartbeat("saltbox-0", TERM, true, 0, counts, true, List.of(), 1, true);
      fit.add(n, heartbeat.encode().length);
    }
    fit.check(15, 0.01, 19, 1, 2);
  }
}
