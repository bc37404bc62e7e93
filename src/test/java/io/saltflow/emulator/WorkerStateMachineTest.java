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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests commands, terms, agent epochs and leases of the emulated worker. */
class WorkerStateMachineTest {
  private static final MachineType TYPE =
      new MachineType("box", new Resources(4, 0, 8), 1, 1, 1, TimeSpan.seconds(1), List.of("z"));
  private static final Term TERM = new Term(3);

  private final Map<JobId, JobSpec> jobs = new HashMap<>();
  private final ObjectStore objectStore = new ObjectStore(jobs::get);
  private MonotonicTime now = new MonotonicTime(0);
  private WorkerStateMachine worker;

  @BeforeEach
  void createWorker() {
    worker =
        new WorkerStateMachine(
            new MachineId("vm-1"), TYPE, "z", false, TimeSpan.seconds(10), objectStore, now);
  }

  private TaskId task(int job, String image, double checkpointS) {
    JobId id = new JobId("req-" + job);
    jobs.put(
        id,
        new JobSpec(
            id,
            "c",
            "t",
            false,
            Priority.NORMAL,
            1,
            new Resources(3, 0, 1),
            null,
            null,
            false,
            false,
            true,
            image,
            2.0,
            TimeSpan.seconds(5),
            TimeSpan.seconds(checkpointS),
            TimeSpan.seconds(1),
            null,
            List.of()));
    return new TaskId(id, 0);
  }

  private void execute(WorkerCommand... commands) {
    worker.onAnswer(worker.nextHeartbeat().agentEpoch(), TERM, List.of(commands), now, now);
  }

  private WorkerCommand.Launch launch(TaskId task, long attempt) {
    return new WorkerCommand.Launch(task, new Attempt(attempt));
  }

  private String statusAfter(double seconds) {
    now = now.plus(TimeSpan.seconds(seconds));
    worker.tick(now);
    return statusText();
  }

  private String statusText() {
    StringBuilder out = new StringBuilder();
    WorkerHeartbeat heartbeat = worker.nextHeartbeat();
    for (WorkerHeartbeat.TaskStatus task : heartbeat.tasks()) {
      out.append(task.task()).append(' ').append(task.attempt()).append(' ').append(task.state());
      if (task.state() == WorkerHeartbeat.TaskState.EXITED) {
        out.append(' ').append(task.cause());
      }
      out.append(task.checkpointSaved() ? " saved; " : "; ");
    }
    return out.toString().trim();
  }

  @Test
  void taskFetchesImageRunsAndKeepsResult() {
    TaskId task = task(1, "i", 0);
    execute(launch(task, 1), launch(task, 1));
    assertEquals("req-1/0 1 FETCHING;", statusText());
    assertEquals("req-1/0 1 RUNNING;", statusAfter(2));
    assertEquals("req-1/0 1 EXITED DONE;", statusAfter(5));
    execute(launch(task, 1));
    assertEquals("req-1/0 1 EXITED DONE;", statusText(), "a repeated command has no effect");
    execute(new WorkerCommand.Clear(task, new Attempt(1)), launch(task, 2));
    assertEquals("req-1/0 2 EXITED DONE;", statusAfter(0), "the result is kept");
  }

  @Test
  void launchIsRejectedWithoutCapacityWhileTaskRunsOrForUnknownTask() {
    TaskId task = task(1, "i", 0);
    TaskId other = task(2, "i", 0);
    execute(
        launch(task, 1),
        launch(other, 2),
        launch(task, 3),
        launch(new TaskId(new JobId("req-9"), 0), 4));
    assertEquals(
        "req-1/0 1 FETCHING; req-2/0 2 EXITED NO_ROOM; req-1/0 3 EXITED BUSY;"
            + " req-9/0 4 EXITED UNKNOWN_TASK;",
        statusText());
  }

  @Test
  void stoppedTaskSavesCheckpointAndResumesFromIt() {
    TaskId task = task(1, "i", 2);
    execute(launch(task, 1));
    statusAfter(5);
    execute(new WorkerCommand.Stop(task, new Attempt(1), TimeSpan.seconds(1)));
    assertEquals("req-1/0 1 SAVING;", statusText());
    assertEquals("req-1/0 1 EXITED STOPPED saved;", statusAfter(1));
    execute(new WorkerCommand.Clear(task, new Attempt(1)), launch(task, 2));
    assertEquals("req-1/0 2 RUNNING;", statusAfter(1.9), "the image is already present");
    assertEquals("req-1/0 2 EXITED DONE;", statusAfter(0.2));
  }

  @Test
  void imageDeterminesHowTaskEnds() {
    execute(launch(task(1, WorkerStateMachine.ERROR_IMAGE, 0), 1));
    assertEquals("req-1/0 1 EXITED ERROR;", statusAfter(7));
    createWorker();
    TaskId hang = task(2, WorkerStateMachine.HANG_IMAGE, 0);
    execute(launch(hang, 1));
    for (int i = 0; i < 20; i++) {
      execute();
      assertTrue(statusAfter(5).matches("req-2/0 1 (FETCHING|RUNNING);"));
    }
    execute(new WorkerCommand.Stop(hang, new Attempt(1), TimeSpan.seconds(1)));
    assertEquals("req-2/0 1 EXITED STOPPED;", statusText());
  }

  /** Guards against executing commands for an earlier agent epoch or from an earlier leader. */
  @Test
  void leaseExpiryStartsNewAgentEpoch() {
    TaskId task = task(1, WorkerStateMachine.HANG_IMAGE, 0);
    execute(launch(task, 1));
    long previousEpoch = worker.nextHeartbeat().agentEpoch();
    statusAfter(10);
    assertEquals(previousEpoch, worker.nextHeartbeat().agentEpoch());
    assertEquals("", statusAfter(0.1));
    assertEquals(previousEpoch + 1, worker.nextHeartbeat().agentEpoch());
    worker.onAnswer(previousEpoch, TERM, List.of(launch(task, 2)), now, now);
    assertEquals("", statusText());
    worker.onAnswer(previousEpoch + 1, new Term(2), List.of(launch(task, 2)), now, now);
    assertEquals("", statusText());
    execute(launch(task, 2));
    assertEquals("req-1/0 2 RUNNING;", statusAfter(1));
  }
}
