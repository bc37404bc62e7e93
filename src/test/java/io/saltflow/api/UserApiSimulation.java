package io.saltflow.api;

import io.saltflow.admission.CascadeBarrier;
import io.saltflow.cluster.Job;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.controller.ControllerNodeTest;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.leader.InheritedState;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.records.JobRepository;
import io.saltflow.records.LeaderRepository;
import io.saltflow.records.LiveJobRecord;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.StoreLimits;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpCaller;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;

/**
 * Deterministic simulation of the user APIs of several nodes and the records of one leader, sharing
 * one key-value store and a simulated clock. The execution, answer and loss of each store request
 * are separate steps, and the caller chooses which step comes next. {@link UserResponseHistory}
 * checks the responses to users.
 */
final class UserApiSimulation {
  /** A request of a user to one node. */
  record Action(Kind kind, int job, int node) {}

  /** Type of a user request. */
  enum Kind {
    SUBMIT,
    /** Submits the same id with a description that a node would refuse for a new job. */
    SUBMIT_INVALID,
    POLL,
    CANCEL
  }

  /**
   * A scenario to simulate.
   *
   * @param userScripts the actions of each user; users act concurrently, each sequentially
   * @param acceptedJobs the number of jobs accepted before the start, each with its own record
   * @param completedJobs the accepted jobs whose tasks are all done according to the leader
   * @param writesPerSecond the write rate of each node
   */
  record Scenario(
      int nodes,
      List<List<Action>> userScripts,
      int acceptedJobs,
      Set<Integer> completedJobs,
      Faults faults,
      double writesPerSecond) {}

  /**
   * Maximum numbers of injected faults.
   *
   * @param lostAnswers requests that are executed but never answered
   * @param delayedRequests requests that time out and are executed later
   * @param refusals requests that are refused with 503 while those of other nodes are served
   * @param earlyTicks clock ticks that pass although other steps are possible
   */
  record Faults(int lostAnswers, int delayedRequests, int refusals, int earlyTicks) {}

  private static final TimeSpan TICK = TimeSpan.millis(100);
  private static final int MAX_TICKS = 400;
  private static final int MAX_ATTEMPTS = 6;
  private static final byte[] NO_BODY = new byte[0];
  private static final PlatformSettings SETTINGS = settings();
  private static final MachineType TYPE =
      new MachineType(
          "box", new Resources(8, 0, 32), 1, 1, 0.5, TimeSpan.seconds(15), List.of("a"));

  private static long clockMs = 1_000_000;
  private static final EventLoop LOOP = loop();

