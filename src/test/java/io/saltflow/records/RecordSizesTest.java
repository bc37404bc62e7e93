package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.saltflow.capacity.LinearFit;
import io.saltflow.cluster.Policy;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.leader.InheritedState;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Revision;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks how bytes, requests and writes to the key-value store grow with machines, jobs and tasks.
 * docs/CAPACITY.md is derived from these lines; update it when one of them changes.
 */
class RecordSizesTest {
  private static final int[] MACHINES = {125, 250, 500, 1000, 2000};
  private static final int[] JOBS = {500, 1000, 2000, 4000};
  private static final int[] TASKS = {27, 81, 243, 729, 2187};
  private static final int[] JOBS_PER_S = {8, 16, 32, 64};
  private static final int[] LOW_JOBS_PER_S = {1, 2, 4};
  private static final int[] JOBS_PER_BATCH = {2, 4, 8, 16, 32};
  private static final int[] BATCH_COUNTS = {2, 4, 8, 16};
  private static final int[] JOBS_PER_PAGE = {100, 200, 400, 800};
  private static final int JOBS_PER_SETTLE = 50;
  private static final int MAX_BATCH_SIZE = 32;
  private static final long WALL_MS = 1_796_189_000_000L;
  private static final Revision BATCH_REVISION = new Revision(9);
  private static final double WRITES_PER_S = 1000;
  private static final int SECONDS = 20;
  private static final int TICKS_PER_S = 5;
  private static final int TICKS_PER_RECORD = 10;
  private static final TimeSpan TICK = TimeSpan.millis(200);
  private static final MachineType TYPE =
      new MachineType(
          "c96", new Resources(96, 0, 384), 1, 1, 0.4, TimeSpan.seconds(40), List.of("zone-a"));

  private static JobId id(int number) {
    return new JobId("req-" + (412_000 + number));
  }

