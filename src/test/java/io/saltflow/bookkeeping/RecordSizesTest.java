package io.saltflow.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.saltflow.capacity.LinearFit;
import io.saltflow.coordination.Leader;
import io.saltflow.coordination.Policy;
import io.saltflow.lanes.Lane;
import io.saltflow.lanes.Place;
import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import io.saltflow.shares.Rules;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Bytes, requests and changes that the records cost the state service, as functions of machines,
 * jobs and tasks. docs/CAPACITY.md is worked out from these lines: a change here changes that page.
 */
class RecordSizesTest {
  private static final int[] MACHINES = {125, 250, 500, 1000, 2000};
  private static final int[] JOBS = {500, 1000, 2000, 4000};
  private static final int[] TASKS = {27, 81, 243, 729, 2187};
  private static final int[] JOBS_A_SECOND = {8, 16, 32, 64};
  private static final int[] FEW_JOBS_A_SECOND = {1, 2, 4};
  private static final int[] BUNDLED = {2, 4, 8, 16, 32};
  private static final int[] BUNDLES = {2, 4, 8, 16};
  private static final int[] ON_A_PAGE = {100, 200, 400, 800};
  private static final int SETTLED_AFTER = 50;
  private static final int MOST_BUNDLED = 32;
  private static final long WALL_MS = 1_796_189_000_000L;
  private static final Stamp STAMP = new Stamp(9);
  private static final double CHANGES_PER_S = 1000;
  private static final int SECONDS = 20;
  private static final int TICKS_A_SECOND = 5;
  private static final int TICKS_A_RECORD = 10;
  private static final Span TICK = Span.millis(200);
  private static final MachineType TYPE =
      new MachineType("c96", new Size(96, 0, 384), 1, 1, 0.4, Span.seconds(40), List.of("zone-a"));

  private static JobId id(int number) {
    return new JobId("req-" + (412_000 + number));
  }

  private static JobSpec spec(int number, int tasks) {
    Body body =
        Body.of()
            .with("id", id(number).text())
            .with("lane", "page-render")
            .with("crew", "reader-ops")
            .with("shape", "array")
            .with("urgency", "high")
            .with("shards", (long) tasks)
            .with("cores", 2.0)
            .with("gpus", 0.0)
            .with("ramGb", 4.0)
            .with("bundle", "img-07")
            .with("sizeGb", 6.2)
            .with("together", false)
            .with("apart", false)
            .with("loaners", true)
            .with("expectS", 240.0)
            .with("snapshotS", 30.0)
            .with("flushS", 4.0)
            .with("dueS", 900.0);
    try {
      return JobCodec.decode(body);
    } catch (BadMessage e) {
      throw new IllegalStateException(e);
    }
  }

  private static Policy policy() {
    return new Policy(
        1,
        Span.seconds(3),
        Span.seconds(26),
        Span.seconds(10),
        Map.of("reader-ops", new Policy.Team("reader-ops", 0, 0, 0, 0)),
        Map.of(),
        Map.of(),
        Span.seconds(5),
        0.2,
        Span.seconds(100),
        Priority.HIGH,
        Span.seconds(6),
        Span.seconds(30),
        1,
        new Rules(0.5, Span.seconds(120), 0.25),
        Span.seconds(240),
        1.8,
        0.25,
        Span.seconds(45),
        Span.seconds(90),
        1,
        Span.seconds(60),
        Span.seconds(10),
        3,
        2,
        List.of());
  }

  private static Leader leader(Time now) {
    return new Leader(policy(), new Term(1), List.of(), List.of(), true, List.of(TYPE), now, 0);
  }

  /** A machine whose tasks are done by the time of its next report. */
  private static final class Worker {
    private final MachineId id;
    private final Map<TaskId, Attempt> exited = new LinkedHashMap<>();
    private long sequence;

    Worker(int number) {
      id = new MachineId("vm-" + (100_000 + number));
    }

    int report(Leader leader, Time now) {
      List<Report.TaskReport> tasks = new ArrayList<>();
      exited.forEach(
          (task, attempt) ->
              tasks.add(
                  new Report.TaskReport(
                      task, attempt, Report.TaskState.EXITED, Report.ExitCause.DONE, false)));
      Report report =
          new Report(
              id, "10.1.0.1:1", "c96", "zone-a", false, 1, ++sequence, new Term(1), null, tasks);
      List<Order> orders = leader.onReport(report, true, now);
      int launches = 0;
      for (Order order : orders == null ? List.<Order>of() : orders) {
        if (order instanceof Order.Launch) {
          exited.put(order.task(), order.attempt());
          launches++;
        } else if (order instanceof Order.Clear) {
          exited.remove(order.task());
        }
      }
      return launches;
    }
  }

