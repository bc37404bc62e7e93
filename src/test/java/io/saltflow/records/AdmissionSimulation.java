package io.saltflow.records;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Several nodes that share one in-memory key-value store. Requests to the store are numbered from
 * the first submission on, and a fault can be injected into each. The clock advances when only
 * timers are pending.
 */
final class AdmissionSimulation implements AutoCloseable {
  /** Lifecycle stage of a job in the key-value store. */
  enum Stage {
    NONE,
    BATCHED,
    LIVE,
    DONE,
    CANCELLED
  }

  /** Fault that is injected into a request. */
  enum Fault {
    /** The request is executed and its answer is lost. */
    ANSWER_LOST,
    /** The request is not answered, and is executed only by {@link #deliverDelayed}. */
    DELAYED,
    UNAVAILABLE,
    RATE_LIMITED
  }

  private static final class RootRoutine extends Routine {
    RootRoutine() {
      super(null);
    }
  }

  private static final long CLOCK_STEP_MS = 100;
  private static final int MAX_IDLE_ITERATIONS = 2;
  private static final int MAX_ITERATIONS = 4000;

  final List<String> requests = new ArrayList<>();
  final EmulatedKeyValueStore store;
  private final RootRoutine root = new RootRoutine();
  private final Map<Integer, Runnable> eventsBefore = new HashMap<>();
  private final Map<Integer, Runnable> eventsAfter = new HashMap<>();
  private final Map<Integer, Fault> faults = new HashMap<>();
  private final Map<JobId, Stage> stages = new HashMap<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private final int txnOps;
  private final double valueKb;
  private final EventLoop loop;
  private final KeyValueServer keyValueServer;
  private final HttpServer server;
  private long clockOffsetMs;
  private int requestCount;
  private boolean eventRan;

  AdmissionSimulation(int txnOps) throws IOException {
    this(txnOps, 8);
  }

  AdmissionSimulation(int txnOps, double valueKb) throws IOException {
    this.txnOps = txnOps;
    this.valueKb = valueKb;
    loop =
        new EventLoop(
            () -> System.nanoTime() + clockOffsetMs * 1_000_000, System::currentTimeMillis);
    store =
        new EmulatedKeyValueStore(
            new KeyValueLimits(1000, 1000, valueKb, txnOps), steps -> {}, loop.now());
    keyValueServer = new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    server = new HttpServer(root, loop, Addresses.parse("127.0.0.1:0"), 64, this::handle);
  }

  private void handle(String method, String target, byte[] body, Consumer<HttpResponse> answer) {
    int number = requestCount++;
    requests.add(method + " " + target);
    Runnable event = eventsBefore.get(number);
    if (event != null) {
      eventRan = true;
      event.run();
    }
    Fault fault = faults.get(number);
    if (fault == null) {
      keyValueServer.handle(method, target, body, answer);
      eventsAfter.getOrDefault(number, () -> {}).run();
      return;
    }
    switch (fault) {
      case ANSWER_LOST -> keyValueServer.handle(method, target, body, reply -> {});
      case DELAYED -> delayed.add(() -> keyValueServer.handle(method, target, body, reply -> {}));
      case UNAVAILABLE -> answer.accept(HttpResponse.empty(503));
      case RATE_LIMITED -> answer.accept(HttpResponse.empty(429));
      default -> throw new IllegalStateException();
    }
  }

