package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against repeating a leader's write, or taking it for another controller's, if the write is
 * executed but its answer is lost. Covers leadership, the machine ledger, launch intents and job
 * completion.
 */
class LostWriteAnswersTest {
  private static final String JOB = "req-000001";
  private static final int MAX_POLLS = 600;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();

  /** Number of answers still to be lost, by the prefix of the keys that a transaction puts. */
  private final Map<String, Integer> answersToLose = new HashMap<>();

  private final Map<String, Integer> lostAnswers = new HashMap<>();

  /** Tasks that the worker reports, by name. */
  private final Map<String, MessageBody> tasks = new LinkedHashMap<>();

  private final List<String> launched = new ArrayList<>();
  private EventLoop loop;
  private EmulatedKeyValueStore store;
  private ControllerNode node;
  private HttpClient client;
  private long fencingToken;
  private long heartbeatNumber;
  private int status;
  private MessageBody body;

  @BeforeEach
  void createLoop() throws IOException {
    loop = new EventLoop();
  }

  @AfterEach
  void cancelRoutines() {
    node.cancel();
    root.cancel();
  }

  private void startNode() throws IOException, ConfigException {
    EmulatedEnvironment environment =
        new EmulatedEnvironment(loop, new KeyValueLimits(1000, 1000, 8, 8));
    store = environment.store;
    String address = environment.serve(loop, loseAnswers(environment.handler()));
    PlatformSettings settings =
        PlatformSettings.parse(PlatformSettingsTest.SETTINGS.replace("10.9.9.9:1", address));
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 1);
    node.start();
    client = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
  }

  private HttpServer.Handler loseAnswers(HttpServer.Handler delegate) {
    return (method, target, request, answer) -> {
      String prefix = target.equals(Wire.PATH_TRANSACTION) ? prefixToLose(request) : null;
      delegate.handle(
          method,
          target,
          request,
          reply -> {
            boolean loseAnswer = prefix != null && reply.status() == 200;
            if (loseAnswer) {
              answersToLose.merge(prefix, -1, Integer::sum);
              lostAnswers.merge(prefix, 1, Integer::sum);
            } else {
              answer.accept(reply);
            }
          });
    };
  }

  private String prefixToLose(byte[] transaction) {
    try {
      for (MessageBody write : MessagePackCodec.decode(transaction).maps(Wire.WRITES)) {
        for (Map.Entry<String, Integer> entry : answersToLose.entrySet()) {
          if (entry.getValue() > 0
              && write.get(Wire.PUT) instanceof String key
              && key.startsWith(entry.getKey())) {
            return entry.getKey();
          }
        }
      }
      return null;
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private int call(String method, String path, byte[] request) throws IOException {
    status = -1;
    client.call(
        method,
        path,
        request,
        TimeSpan.seconds(10),
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

  private void runFor(long ms) throws IOException {
    loop.schedule(TimeSpan.millis(ms), root, loop::pause);
    loop.run();
  }

  /** Sends one worker heartbeat and executes the commands; launched tasks complete immediately. */
  private void sendHeartbeat() throws IOException, InvalidMessageException {
    MessageBody heartbeat =
        ControllerNodeTest.heartbeat(fencingToken)
            .with("tick", ++heartbeatNumber)
            .with("shards", List.copyOf(tasks.values()));
    if (call("POST", "/checkin", MessagePackCodec.encode(heartbeat)) != 200) {
      return;
    }
    fencingToken = body.integer("baton");
    for (MessageBody command : body.maps("orders")) {
      String task = command.text("shard");
      if (command.text("verb").equals("launch") && !tasks.containsKey(task)) {
        launched.add(task);
        tasks.put(
            task,
            MessageBody.of()
                .with("shard", task)
                .with("try", command.integer("try"))
                .with("phase", "exited")
                .with("cause", "done"));
      } else if (command.text("verb").equals("clear")) {
        tasks.remove(task);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"lead", "fleet/", "progress/", "over/", "lead fleet/ progress/ over/"})
  void writeWithLostAnswerTakesEffectOnce(String prefixes)
      throws IOException, ConfigException, InvalidMessageException {
    for (String prefix : prefixes.split(" ")) {
      answersToLose.put(prefix, prefix.equals("lead") ? 1 : 2);
    }
    startNode();
    byte[] job = MessagePackCodec.encode(ControllerNodeTest.submission(JOB, "red"));
    for (int i = 0; i < MAX_POLLS && call("POST", "/submissions", job) != 201; i++) {
      runFor(20);
    }
    assertEquals(201, status);
    for (int i = 0; i < MAX_POLLS && store.value("over/" + JOB) == null; i++) {
      sendHeartbeat();
      runFor(50);
    }
    // A lost answer is noticed only after the request timeout.
    for (int i = 0; i < 60; i++) {
      sendHeartbeat();
      runFor(50);
    }
    for (String prefix : prefixes.split(" ")) {
      assertTrue(
          lostAnswers.getOrDefault(prefix, 0) > 0, "no answer was lost for prefix " + prefix);
    }
    assertNotNull(store.value("over/" + JOB));
    assertEquals(200, call("GET", "/submissions/" + JOB, new byte[0]));
    assertEquals("done", body.get("phase"));
    assertEquals(List.of(JOB + "/0", JOB + "/1"), launched.stream().sorted().toList());
    assertEquals(Map.of(), tasks, "recorded results are cleared");
    assertEquals(1L, store.value("term").data().get("term"), "leadership is acquired once");
    assertEquals(1L, fencingToken);
  }
}