  private static JobSpec spec(int number, int tasks) {
    MessageBody body =
        MessageBody.of()
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
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static Policy policy() {
    return new Policy(
        1,
        TimeSpan.seconds(3),
        TimeSpan.seconds(26),
        TimeSpan.seconds(10),
        Map.of("reader-ops", new Policy.TeamQuota("reader-ops", 0, 0, 0, 0)),
        Map.of(),
        Map.of(),
        TimeSpan.seconds(5),
        0.2,
        TimeSpan.seconds(100),
        Priority.HIGH,
        TimeSpan.seconds(6),
        TimeSpan.seconds(30),
        1,
        new FairShareRules(0.5, TimeSpan.seconds(120), 0.25),
        TimeSpan.seconds(240),
        1.8,
        0.25,
        TimeSpan.seconds(45),
        TimeSpan.seconds(90),
        1,
        TimeSpan.seconds(60),
        TimeSpan.seconds(10),
        3,
        2,
        List.of());
  }

  private static LeaderCore leader(MonotonicTime now) {
    return new LeaderCore(policy(), new Term(1), InheritedState.empty(List.of(TYPE)), now, 0);
  }

  /** A machine whose tasks are done by the time of its next heartbeat. */
  private static final class Worker {
    private final MachineId id;
    private final Map<TaskId, Attempt> exited = new LinkedHashMap<>();
    private long sequence;

    Worker(int number) {
      id = new MachineId("vm-" + (100_000 + number));
    }

    int sendHeartbeat(LeaderCore leader, MonotonicTime now) {
      List<WorkerHeartbeat.TaskStatus> tasks = new ArrayList<>();
      exited.forEach(
          (task, attempt) ->
              tasks.add(
                  new WorkerHeartbeat.TaskStatus(
                      task,
                      attempt,
                      WorkerHeartbeat.TaskState.EXITED,
                      WorkerHeartbeat.ExitCause.DONE,
                      false)));
      WorkerHeartbeat heartbeat =
          new WorkerHeartbeat(
              id, "10.1.0.1:1", "c96", "zone-a", false, 1, ++sequence, new Term(1), null, tasks);
      List<WorkerCommand> commands = leader.onHeartbeat(heartbeat, true, now);
      int launches = 0;
      for (WorkerCommand command : commands == null ? List.<WorkerCommand>of() : commands) {
        if (command instanceof WorkerCommand.Launch) {
          exited.put(command.task(), command.attempt());
          launches++;
        } else if (command instanceof WorkerCommand.Clear) {
          exited.remove(command.task());
        }
      }
      return launches;
    }
  }

  private static void admit(RequestCountingStore store, LeaderCore leader, JobSpec spec) {
    store.jobs.admit(
        spec,
        WALL_MS,
        outcome -> {
          assertEquals(new JobOutcome.Created(spec.id()), outcome);
          if (leader != null) {
            leader
                .jobs()
                .onAdded(
                    spec, WALL_MS, false, Lane.of(spec.priority()), new AdmissionPosition(1, 0));
          }
        });
  }

  @Test
  void ledgerBytesAreLinearInMachines() throws IOException, InvalidMessageException {
    LinearFit fit = new LinearFit("ledger, bytes by machines");
    for (int count : MACHINES) {
      try (RequestCountingStore store = new RequestCountingStore(WRITES_PER_S)) {
        LeaderCore leader = leader(store.loop.now());
        store.repository.setLeader(leader);
        for (int i = 0; i < count; i++) {
          new Worker(i).sendHeartbeat(leader, store.loop.now());
        }
        for (int i = 0; i < TICKS_PER_S; i++) {
          store.repository.recordMachines();
          store.advance(TICK);
        }
        fit.add(count, (double) store.valueBytes(Keys.MACHINE_LEDGER));
      }
    }
    fit.check(35, 0.01, 1, 1, 1);
  }

  @Test
  void liveJobBytesAndFailoverRequestsAreLinearInJobs()
      throws IOException, InvalidMessageException {
    LinearFit live = new LinearFit("live records, bytes by jobs");
    LinearFit progress = new LinearFit("progress of launched jobs, bytes by jobs");
    LinearFit reads = new LinearFit("requests of a failover by jobs");
    for (int count : JOBS) {
      try (RequestCountingStore store = new RequestCountingStore(WRITES_PER_S)) {
        LeaderCore leader = leader(store.loop.now());
        store.repository.setLeader(leader);
        for (int i = 0; i < count; i++) {
          admit(store, leader, spec(i, 100));
          if (i % JOBS_PER_SETTLE == 0) {
            store.settle();
          }
        }
        store.settle();
        live.add(count, (double) store.valueBytes(Keys.LIVE_JOBS));
        for (int i = 0; i < TICKS_PER_S; i++) {
          store.repository.recordLaunchIntents();
          store.advance(TICK);
        }
        progress.add(count, (double) store.valueBytes(Keys.JOB_PROGRESS));
        reads.add(count, (double) failoverRequests(store));
      }
    }
    live.check(329, 0.1, 0, 1, 1);
    progress.check(18, 0.1, 0, 1, 1);
    reads.check(0.002, 0.0001, 3, 0.1, 0.1);
  }

  /**
   * Returns the number of requests with which the next leader reads the ledger, progress, plans and
   * live jobs.
   */
  private static long failoverRequests(RequestCountingStore store) throws IOException {
    long before = store.requests();
    store.repository.readInherited(found -> assertNotNull(found));
    store.jobs.listLive(found -> assertNotNull(found));
    store.settle();
    return store.requests() - before;
  }

  @Test
  void finishedJobBytesAreLinearInJobsAndProgressInTasks() {
    LinearFit bytes = new LinearFit("records of finished jobs, bytes by jobs");
    for (int count : JOBS) {
      MessageBody all = MessageBody.of();
      for (int i = 0; i < count; i++) {
        JobStatus end = new JobStatus(id(i), JobPhase.DONE, 100);
        all.with(id(i).text(), JobRecordCodec.encodeEnd(end).with("endedAt", WALL_MS));
      }
      bytes.add(count, all.fields().values().stream().mapToInt(JsonSize::of).sum());
    }
    bytes.check(48, 0.1, 0, 1, 1);
    LinearFit progress = new LinearFit("progress of one job, every second task done, by tasks");
    for (int count : TASKS) {
      BitSet done = new BitSet();
      for (int i = 1; i < count; i += 2) {
        done.set(i);
      }
      progress.add(count, DoneTasksCodec.encode(done, DoneTasksCodec.maxLength(count)).length());
    }
    progress.check(0.167, 0.001, 2, 0.5, 1);
  }

  @Test
  void requestsAndWritesAreLinearInJobRate() throws IOException {
    LinearFit requests = new LinearFit("requests per second by jobs per second, one task each");
    LinearFit writes = new LinearFit("writes per second by jobs per second, one task each");
    LinearFit bytes = new LinearFit("bytes per second to the key-value store by jobs per second");
    for (int rate : JOBS_PER_S) {
      try (RequestCountingStore store = new RequestCountingStore(WRITES_PER_S)) {
        LeaderCore leader = leader(store.loop.now());
        store.repository.setLeader(leader);
        int launches = run(store, leader, rate);
        requests.add(rate, store.requests() / (double) SECONDS);
        writes.add(rate, store.writes() / (double) SECONDS);
        bytes.add(rate, store.bytes() / (double) SECONDS);
        assertEquals(rate * SECONDS, launches);
      }
    }
    requests.check(1, 0.02, 10, 0.5, 0.5);
    writes.check(3, 0.02, 5, 0.5, 0.5);
    bytes.check(613, 10, 623, 60, 50);
  }

  /** At low rates the progress page is written once per job, so a job takes four writes in all. */
  @Test
  void jobTakesFourWritesAtLowRates() throws IOException {
    for (int rate : LOW_JOBS_PER_S) {
      try (RequestCountingStore store = new RequestCountingStore(WRITES_PER_S)) {
        LeaderCore leader = leader(store.loop.now());
        store.repository.setLeader(leader);
        run(store, leader, rate);
        assertEquals(4.0 * rate, store.writes() / (double) SECONDS, 0.5);
      }
    }
  }

  /**
   * Submits jobs at an even rate, which two machines run at once, until all have ended. Returns the
   * number of launches.
   */
  private static int run(RequestCountingStore store, LeaderCore leader, int rate)
      throws IOException {
    List<Worker> workers = List.of(new Worker(1), new Worker(2));
    int launches = 0;
    int admitted = 0;
    for (int tick = 0; tick < (SECONDS + 3) * TICKS_PER_S; tick++) {
      int target = Math.min(rate * SECONDS, rate * (tick + 1) / TICKS_PER_S);
      for (; admitted < target; admitted++) {
        admit(store, leader, spec(admitted, 1));
      }
      store.settle();
      MonotonicTime now = store.loop.now();
      leader.tick(now);
      store.repository.recordCompletions();
      store.repository.recordLaunchIntents();
      store.repository.recordMachines();
      if (tick % TICKS_PER_RECORD == 0) {
        store.repository.recordProgress();
      }
      for (Worker worker : workers) {
        launches += worker.sendHeartbeat(leader, now);
      }
      store.advance(TICK);
    }
    return launches;
  }

  @Test
  void batchBytesAndUnpackingWritesAreLinearInJobs() throws InvalidMessageException {
    LinearFit bytes = new LinearFit("submission batch, bytes by jobs");
    for (int count : JOBS_PER_BATCH) {
      bytes.add(count, JsonSize.of(batch(0, count)));
    }
    bytes.check(343, 0.1, 1, 1, 1);
    LinearFit writesByJobs = new LinearFit("writes of unpacking, by jobs in batches");
    LinearFit requestsByJobs = new LinearFit("requests of unpacking, by jobs in batches");
    for (int batches : BATCH_COUNTS) {
      BatchUnpacker unpacker = new BatchUnpacker();
      for (int i = 0; i < batches; i++) {
        MessageBody decoded =
            AdmissionSimulation.roundTrip(batch(i * MAX_BATCH_SIZE, MAX_BATCH_SIZE));
        unpacker.addBatch(SubmissionBatch.key("node-" + i), decoded, BATCH_REVISION);
      }
      int steps = 0;
      int writes = 0;
      for (; !unpacker.isEmpty(); steps++) {
        BatchUnpacker.UnpackStep step = unpacker.next(new StoreLimits(32, 64, WRITES_PER_S));
        writes += step.writes();
        unpacker.onCommitted(step);
      }
      writesByJobs.add(batches * MAX_BATCH_SIZE, writes);
      requestsByJobs.add(batches * MAX_BATCH_SIZE, steps);
    }
    writesByJobs.check(1.03125, 0.001, 0, 1, 1);
    requestsByJobs.check(0.03125, 0.0005, 1, 0.1, 0.1);
  }

  private static MessageBody batch(int first, int jobs) {
    Map<JobId, MessageBody> records = new LinkedHashMap<>();
    for (int i = 0; i < jobs; i++) {
      JobSpec spec = spec(first + i, 100);
      records.put(
          spec.id(), MessageBody.of().with("spec", JobCodec.encode(spec)).with("at", WALL_MS));
    }
    return SubmissionBatch.encode(records);
  }

  /**
   * Each write of a page contains all its jobs, so the cost of marking a job grows with the page.
   */
  @Test
  void markBytesAreLinearInJobsOnPage() throws IOException {
    LinearFit fit = new LinearFit("bytes of marking one job, by launched jobs on the page");
    for (int count : JOBS_PER_PAGE) {
      try (RequestCountingStore store = new RequestCountingStore(WRITES_PER_S)) {
        LeaderCore leader = leader(store.loop.now());
        store.repository.setLeader(leader);
        for (int i = 0; i <= count; i++) {
          JobSpec spec = spec(i, 100);
          leader
              .jobs()
              .onAdded(spec, 0, false, Lane.of(spec.priority()), new AdmissionPosition(1, 0));
          if (i >= count - 1) {
            long before = store.bytes();
            store.repository.recordLaunchIntents();
            store.advance(TICK);
            if (i == count) {
              fit.add(count, (double) (store.bytes() - before));
            }
          }
        }
      }
    }
    fit.check(14, 0.1, 105, 1, 1);
  }
}
