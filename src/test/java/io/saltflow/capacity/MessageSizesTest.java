package io.saltflow.capacity;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.Beat;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.HttpFrames;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Bytes of the messages between controllers and workers and among controllers, as functions of what
 * they list. docs/CAPACITY.md is worked out from these lines: a change here changes that page.
 */
class MessageSizesTest {
  private static final int[] TASKS = {0, 9, 27, 81, 243};
  private static final int[] COMMANDS = {0, 1, 3, 9, 27};
  private static final int[] JOBS = {0, 500, 1000, 2000, 4000};
  private static final Term TERM = new Term(41);

  private static TaskId task(int number) {
    return TaskId.parse("req-" + (412_000 + number) + "/" + (100 + number));
  }

  private static Report report(int tasks, Report.TaskState state) {
    List<Report.TaskReport> list = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      Report.ExitCause cause =
          state == Report.TaskState.EXITED ? Report.ExitCause.DONE : Report.ExitCause.OTHER;
      list.add(new Report.TaskReport(task(i), new Attempt(1), state, cause, false));
    }
    MachineId machine = new MachineId("vm-003231");
    return new Report(
        machine, "10.1.12.232:9000", "c96", "zone-a", true, 1, 70_000, TERM, null, list);
  }

  private static byte[] reportBody(int tasks, Report.TaskState state) {
    return MsgPack.encode(WorkerCodec.encodeReport(report(tasks, state)));
  }

  @Test
  void reportsGrowWithTheTasksListed() throws IOException {
    LinearFit running = new LinearFit("report, running tasks, with head");
    LinearFit exited = new LinearFit("report, exited tasks, with head");
    LinearFit json = new LinearFit("report, running tasks, as JSON without head");
    for (int n : TASKS) {
      byte[] body = reportBody(n, Report.TaskState.RUNNING);
      running.add(n, HttpFrames.requestBytes("POST", Wire.PATH_CHECKIN, body));
      byte[] ended = reportBody(n, Report.TaskState.EXITED);
      exited.add(n, HttpFrames.requestBytes("POST", Wire.PATH_CHECKIN, ended));
      Report report = report(n, Report.TaskState.RUNNING);
      json.add(n, JsonSize.of(WorkerCodec.encodeReport(report)));
    }
    running.check(41, 0.1, 209, 1, 2);
    exited.check(59, 0.1, 209, 1, 2);
    json.check(53, 0.1, 150, 1, 1);
  }

  private static LinearFit answers(String name, Function<TaskId, Order> order) {
    LinearFit fit = new LinearFit(name);
    for (int n : COMMANDS) {
      List<Order> orders = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        orders.add(order.apply(task(i)));
      }
      byte[] body = MsgPack.encode(WorkerCodec.encodeOrders(TERM, orders));
      fit.add(n, HttpFrames.answerBytes(200, body));
    }
    return fit;
  }

  @Test
  void answersGrowWithTheCommands() {
    Attempt first = new Attempt(1);
    answers("answer, launches, with head", t -> new Order.Launch(t, first))
        .check(39.1, 0.1, 90, 1, 1);
    answers("answer, clears, with head", t -> new Order.Clear(t, first)).check(38.1, 0.1, 90, 1, 1);
    answers("answer, halts, with head", t -> new Order.Halt(t, first, Span.seconds(10)))
        .check(56.1, 0.1, 90, 1, 1);
  }

  @Test
  void beatsGrowWithTheLiveJobs() {
    LinearFit fit = new LinearFit("beat of a leader");
    for (int n : JOBS) {
      List<Beat.Counts> counts = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        counts.add(new Beat.Counts(new JobId("req-" + (412_000 + i)), 100, 100));
      }
      Beat beat = new Beat("saltbox-0", TERM, true, 0, counts, true, List.of(), 1, true);
      fit.add(n, beat.encode().length);
    }
    fit.check(15, 0.01, 19, 1, 2);
  }
}