  private static void admit(CountedState state, Leader leader, JobSpec spec) {
    state.jobs.admit(
        spec,
        WALL_MS,
        outcome -> {
          assertEquals(new JobStore.Outcome.Created(spec.id()), outcome);
          if (leader != null) {
            leader.jobSeen(spec, WALL_MS, false, Lane.of(spec.priority()), new Place(1, 0));
          }
        });
  }

  @Test
  void theLedgerGrowsWithTheMachines() throws IOException, BadMessage {
    LinearFit fit = new LinearFit("ledger, bytes by machines");
    for (int n : MACHINES) {
      try (CountedState state = new CountedState(CHANGES_PER_S)) {
        Leader leader = leader(state.loop.now());
        state.books.serve(leader);
        for (int i = 0; i < n; i++) {
          new Worker(i).report(leader, state.loop.now());
        }
        for (int i = 0; i < TICKS_A_SECOND; i++) {
          state.books.ledger();
          state.pass(TICK);
        }
        fit.add(n, (double) state.valueBytes(Keys.FLEET));
      }
    }
    fit.check(35, 0.01, 1, 1, 1);
  }

  @Test
  void recordsOfLiveJobsGrowWithTheJobs() throws IOException, BadMessage {
    LinearFit live = new LinearFit("live records, bytes by jobs");
    LinearFit progress = new LinearFit("progress of begun jobs, bytes by jobs");
    LinearFit reads = new LinearFit("reads of a takeover by jobs");
    for (int n : JOBS) {
      try (CountedState state = new CountedState(CHANGES_PER_S)) {
        Leader leader = leader(state.loop.now());
        state.books.serve(leader);
        for (int i = 0; i < n; i++) {
          admit(state, leader, spec(i, 100));
          if (i % SETTLED_AFTER == 0) {
            state.settle();
          }
        }
        state.settle();
        live.add(n, (double) state.valueBytes(Keys.LIVE));
        for (int i = 0; i < TICKS_A_SECOND; i++) {
          state.books.mark();
          state.pass(TICK);
        }
        progress.add(n, (double) state.valueBytes(Keys.PROGRESS));
        reads.add(n, (double) takeoverReads(state));
      }
    }
    live.check(329, 0.1, 0, 1, 1);
    progress.check(18, 0.1, 0, 1, 1);
    reads.check(0.002, 0.0001, 3, 0.1, 0.1);
  }

  /** Requests by which a successor reads the ledger, progress, plans and live jobs. */
  private static long takeoverReads(CountedState state) throws IOException {
    long before = state.requests();
    state.books.inherit(found -> assertNotNull(found));
    state.jobs.listLive(found -> assertNotNull(found));
    state.settle();
    return state.requests() - before;
  }

  @Test
  void endsGrowWithTheJobsAndProgressWithTheTasks() {
    LinearFit over = new LinearFit("records of ended jobs, bytes by jobs");
    for (int n : JOBS) {
      Body all = Body.of();
      for (int i = 0; i < n; i++) {
        JobStore.Known end = new JobStore.Known(id(i), JobStore.Phase.DONE, 100);
        all.with(id(i).text(), JobStore.ending(end).with("endedAt", WALL_MS));
      }
      over.add(n, all.fields().values().stream().mapToInt(JsonSize::of).sum());
    }
    over.check(48, 0.1, 0, 1, 1);
    LinearFit progress = new LinearFit("progress of one job, every second task done, by tasks");
    for (int n : TASKS) {
      BitSet done = new BitSet();
      for (int i = 1; i < n; i += 2) {
        done.set(i);
      }
      progress.add(n, DoneTasks.encode(done, DoneTasks.longest(n)).length());
    }
    progress.check(0.167, 0.001, 2, 0.5, 1);
  }

  @Test
  void requestsAndChangesGrowWithTheJobsASecond() throws IOException {
    LinearFit requests = new LinearFit("requests a second by jobs a second, one task each");
    LinearFit changes = new LinearFit("changes a second by jobs a second, one task each");
    LinearFit bytes = new LinearFit("bytes a second to the state service by jobs a second");
    for (int rate : JOBS_A_SECOND) {
      try (CountedState state = new CountedState(CHANGES_PER_S)) {
        Leader leader = leader(state.loop.now());
        state.books.serve(leader);
        int launches = run(state, leader, rate);
        requests.add(rate, state.requests() / (double) SECONDS);
        changes.add(rate, state.changes() / (double) SECONDS);
        bytes.add(rate, state.bytes() / (double) SECONDS);
        assertEquals(rate * SECONDS, launches);
      }
    }
    requests.check(1, 0.02, 10, 0.5, 0.5);
    changes.check(3, 0.02, 5, 0.5, 0.5);
    bytes.check(613, 10, 623, 60, 50);
  }