  private static EventLoop loop() {
    try {
      return new EventLoop(() -> clockMs * 1_000_000, () -> clockMs);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static PlatformSettings settings() {
    try {
      return PlatformSettings.parse(PlatformSettingsTest.SETTINGS);
    } catch (ConfigException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  /** A request to the key-value store in flight, or its answer. */
  private static final class StoreRequest {
    final String method;
    final String target;
    final byte[] body;
    final Consumer<HttpClient.Answer> callback;
    final MonotonicTime sentAt = LOOP.now();
    HttpResponse reply;
    boolean delayed;
    boolean answerLost;
    boolean completed;

    StoreRequest(String method, String target, byte[] body, Consumer<HttpClient.Answer> callback) {
      this.method = method;
      this.target = target;
      this.body = body;
      this.callback = callback;
    }

    /** Returns whether the store may execute the request; a delayed one only after its timeout. */
    boolean executable() {
      return reply == null && (!delayed || completed);
    }

    boolean answerable() {
      return reply != null && !answerLost && !completed;
    }

    void complete(int status, byte[] bytes) {
      completed = true;
      callback.accept(new HttpClient.Answer(status, bytes, sentAt, 0));
    }
  }

  /** Never withholds a live job, since no job has dependencies here. */
  static final CascadeBarrier OPEN_BARRIER = new CascadeBarrier(new TimeSpan(Long.MAX_VALUE / 2));

  private final class Node {
    final KeyValueClient client;
    final JobRepository jobs;
    final UserApi userApi;

    Node(int number, double writesPerSecond) {
      HttpCaller network = UserApiSimulation.this::send;
      client = new KeyValueClient(root, LOOP, network, network, 1e6, writesPerSecond, limits());
      jobs = new JobRepository(root, LOOP, client, "node-" + number, LaneRules.NONE);
      userApi =
          new UserApi(
              jobs,
              client,
              new JobValidator(SETTINGS.teams(), () -> List.of(TYPE)),
              id -> null,
              LOOP::wallClockMs,
              LOOP::now,
              OPEN_BARRIER);
    }
  }

  /** Returns new limits, as each client adapts its own. */
  private static StoreLimits limits() {
    return new StoreLimits(8, 8, 1000);
  }

  private static final class User {
    final Deque<Action> remaining;
    boolean waiting;
    int attempts;

    User(List<Action> script) {
      remaining = new ArrayDeque<>(script);
    }
  }

  private final Scenario scenario;
  private final IntUnaryOperator chooser;
  private final Root root = new Root();
  private final EmulatedKeyValueStore store =
      new EmulatedKeyValueStore(new KeyValueLimits(1e6, 1e6, 8, 8), steps -> {}, LOOP.now());
  private final KeyValueServer storeServer =
      new KeyValueServer(root, LOOP, store.core(), () -> store.flush(LOOP.now()));
  private final List<Node> nodes = new ArrayList<>();
  private final List<User> users = new ArrayList<>();
  private final List<StoreRequest> requests = new ArrayList<>();
  private final Set<JobId> acknowledgedJobs = new LinkedHashSet<>();
  private final UserResponseHistory history;
  private LeaderRepository records;
  private LeaderCore leader;

  private int leaderRequestsInFlight;

  private int lostAnswers;
  private int delayedRequests;
  private int refusals;
  private int earlyTicks;
  private int ticks;

  private UserApiSimulation(Scenario scenario, IntUnaryOperator chooser) {
    this.scenario = scenario;
    this.chooser = chooser;
    history = new UserResponseHistory(this::recordedPhase);
    for (int number = 0; number < scenario.nodes; number++) {
      nodes.add(new Node(number, scenario.writesPerSecond));
    }
    scenario.userScripts.forEach(script -> users.add(new User(script)));
    createAcceptedJobs();
  }

  /**
   * Runs a scenario once.
   *
   * @param chooser returns the index of the next step, given the number of possible steps
   * @return the description of the first fault, or {@code null} if none
   */
  static String simulate(Scenario scenario, IntUnaryOperator chooser) {
    UserApiSimulation simulation = new UserApiSimulation(scenario, chooser);
    try {
      simulation.run();
      return simulation.history.fault();
    } finally {
      simulation.root.cancel();
      clockMs += 10_000;
      runDueEvents();
    }
  }

  // Initial state

  private void createAcceptedJobs() {
    List<Job> known = new ArrayList<>();
    for (int number = 0; number < scenario.acceptedJobs; number++) {
      JobId id = id(number);
      MessageBody spec = submission(number);
      commit(
          MessageBody.of()
              .with(Wire.GUARDS, List.of())
              .with(
                  Wire.WRITES,
                  List.of(
                      MessageBody.of()
                          .with(Wire.PUT, JobRecordCodec.liveKey(id))
                          .with(Wire.VALUE, MessageBody.of().with("spec", spec).with("at", 5L)))));
      history.onAcceptedBefore(id);
      acknowledgedJobs.add(id);
      try {
        KeyValueStore.Value value = store.value(JobRecordCodec.liveKey(id));
        LiveJobRecord recorded =
            JobRecordCodec.decode(
                MessagePackCodec.decode(MessagePackCodec.encode(value.data())),
                new Revision(value.modRevision()));
        BitSet done = new BitSet();
        if (scenario.completedJobs.contains(number)) {
          done.set(0, recorded.spec().tasks());
        }
        known.add(new Job(recorded.spec(), 5, done, true));
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }
    startLeader(known);
  }

  private void startLeader(List<Job> known) {
    commit(
        MessageBody.of()
            .with(Wire.GUARDS, List.of())
            .with(
                Wire.WRITES,
                List.of(
                    MessageBody.of().with(Wire.PUT, "lead").with(Wire.VALUE, MessageBody.of()))));
    LeaderLease leaderLease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
    leaderLease.onElected(new Term(1), new Revision(store.value("lead").modRevision()), LOOP.now());
    leader =
        new LeaderCore(
            OperatorSettings.defaults().policy(SETTINGS),
            new Term(1),
            new InheritedState(known, List.of(), true, List.of(TYPE)),
            LOOP.now(),
            LOOP.wallClockMs());
    Node firstNode = nodes.get(0);
    // A separate client, since user requests exhaust the write rate of the nodes.
    KeyValueClient leaderClient =
        new KeyValueClient(root, LOOP, this::sendOfLeader, this::sendOfLeader, 1e6, 1e6, limits());
    records = new LeaderRepository(root, leaderClient, firstNode.jobs, leaderLease, LOOP::now);
    records.setLeader(leader);
  }

  private void commit(MessageBody transaction) {
    try {
      store.commit(MessagePackCodec.decode(MessagePackCodec.encode(transaction)));
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  static JobId id(int number) {
    return new JobId(String.format("req-%06d", number));
  }

  private static MessageBody submission(int number) {
    return ControllerNodeTest.submission(id(number).text(), "red");
  }

  // Network

  private void send(
      String method,
      String target,
      byte[] body,
      TimeSpan timeout,
      Consumer<HttpClient.Answer> callback) {
    StoreRequest request = new StoreRequest(method, target, body, callback);
    requests.add(request);
    LOOP.schedule(
        timeout,
        root,
        () -> {
          if (!request.completed) {
            request.complete(0, NO_BODY);
          }
        });
  }

  private void sendOfLeader(
      String method,
      String target,
      byte[] body,
      TimeSpan timeout,
      Consumer<HttpClient.Answer> callback) {
    leaderRequestsInFlight++;
    send(
        method,
        target,
        body,
        timeout,
        answer -> {
          leaderRequestsInFlight--;
          callback.accept(answer);
        });
  }

  private void execute(StoreRequest request) {
    storeServer.handle(
        request.method, request.target, request.body, reply -> request.reply = reply);
    history.onStoreStep();
  }

  private static void runDueEvents() {
    LOOP.post(LOOP::pause);
    try {
      LOOP.run();
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  // Steps

  private void run() {
    while (true) {
      List<Runnable> steps = steps();
      if (steps.isEmpty()) {
        if (finished() || ++ticks > MAX_TICKS) {
          break;
        }
        advanceClock();
      } else {
        steps.get(steps.size() == 1 ? 0 : chooser.applyAsInt(steps.size())).run();
      }
      runDueEvents();
    }
    if (!finished()) {
      history.fail(
          "users that are never answered: " + users.stream().filter(user -> user.waiting).count());
    }
    acknowledgedJobs.forEach(this::checkFinalRecord);
  }

  private static void advanceClock() {
    clockMs += TICK.ms();
  }

  private boolean finished() {
    return users.stream().allMatch(user -> user.remaining.isEmpty() && !user.waiting)
        && requests.stream().allMatch(request -> request.reply != null || !request.executable())
        && requests.stream().allMatch(request -> request.completed)
        && leader.jobs().toFinish().isEmpty()
        && batches().isEmpty();
  }

  /** Returns the steps that are possible now. If there are none, the clock advances. */
  private List<Runnable> steps() {
    requests.removeIf(request -> request.completed && request.reply != null);
    List<Runnable> steps = new ArrayList<>();
    for (StoreRequest request : List.copyOf(requests)) {
      if (request.executable()) {
        steps.add(() -> execute(request));
      }
      if (request.answerable()) {
        steps.add(() -> request.complete(request.reply.status(), request.reply.body()));
      }
      addFaults(request, steps);
    }
    for (User user : users) {
      if (!user.waiting && !user.remaining.isEmpty()) {
        steps.add(() -> sendNext(user));
      }
    }
    if (!leader.jobs().toFinish().isEmpty() && !records.isBusy()) {
      steps.add(records::recordCompletions);
    }
    if (earlyTicks < scenario.faults.earlyTicks
        && !steps.isEmpty()
        && users.stream().anyMatch(user -> user.waiting)) {
      steps.add(
          () -> {
            earlyTicks++;
            advanceClock();
          });
    }
    if (leaderRequestsInFlight == 0 && !batches().isEmpty()) {
      steps.add(this::unpackBatches);
    }
    return steps;
  }

  private void addFaults(StoreRequest request, List<Runnable> steps) {
    if (request.reply != null || request.delayed || request.completed) {
      return;
    }
    if (lostAnswers < scenario.faults.lostAnswers) {
      steps.add(
          () -> {
            lostAnswers++;
            execute(request);
            request.answerLost = true;
          });
    }
    if (refusals < scenario.faults.refusals) {
      steps.add(
          () -> {
            refusals++;
            request.reply = HttpResponse.empty(503);
          });
    }
    if (delayedRequests < scenario.faults.delayedRequests) {
      steps.add(
          () -> {
            delayedRequests++;
            request.delayed = true;
          });
    }
  }

  private Map<String, KeyValueStore.Value> batches() {
    Map<String, KeyValueStore.Value> batches = new HashMap<>();
    for (MessageBody entry : listLiveEntries()) {
      String key = (String) entry.get(Wire.KEY);
      if (JobRecordCodec.isBatch(key)) {
        batches.put(key, store.value(key));
      }
    }
    return batches;
  }

  private List<MessageBody> listLiveEntries() {
    try {
      return MessagePackCodec.decode(MessagePackCodec.encode(store.list("live/", "", 1000).body()))
          .maps(Wire.ITEMS);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void unpackBatches() {
    batches()
        .forEach(
            (key, value) -> {
              try {
                MessageBody body = MessagePackCodec.decode(MessagePackCodec.encode(value.data()));
                records.onBatchFound(key, body, new Revision(value.modRevision()));
              } catch (InvalidMessageException exception) {
                throw new IllegalStateException(exception);
              }
            });
    records.unpackBatches();
  }

  // Users

  private void sendNext(User user) {
    Action action = user.remaining.peek();
    user.waiting = true;
    JobId id = id(action.job);
    UserResponseHistory.Request userRequest = history.onRequest(id, action.kind, action.node);
    Consumer<HttpResponse> callback =
        reply -> {
          user.waiting = false;
          history.onResponse(userRequest, reply);
          if (reply.status() / 100 == 2) {
            acknowledgedJobs.add(id);
          }
          if (reply.status() != 503 || ++user.attempts >= MAX_ATTEMPTS) {
            user.remaining.poll();
            user.attempts = 0;
          }
        };
    UserApi api = nodes.get(action.node).userApi;
    switch (action.kind) {
      case SUBMIT -> api.submit(MessagePackCodec.encode(submission(action.job)), callback);
      case SUBMIT_INVALID ->
          api.submit(
              MessagePackCodec.encode(submission(action.job).with("crew", "nobody")), callback);
      case POLL -> api.poll(id.text(), callback);
      case CANCEL -> api.cancel(id.text(), callback);
      default -> throw new IllegalStateException(action.toString());
    }
  }

  // Records

  private boolean isInBatch(JobId id) {
    return batches().values().stream().anyMatch(batch -> batch.data().get(id.text()) != null);
  }

  /** Returns the recorded phase of a job, or {@code null} if there is no record. */
  private String recordedPhase(JobId id) {
    KeyValueStore.Value over = store.value("over/" + id.text());
    if (over != null) {
      return over.data().get("phase").toString();
    }
    boolean live = store.value(JobRecordCodec.liveKey(id)) != null || isInBatch(id);
    return live ? UserResponseHistory.LIVE : null;
  }

  /** Checks that the job has exactly one record, either live or final. */
  private void checkFinalRecord(JobId id) {
    boolean live = store.value(JobRecordCodec.liveKey(id)) != null;
    boolean over = store.value("over/" + id.text()) != null;
    if (live == over || isInBatch(id)) {
      history.fail(id + " has wrong final records: live " + live + ", ended " + over);
    }
  }
}
