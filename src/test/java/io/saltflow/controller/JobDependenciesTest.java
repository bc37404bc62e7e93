package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong execution or cancellation of dependent jobs when answers to the leader's
 * writes are lost, writes are delayed, or the leader fails over. Transactions are limited to four
 * operations.
 */
class JobDependenciesTest {
  private static final byte[] NO_BODY = new byte[0];
  private static final int MAX_TRANSACTION_OPERATIONS = 4;
  private static final int TIMEOUT_MS = 20_000;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private EmulatedKeyValueStore store;
  private EventLoop loop;
  private PlatformSettings settings;
  private ControllerNode node;
  private HttpClient user;
  private HttpClient workers;
  private int status;
  private MessageBody body;

  /** Key whose next put is executed but never answered. */
  private String loseAnswerFor;

  /** Key whose next put is not answered and executed later, by {@link #delayedWrite}. */
  private String delayWriteOf;

  private Runnable delayedWrite;

  /** Tasks that the worker reports, by name. */
  private final Map<String, MessageBody> tasks = new LinkedHashMap<>();

  private final List<String> launched = new ArrayList<>();
  private long heartbeatNumber;
  private long fencingToken;

  /** Whether running tasks complete. */
  private boolean tasksComplete;

  @BeforeEach
  void start() throws IOException, ConfigException {
    loop = new EventLoop();
    EmulatedEnvironment environment =
        new EmulatedEnvironment(
            loop, new KeyValueLimits(1000, 1000, 8, MAX_TRANSACTION_OPERATIONS));
    store = environment.store;
    String address = environment.serve(loop, injectFaults(environment.handler()));
    settings =
        PlatformSettings.parse(
            PlatformSettingsTest.SETTINGS
                .replace("10.9.9.9:1", address)
                .replace("txn_ops = 8", "txn_ops = " + MAX_TRANSACTION_OPERATIONS));
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 1);
    node.start();
    connect();
    for (int i = 0; i < 200 && submit(1) == 503; i++) {
      runFor(20);
    }
    assertEquals(201, status);
  }

  private void connect() throws IOException {
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    workers = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 1, 1);
  }

  @AfterEach
  void cancelRoutines() {
    node.cancel();
    root.cancel();
  }

  private HttpServer.Handler injectFaults(HttpServer.Handler delegate) {
    return (method, target, request, answer) -> {
      boolean isTransaction = target.equals(Wire.PATH_TRANSACTION);
      if (isTransaction && delayWriteOf != null && puts(request, delayWriteOf)) {
        delayWriteOf = null;
        delayedWrite = () -> delegate.handle(method, target, request, reply -> {});
      } else if (isTransaction && loseAnswerFor != null && puts(request, loseAnswerFor)) {
        loseAnswerFor = null;
        delegate.handle(method, target, request, reply -> {});
      } else {
        delegate.handle(method, target, request, answer);
      }
    };
  }

  private static boolean puts(byte[] transaction, String key) {
    try {
      return MessagePackCodec.decode(transaction).maps(Wire.WRITES).stream()
          .anyMatch(write -> key.equals(write.get(Wire.PUT)));
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void runFor(long ms) throws IOException {
    loop.schedule(TimeSpan.millis(ms), root, loop::pause);
    loop.run();
  }

  private int call(HttpClient client, String method, String path, byte[] request)
      throws IOException {
    status = -1;
    client.call(
        method,
        path,
        request,
        TimeSpan.seconds(5),
        answer -> {
          status = answer.status();
          try {
            body = answer.body().length == 0 ? null : MessagePackCodec.decode(answer.body());
          } catch (InvalidMessageException exception) {
            body = null;
          }
          loop.schedule(TimeSpan.millis(1), root, loop::pause);
        });
    loop.run();
    return status;
  }

  private static String id(int number) {
    return String.format("req-%06d", number);
  }

  private int submit(int number, int... dependencies) throws IOException {
    MessageBody job = ControllerNodeTest.submission(id(number), "red").with("shards", 1);
    List<String> names = new ArrayList<>();
    for (int dependency : dependencies) {
      names.add(id(dependency));
    }
    MessageBody request = names.isEmpty() ? job : job.with(Wire.DEPENDENCIES, names);
    return call(user, "POST", "/submissions", MessagePackCodec.encode(request));
  }

  private void submitUntilAccepted(int number, int... dependencies) throws IOException {
    for (int i = 0; i < 50 && submit(number, dependencies) == 503; i++) {
      runFor(50);
    }
    assertTrue(status == 201 || status == 200, id(number) + ": " + status);
  }

  private void cancel(int number) throws IOException {
    for (int i = 0; i < 50; i++) {
      if (call(user, "POST", "/submissions/" + id(number) + "/withdraw", NO_BODY) == 200) {
        return;
      }
      runFor(50);
    }
    assertEquals(200, status);
  }

  private String finalPhase(int number) {
    KeyValueStore.Value end = store.value("over/" + id(number));
    return end == null ? null : (String) end.data().get("phase");
  }

  /** Sends a worker heartbeat and executes the commands in the answer. */
  private void sendHeartbeat() throws IOException {
    List<MessageBody> list = new ArrayList<>();
    tasks.forEach((name, task) -> list.add(task));
    MessageBody heartbeat =
        ControllerNodeTest.heartbeat(fencingToken)
            .with("tick", ++heartbeatNumber)
            .with("shards", list.stream().map(MessageBody::fields).toList());
    if (call(workers, "POST", "/checkin", MessagePackCodec.encode(heartbeat)) != 200) {
      return;
    }
    try {
      fencingToken = body.integer("baton");
      for (MessageBody command : body.maps("orders")) {
        execute(command.text("verb"), command.text("shard"), command.get("try"));
      }
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void execute(String verb, String name, Object attempt) {
    switch (verb) {
      case "launch" -> {
        launched.add(name);
        tasks.put(
            name,
            MessageBody.of().with("shard", name).with("try", attempt).with("phase", "running"));
      }
      case "halt" -> tasks.computeIfPresent(name, (number, task) -> exited(task, "stopped"));
      default -> tasks.remove(name);
    }
  }

  private static MessageBody exited(MessageBody task, String cause) {
    return MessageBody.of()
        .with("shard", task.get("shard"))
        .with("try", task.get("try"))
        .with("phase", "exited")
        .with("cause", cause);
  }

  private void runWorkerUntil(BooleanSupplier condition) throws IOException {
    for (int ms = 0; ms < TIMEOUT_MS && !condition.getAsBoolean(); ms += 100) {
      sendHeartbeat();
      if (tasksComplete) {
        tasks.replaceAll(
            (number, task) -> "running".equals(task.get("phase")) ? exited(task, "done") : task);
      }
      runFor(100);
    }
    assertTrue(condition.getAsBoolean(), "launched " + launched);
  }

  @Test
  void dependencyChainRunsInOrderWhenCompletionAnswerIsLost() throws IOException {
    submitUntilAccepted(2, 1);
    submitUntilAccepted(3, 2);
    runWorkerUntil(() -> launched.contains(id(1) + "/0"));
    assertEquals(List.of(id(1) + "/0"), launched);
    loseAnswerFor = "over/" + id(1);
    tasksComplete = true;
    runWorkerUntil(() -> finalPhase(3) != null);
    assertEquals(List.of(id(1) + "/0", id(2) + "/0", id(3) + "/0"), launched);
    assertEquals("DONE", finalPhase(3));
    assertTrue(store.value("over/" + id(1)).data().get("endedAt") instanceof Long);
  }

  /**
   * Guards against launching a dependent job if the cancellation of its dependency is recorded
   * while the leader's write of the completion is in flight.
   */
  @Test
  void dependentJobIsCancelledWhenCancellationPrecedesCompletion() throws IOException {
    submitUntilAccepted(2, 1);
    runWorkerUntil(() -> !tasks.isEmpty());
    delayWriteOf = "over/" + id(1);
    tasksComplete = true;
    runWorkerUntil(() -> delayedWrite != null);
    cancel(1);
    assertEquals("cancelled", body.get("phase"));
    delayedWrite.run();
    runWorkerUntil(() -> finalPhase(2) != null);
    assertEquals("CANCELLED", finalPhase(2));
    assertFalse(launched.contains(id(2) + "/0"));
  }

  /** Guards against an incomplete cascade if an answer is lost and a write is delayed. */
  @Test
  void cancellationCascadesThroughWholePipeline() throws IOException {
    submitUntilAccepted(2, 1);
    for (int i = 3; i <= 20; i++) {
      submitUntilAccepted(i, i % 2 == 0 ? i - 1 : 1);
    }
    loseAnswerFor = "over/" + id(4);
    delayWriteOf = "over/" + id(9);
    cancel(1);
    runWorkerUntil(() -> finalPhase(20) != null && finalPhase(9) != null);
    delayedWrite.run();
    for (int i = 1; i <= 20; i++) {
      assertEquals("CANCELLED", finalPhase(i), id(i));
      assertNull(store.value("live/" + id(i)));
      assertEquals(200, call(user, "GET", "/submissions/" + id(i), NO_BODY));
      assertEquals("cancelled", body.get("phase"));
    }
    assertTrue(launched.stream().allMatch(name -> name.startsWith(id(1))), "" + launched);
  }

  /** Guards against losing a cascade if the leader fails right after a cancellation. */
  @Test
  void cascadeContinuesAfterFailover() throws IOException {
    submitUntilAccepted(2, 1);
    submitUntilAccepted(3, 2);
    submitUntilAccepted(4, 3);
    store.setDown(true, loop.now());
    node.cancel();
    store.setDown(false, loop.now());
    // The cancellation is recorded by another node, as it would be in a cluster.
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 2);
    node.start();
    connect();
    cancel(1);
    node.cancel();
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 3);
    node.start();
    connect();
    runWorkerUntil(() -> finalPhase(4) != null);
    for (int i = 1; i <= 4; i++) {
      assertEquals("CANCELLED", finalPhase(i), id(i));
    }
  }
}