  /** Below five jobs a second each has a write of its page for itself, four changes in all. */
  @Test
  void atFewJobsASecondEachTakesFourChanges() throws IOException {
    for (int rate : FEW_JOBS_A_SECOND) {
      try (CountedState state = new CountedState(CHANGES_PER_S)) {
        Leader leader = leader(state.loop.now());
        state.books.serve(leader);
        run(state, leader, rate);
        assertEquals(4.0 * rate, state.changes() / (double) SECONDS, 0.5);
      }
    }
  }

  /** Jobs arrive evenly and are run at once by two machines; all are ended. */
  private static int run(CountedState state, Leader leader, int rate) throws IOException {
    List<Worker> workers = List.of(new Worker(1), new Worker(2));
    int launches = 0;
    int admitted = 0;
    for (int tick = 0; tick < (SECONDS + 3) * TICKS_A_SECOND; tick++) {
      int due = Math.min(rate * SECONDS, rate * (tick + 1) / TICKS_A_SECOND);
      for (; admitted < due; admitted++) {
        admit(state, leader, spec(admitted, 1));
      }
      state.settle();
      Time now = state.loop.now();
      leader.tick(now);
      state.books.finish();
      state.books.mark();
      state.books.ledger();
      if (tick % TICKS_A_RECORD == 0) {
        state.books.record();
      }
      for (Worker worker : workers) {
        launches += worker.report(leader, now);
      }
      state.pass(TICK);
    }
    return launches;
  }

  @Test
  void bundlesGrowWithTheirJobsAndAreTakenApartInFewRequests() throws BadMessage {
    LinearFit bytes = new LinearFit("bundle, bytes by jobs");
    for (int n : BUNDLED) {
      bytes.add(n, JsonSize.of(bundle(0, n)));
    }
    bytes.check(343, 0.1, 1, 1, 1);
    LinearFit changes = new LinearFit("changes of unpacking, by bundled jobs");
    LinearFit requests = new LinearFit("requests of unpacking, by bundled jobs");
    for (int bundles : BUNDLES) {
      Unpacking unpacking = new Unpacking();
      for (int i = 0; i < bundles; i++) {
        Body read = AdmissionWorld.sent(bundle(i * MOST_BUNDLED, MOST_BUNDLED));
        unpacking.found(Bundles.key("node-" + i), read, STAMP);
      }
      int steps = 0;
      int writes = 0;
      for (; !unpacking.isEmpty(); steps++) {
        Unpacking.Step step = unpacking.next(new StateLimits(32, 64, CHANGES_PER_S));
        writes += step.writes();
        unpacking.done(step);
      }
      changes.add(bundles * MOST_BUNDLED, writes);
      requests.add(bundles * MOST_BUNDLED, steps);
    }
    changes.check(1.03125, 0.001, 0, 1, 1);
    requests.check(0.03125, 0.0005, 1, 0.1, 0.1);
  }

  private static Body bundle(int first, int jobs) {
    Map<JobId, Body> records = new LinkedHashMap<>();
    for (int i = 0; i < jobs; i++) {
      JobSpec spec = spec(first + i, 100);
      records.put(spec.id(), Body.of().with("spec", JobCodec.encode(spec)).with("at", WALL_MS));
    }
    return Bundles.encode(records);
  }

  /** A page is written whole, so one more job costs the bytes of all that are on it. */
  @Test
  void theBytesOfAMarkGrowWithTheJobsOnItsPage() throws IOException {
    LinearFit fit = new LinearFit("bytes of marking one job, by begun jobs on the page");
    for (int n : ON_A_PAGE) {
      try (CountedState state = new CountedState(CHANGES_PER_S)) {
        Leader leader = leader(state.loop.now());
        state.books.serve(leader);
        for (int i = 0; i <= n; i++) {
          JobSpec spec = spec(i, 100);
          leader.jobSeen(spec, 0, false, Lane.of(spec.priority()), new Place(1, 0));
          if (i >= n - 1) {
            long before = state.bytes();
            state.books.mark();
            state.pass(TICK);
            if (i == n) {
              fit.add(n, (double) (state.bytes() - before));
            }
          }
        }
      }
    }
    fit.check(14, 0.1, 105, 1, 1);
  }
}