  JobRepository newNode(String name) {
    HttpClient http =
        new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + server.port()), 8, 64);
    KeyValueClient client =
        new KeyValueClient(root, loop, http, http, 450, 15, new StoreLimits(txnOps, valueKb, 30));
    return new JobRepository(root, loop, client, name, LaneRules.NONE);
  }

  /** Registers an event that runs just before a request is executed. */
  void runBefore(int number, Runnable event) {
    eventsBefore.put(number, event);
  }

  /** Registers an event that runs after a request is executed and before its answer arrives. */
  void runAfter(int number, Runnable event) {
    eventsAfter.put(number, event);
  }

  /** Returns whether an event that was registered with {@link #runBefore} has run. */
  boolean eventRan() {
    return eventRan;
  }

  void injectFault(int number, Fault fault) {
    if (fault != null) {
      faults.put(number, fault);
    }
  }

  /** Removes all faults and preceding events, and executes the delayed requests. */
  void deliverDelayed() {
    eventsBefore.clear();
    faults.clear();
    delayed.forEach(Runnable::run);
  }

  static JobSpec spec(JobId id, List<JobId> dependencies) {
    MessageBody body =
        MessageBody.of()
            .with("id", id.text())
            .with("lane", "pages")
            .with("crew", "red")
            .with("shape", "array")
            .with("urgency", "high")
            .with("shards", 3L)
            .with("cores", 2.0)
            .with("gpus", 0.0)
            .with("ramGb", 4.0)
            .with("bundle", "img-01")
            .with("sizeGb", 1.5)
            .with("together", false)
            .with("apart", false)
            .with("loaners", true)
            .with("expectS", 40.0)
            .with("snapshotS", 0.0)
            .with("flushS", 0.0)
            .with(Wire.DEPENDENCIES, dependencies.stream().map(JobId::text).toList());
    try {
      return JobCodec.decode(body);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  static MessageBody record(JobId id, List<JobId> dependencies) {
    String field = dependencies.isEmpty() ? "spec" : "dependentSpec";
    return MessageBody.of().with(field, JobCodec.encode(spec(id, dependencies))).with("at", 5L);
  }

  private static String batchKey(JobId id) {
    return SubmissionBatch.key("of-" + id);
  }

  /** Writes the records of a job as if the leader, another node or a user had changed them. */
  void setStage(JobId id, Stage stage) {
    Transaction txn = new Transaction();
    Stage from = stages.getOrDefault(id, Stage.NONE);
    switch (stage) {
      case BATCHED ->
          txn.put(batchKey(id), SubmissionBatch.encode(Map.of(id, record(id, List.of()))));
      case LIVE -> {
        txn.put(Keys.liveJob(id), record(id, List.of()));
        if (from == Stage.BATCHED) {
          txn.delete(batchKey(id));
        }
      }
      case DONE, CANCELLED -> {
        JobPhase phase = JobPhase.valueOf(stage.name());
        txn.put(Keys.finishedJob(id), JobRecordCodec.encodeEnd(new JobStatus(id, phase, 0)))
            .delete(Keys.liveJob(id));
      }
      default -> {
        return;
      }
    }
    stages.put(id, stage);
    commit(txn);
  }

  void commit(Transaction txn) {
    try {
      if (store.commit(MessagePackCodec.decode(MessagePackCodec.encode(txn.encode()))).status()
          != 200) {
        throw new IllegalStateException();
      }
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  JobOutcome admit(JobRepository node, JobSpec spec) throws IOException {
    return await(then -> node.admit(spec, 5, then));
  }

  JobOutcome find(JobRepository node, JobId id) throws IOException {
    return await(then -> node.find(id, then));
  }

  private JobOutcome await(Consumer<Consumer<JobOutcome>> request) throws IOException {
    List<JobOutcome> outcomes = new ArrayList<>();
    request.accept(outcomes::add);
    runUntil(() -> !outcomes.isEmpty());
    return outcomes.get(0);
  }

  void runUntil(BooleanSupplier condition) throws IOException {
    int lastRequestCount = -1;
    int idleIterations = 0;
    for (int i = 0; i < MAX_ITERATIONS && !condition.getAsBoolean(); i++) {
      idleIterations = lastRequestCount == requestCount ? idleIterations + 1 : 0;
      lastRequestCount = requestCount;
      if (idleIterations > MAX_IDLE_ITERATIONS) {
        clockOffsetMs += CLOCK_STEP_MS;
      }
      loop.schedule(TimeSpan.millis(1), root, loop::pause);
      loop.run();
    }
    if (!condition.getAsBoolean()) {
      throw new IllegalStateException("condition not reached after requests " + requests);
    }
  }

  /** Returns the end record of a job, or {@code null} if there is none. */
  KeyValueStore.Value endRecord(JobId id) {
    return store.value(Keys.finishedJob(id));
  }

  /** Returns whether the job is recorded only in a batch. */
  boolean isBatched(JobId id) throws InvalidMessageException {
    return store.value(Keys.liveJob(id)) == null && liveRecord(id) != null;
  }

  /** Returns the recorded dependencies of a job, or {@code null} if it has no live record. */
  List<JobId> recordedDependencies(JobId id) throws InvalidMessageException {
    MessageBody record = liveRecord(id);
    return record == null
        ? null
        : JobRecordCodec.decode(record, Revision.ABSENT).spec().dependencies();
  }

  /** Returns the live or batched record of a job, or {@code null} if there is none. */
  MessageBody liveRecord(JobId id) throws InvalidMessageException {
    KeyValueStore.Value live = store.value(Keys.liveJob(id));
    if (live != null) {
      return roundTrip(live.data());
    }
    MessageBody listed = roundTrip(store.list(SubmissionBatch.PREFIX, "", 1000).body());
    for (MessageBody pair : listed.maps(Wire.ITEMS)) {
      MessageBody batched = SubmissionBatch.decode(pair.map(Wire.VALUE)).get(id);
      if (batched != null) {
        return batched;
      }
    }
    return null;
  }

  static MessageBody roundTrip(MessageBody body) throws InvalidMessageException {
    return MessagePackCodec.decode(MessagePackCodec.encode(body));
  }

  @Override
  public void close() {
    root.cancel();
  }
}
