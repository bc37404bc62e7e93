package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
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
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong answers of a single node in normal operation, outages, restarts and process
 * pauses.
 */
public class ControllerNodeTest {
  private static final byte[] NO_BODY = new byte[0];

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private static final KeyValueLimits LIMITS = new KeyValueLimits(1000, 1000, 8, 8);

  private final Root root = new Root();
  private EmulatedKeyValueStore store;

  /** Key whose next put is executed but never answered. */
  private String loseAnswerFor;

  /** Key whose next put is not answered and executed later, by {@link #delayedWrite}. */
  private String delayWriteOf;

  private Runnable delayedWrite;

  /** Whether the store refuses the reads by which a new leader starts. */
  private boolean leaderReadsRefused;

  /** Whether the store refuses to list live jobs. */
  private boolean liveListsRefused;

  /** Offset of both clocks of the node, in milliseconds. */
  private long clockOffsetMs;

  /** Additional offset of the node's wall clock, in milliseconds. */
  private long wallClockOffsetMs;

  /** Whether the cloud refuses to list machine types. */
  private boolean machineTypesRefused;

  private EventLoop loop;
  private PlatformSettings settings;
  private ControllerNode node;
  private HttpClient user;
  private int status;
  private int retryAfterS;
  private MessageBody body;

  @BeforeEach
  void start() throws IOException, ConfigException {
    loop =
        new EventLoop(
            () -> System.nanoTime() + clockOffsetMs * 1_000_000,
            () -> System.currentTimeMillis() + clockOffsetMs + wallClockOffsetMs);
    EmulatedEnvironment environment = new EmulatedEnvironment(loop, LIMITS);
    store = environment.store;
    String address = environment.serve(loop, injectFaults(environment.handler()));
    settings = PlatformSettings.parse(PlatformSettingsTest.SETTINGS.replace("10.9.9.9:1", address));
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 1);
    node.start();
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    call("GET", "/healthz", NO_BODY);
    assertEquals(200, status);
    for (int i = 0; i < 200 && submit("req-000001", "red") == 503; i++) {
      // The machine types are not known yet.
      runFor(20);
    }
    assertEquals(201, status);
  }

  /**
   * Injects store faults. Only the answer to the transaction is lost, not that to a watch that is
   * open at the same time.
   */
  private HttpServer.Handler injectFaults(HttpServer.Handler delegate) {
    return (method, target, request, answer) -> {
      boolean refused =
          (machineTypesRefused && target.startsWith(Wire.PATH_TYPES))
              || (leaderReadsRefused && target.contains("prefix=fleet"))
              || (liveListsRefused && target.contains("prefix=live/&"));
      if (refused) {
        answer.accept(HttpResponse.empty(503));
        return;
      }
      if (delayWriteOf != null
          && target.equals(Wire.PATH_TRANSACTION)
          && puts(request, delayWriteOf)) {
        delayWriteOf = null;
        delayedWrite = () -> delegate.handle(method, target, request, reply -> {});
        return;
      }
      String key = loseAnswerFor;
      boolean answerMayBeLost =
          target.equals(Wire.PATH_TRANSACTION) && key != null && store.value(key) == null;
      delegate.handle(
          method,
          target,
          request,
          reply -> {
            if (answerMayBeLost && store.value(key) != null) {
              loseAnswerFor = null;
            } else {
              answer.accept(reply);
            }
          });
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

  @AfterEach
  void cancelRoutines() {
    node.cancel();
    root.cancel();
  }

  private int call(String method, String path, byte[] request) throws IOException {
    status = -1;
    user.call(
        method,
        path,
        request,
        TimeSpan.seconds(10),
        answer -> {
          status = answer.status();
          retryAfterS = answer.retryAfterS();
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

  private int submit(String id, String team) throws IOException {
    return call("POST", "/submissions", MessagePackCodec.encode(submission(id, team)));
  }

  /** Returns the body of a submission. */
  public static MessageBody submission(String id, String team) {
    return MessageBody.of()
        .with("id", id)
        .with("lane", "c")
        .with("crew", team)
        .with("shape", "array")
        .with("urgency", "normal")
        .with("shards", 2)
        .with("cores", 2.0)
        .with("gpus", 0.0)
        .with("ramGb", 1.0)
        .with("bundle", "i")
        .with("sizeGb", 1.0)
        .with("together", false)
        .with("apart", false)
        .with("loaners", true)
        .with("expectS", 10.0)
        .with("snapshotS", 0.0)
        .with("flushS", 0.0);
  }

  @Test
  void jobStatusFollowsSubmissionAndCancellation() throws IOException {
    assertEquals(200, submit("req-000001", "red"), "known job");
    assertEquals(200, submit("req-000001", "nobody"), "known job is not validated again");
    assertEquals(200, call("GET", "/submissions/req-000001", NO_BODY));
    assertEquals("pending", body.get("phase"));
    assertEquals(404, call("GET", "/submissions/req-000009", NO_BODY));
    assertEquals(404, call("POST", "/submissions/req-000009/withdraw", NO_BODY));
    assertEquals(200, call("POST", "/submissions/req-000001/withdraw", NO_BODY));
    assertEquals("cancelled", body.get("phase"));
    assertEquals(200, call("POST", "/submissions/req-000001/withdraw", NO_BODY));
    assertEquals(200, submit("req-000001", "red"));
    assertEquals("cancelled", body.get("phase"), "cancelled job stays cancelled");
    assertTrue(store.value("over/req-000001") != null);
    assertTrue(store.value("live/req-000001") == null);
  }

  @Test
  void invalidSubmissionIsRefusedWithReason() throws IOException {
    assertEquals(422, submit("req-000002", "nobody"));
    assertNotNull(body.get("error"));
    assertEquals(400, call("POST", "/submissions", new byte[] {1, 2, 3}));
    MessageBody tooLarge = submission("req-000003", "red").with("cores", 9.0);
    assertEquals(422, call("POST", "/submissions", MessagePackCodec.encode(tooLarge)));
    assertRefusedFor("cores, gpus, ramGb");
    MessageBody unknownType = submission("req-000015", "red").with("rigs", List.of("sledge"));
    assertEquals(422, call("POST", "/submissions", MessagePackCodec.encode(unknownType)));
    assertRefusedFor("rigs");
    MessageBody gang = submission("req-000004", "red").with("shape", "gang");
    assertEquals(400, call("POST", "/submissions", MessagePackCodec.encode(gang)));
    MessageBody tooManyTasks =
        submission("req-000010", "red").with("shape", "daemon").with("shards", 21);
    assertEquals(
        422,
        call("POST", "/submissions", MessagePackCodec.encode(tooManyTasks)),
        "42 cores exceed the limit of 40");
    MessageBody unknownZone = submission("req-000011", "red").with("yard", "moon");
    assertEquals(422, call("POST", "/submissions", MessagePackCodec.encode(unknownZone)));
    assertRefusedFor("yard");
    MessageBody pastDeadline = submission("req-000012", "red").with("dueS", -1.0);
    assertEquals(400, call("POST", "/submissions", MessagePackCodec.encode(pastDeadline)));
    assertEquals("dueS: out of range", body.get("error"));
    byte[] complete = MessagePackCodec.encode(submission("req-000013", "red"));
    assertEquals(400, call("POST", "/submissions", Arrays.copyOf(complete, complete.length - 1)));
    assertEquals(413, call("POST", "/submissions", new byte[64 * 1024 + 1]));
    MessageBody tooLong = submission("req-000014", "red").with("bundle", "x".repeat(9000));
    assertEquals(400, call("POST", "/submissions", MessagePackCodec.encode(tooLong)));
    assertEquals(405, call("GET", "/submissions", NO_BODY));
    assertEquals(404, call("GET", "/nothing", NO_BODY));
  }

  private int submitAwaiting(String id, Object awaits) throws IOException {
    MessageBody submission = submission(id, "red").with("awaits", awaits);
    return call("POST", "/submissions", MessagePackCodec.encode(submission));
  }

  @Test
  void dependenciesAreValidatedAndCancellationCascades() throws IOException {
    assertEquals(201, submitAwaiting("req-000002", List.of("req-000001")));
    assertEquals("pending", body.get("phase"));
    assertEquals(422, submitAwaiting("req-000003", List.of("req-000002", "req-000009")));
    assertEquals("awaits: req-000009 was never accepted", body.get("error"));
    assertEquals(404, call("GET", "/submissions/req-000003", NO_BODY));
    assertEquals(400, submitAwaiting("req-000003", List.of("req-000003")));
    assertEquals("awaits: the job itself", body.get("error"));
    assertEquals(200, submitAwaiting("req-000002", List.of("req-000009")), "known job");
    assertEquals(
        200,
        submitAwaiting("req-000002", List.of("req-000002")),
        "known job is not validated again");
    MessageBody service = submission("req-000004", "red").with("shape", "daemon");
    byte[] dependentService =
        MessagePackCodec.encode(service.with("awaits", List.of("req-000001")));
    assertEquals(
        201, call("POST", "/submissions", dependentService), "a service may have dependencies");

    assertEquals(200, call("POST", "/submissions/req-000001/withdraw", NO_BODY));
    assertEquals(201, submitAwaiting("req-000005", List.of("req-000001")));
    assertEquals("cancelled", body.get("phase"));
    assertEquals(200, submitAwaiting("req-000005", List.of("req-000001")));
    assertEquals("cancelled", body.get("phase"));
    assertEquals(201, submitAwaiting("req-000006", List.of("req-000005")), "transitive dependency");
    assertEquals("cancelled", body.get("phase"));
    store.setDown(true, loop.now());
    assertEquals(
        503,
        submitAwaiting("req-000007", List.of("req-000009")),
        "unknown dependency cannot be confirmed");
  }

  private void assertRefusedFor(String fields) {
    assertTrue(body.get("error").toString().startsWith(fields + ": "), body.toString());
  }

  /** Guards against an error that does not name the missing field. */
  @Test
  void missingFieldIsNamedInError() throws IOException {
    MessageBody complete = submission("req-000016", "red");
    for (String field : complete.fields().keySet()) {
      MessageBody incomplete = submission("req-000016", "red");
      incomplete.fields().remove(field);
      assertEquals(400, call("POST", "/submissions", MessagePackCodec.encode(incomplete)), field);
      assertRefusedFor(field);
    }
    assertEquals(404, call("GET", "/submissions/req-000016", NO_BODY));
  }

  /** Guards against refusing a repeated submission of a known job because of its content. */
  @Test
  void knownJobIsNotValidatedAgain() throws IOException {
    MessageBody tooLong = submission("req-000001", "red").with("bundle", "x".repeat(9000));
    MessageBody incomplete = submission("req-000001", "red").with("cores", "many");
    MessageBody huge = submission("req-000001", "red").with("cores", 900.0);
    MessageBody service = submission("req-000001", "red").with("lane", "service/x");
    for (MessageBody variant : List.of(tooLong, incomplete, huge, service)) {
      assertEquals(
          200, call("POST", "/submissions", MessagePackCodec.encode(variant)), variant.toString());
    }
    assertEquals(200, call("POST", "/submissions/req-000001/withdraw", NO_BODY));
    restart(1);
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    for (MessageBody variant : List.of(tooLong, incomplete, huge, service)) {
      assertEquals(
          200, call("POST", "/submissions", MessagePackCodec.encode(variant)), variant.toString());
      assertEquals("cancelled", body.get("phase"));
    }
  }

  /**
   * Guards against controllers that cannot validate submissions if all restart while the cloud is
   * unavailable.
   */
  @Test
  void machineTypesAreRecorded() throws IOException {
    for (int i = 0; i < 200 && store.value("types") == null; i++) {
      runFor(20);
    }
    assertNotNull(store.value("types"));
  }

  /**
   * Guards against reporting a job as live after an outage if its dependency was cancelled before.
   */
  @Test
  void jobIsNotReportedLiveAfterOutageUntilRecordsAreChecked() throws IOException {
    assertEquals(201, submitAwaiting("req-000002", List.of("req-000001")));
    assertEquals(200, call("GET", "/submissions/req-000002", NO_BODY));
    store.setDown(true, loop.now());
    liveListsRefused = true;
    clockOffsetMs += 60_000;
    runFor(100);
    store.setDown(false, loop.now());
    boolean barrierSeen = false;
    for (int i = 0; i < 20; i++) {
      assertEquals(503, call("GET", "/submissions/req-000002", NO_BODY));
      barrierSeen |= "whether it depends on a cancelled job can't be told now".equals(error());
      runFor(50);
    }
    assertTrue(barrierSeen);
    liveListsRefused = false;
    for (int i = 0; i < 200 && call("GET", "/submissions/req-000002", NO_BODY) == 503; i++) {
      runFor(20);
    }
    assertEquals(200, status);
    assertEquals("pending", body.get("phase"));
  }

  private Object error() {
    return body == null ? null : body.get("error");
  }

  /**
   * Guards against wrong validation after a restart while the cloud is unavailable: without
   * recorded types, submissions are answered with 503.
   */
  @Test
  void recordedTypesAreUsedWhileCloudIsUnavailable() throws IOException, InvalidMessageException {
    for (int i = 0; i < 200 && store.value("types") == null; i++) {
      runFor(20);
    }
    machineTypesRefused = true;
    restart(1);
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    for (int i = 0; i < 200 && submit("req-000017", "red") == 503; i++) {
      runFor(20);
    }
    assertEquals(201, status, "accepted by the recorded types");
    MessageBody unknownZone = submission("req-000018", "red").with("yard", "moon");
    assertEquals(422, call("POST", "/submissions", MessagePackCodec.encode(unknownZone)));
    store.commit(
        MessagePackCodec.decode(
            MessagePackCodec.encode(
                MessageBody.of()
                    .with(Wire.GUARDS, List.of())
                    .with(Wire.WRITES, List.of(MessageBody.of().with(Wire.DELETE, "types"))))));
    restart(2);
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    runFor(200);
    for (MessageBody variant : List.of(unknownZone, submission("req-000019", "red"))) {
      assertEquals(503, call("POST", "/submissions", MessagePackCodec.encode(variant)));
      assertEquals(1, retryAfterS);
    }
    assertEquals(200, submit("req-000017", "red"), "known job");
  }

  @Test
  void unknownStateIsNotReportedDuringOutage() throws IOException {
    assertEquals(200, call("POST", "/submissions/req-000001/withdraw", NO_BODY));
    assertEquals(201, submit("req-000005", "red"));
    store.setDown(true, loop.now());
    assertEquals(503, submit("req-000006", "red"));
    assertEquals(503, submit("req-000005", "nobody"), "neither 200 nor 422 is certain");
    assertEquals(400, call("POST", "/submissions", new byte[] {1, 2, 3}));
    assertEquals(400, submit("no id", "red"));
    assertEquals(503, call("POST", "/submissions/req-000005/withdraw", NO_BODY));
    assertEquals(503, call("POST", "/submissions/req-000007/withdraw", NO_BODY));
    assertEquals(503, call("GET", "/submissions/req-000005", NO_BODY));
    assertEquals(503, call("GET", "/submissions/req-000007", NO_BODY), "404 is not certain");
    assertEquals(
        200, call("GET", "/submissions/req-000001", NO_BODY), "a final state never changes");
    assertEquals("cancelled", body.get("phase"));
    store.setDown(false, loop.now());
    while (submit("req-000006", "red") == 503) {
      assertTrue(store.size() < 100);
    }
    assertEquals(201, status);
  }

  /**
   * Guards against a restarted leader that waits for its former lease, here longer than the test,
   * instead of taking over its own leader key.
   */
  @Test
  void restartedLeaderTakesOverItsOwnKey() throws IOException {
    Object formerNonce = awaitOtherLeader(null, 200);
    for (int restartNumber = 1; restartNumber <= 2; restartNumber++) {
      restart(restartNumber);
      formerNonce = awaitOtherLeader(formerNonce, 200);
      assertNotNull(formerNonce);
      assertEquals(restartNumber + 1L, store.value("lead").data().get("term"), "new term");
    }
    // A process that keeps failing does not take over its key, so that other nodes can lead.
    restart(3);
    assertNull(awaitOtherLeader(formerNonce, 20));
    // A process that led for a minute before it failed may take over its key.
    wallClockOffsetMs += 60_000;
    restart(4);
    assertNotNull(awaitOtherLeader(formerNonce, 200));
  }

  /**
   * Guards against renewing a worker's lease before the leader has read the records and knows which
   * tasks were cancelled. The heartbeat is held until then.
   */
  @Test
  void heartbeatIsNotAnsweredBeforeRecordsAreRead() throws IOException {
    Object formerNonce = awaitOtherLeader(null, 200);
    leaderReadsRefused = true;
    restart(1);
    assertNotNull(awaitOtherLeader(formerNonce, 200));
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    byte[] heartbeat = MessagePackCodec.encode(heartbeat(1));
    assertEquals(503, call("POST", "/checkin", heartbeat));
    assertEquals(400, call("POST", "/checkin", Arrays.copyOf(heartbeat, 40)), "invalid heartbeat");
    assertEquals(405, call("GET", "/checkin", NO_BODY));
    loop.schedule(TimeSpan.millis(200), root, () -> leaderReadsRefused = false);
    assertEquals(200, call("POST", "/checkin", heartbeat));
    assertEquals(2L, body.get("baton"));
  }

  static MessageBody heartbeat(long fencingToken) {
    return MessageBody.of()
        .with("host", "vm-1")
        .with("addr", "10.1.0.9:9000")
        .with("rig", "box")
        .with("yard", "a")
        .with("loaners", true)
        .with("shift", 1L)
        .with("tick", 1L)
        .with("baton", fencingToken)
        .with("shards", List.of());
  }

  /**
   * Guards against a second term if an attempt to acquire leadership is executed only after the
   * controller has retried it successfully.
   */
  @Test
  void delayedLeadershipWriteHasNoEffect() throws IOException {
    Object formerNonce = awaitOtherLeader(null, 200);
    delayWriteOf = "lead";
    restart(1);
    assertNotNull(awaitOtherLeader(formerNonce, 300));
    KeyValueStore.Value leaderKey = store.value("lead");
    long term = (Long) store.value("term").data().get("term");
    delayedWrite.run();
    runFor(200);
    assertEquals(leaderKey.modRevision(), store.value("lead").modRevision());
    assertEquals(term, store.value("term").data().get("term"));
    user = new HttpClient(root, loop, Addresses.parse("127.0.0.1:" + node.port()), 4, 16);
    assertEquals(200, call("POST", "/checkin", MessagePackCodec.encode(heartbeat(term))));
    assertEquals(term, body.get("baton"));
  }

  /** Guards against a delayed write that replaces a later override by an operator. */
  @Test
  void delayedOverrideDoesNotReplaceLaterOne() throws IOException {
    byte[] front = MessagePackCodec.encode(MessageBody.of().with("lane", "front"));
    delayWriteOf = "plan/order/req-000001";
    assertEquals(503, call("POST", "/queue/req-000001", front));
    assertEquals(200, call("POST", "/queue/req-000001", front));
    KeyValueStore.Value recordedOverride = store.value("plan/order/req-000001");
    delayedWrite.run();
    assertEquals(
        recordedOverride.modRevision(), store.value("plan/order/req-000001").modRevision());
  }

  private void restart(long seed) throws IOException {
    node.cancel();
    node = new ControllerNode(loop, settings, OperatorSettings.defaults(), 1 + seed);
    node.start();
  }

  private Object awaitOtherLeader(Object nonce, int maxChecks) throws IOException {
    for (int i = 0; i < maxChecks; i++) {
      KeyValueStore.Value leaderKey = store.value("lead");
      if (leaderKey != null && !leaderKey.data().get("nonce").equals(nonce)) {
        return leaderKey.data().get("nonce");
      }
      runFor(20);
    }
    return null;
  }

  /**
   * Guards against serving requests queued during a process pause, whose senders have timed out,
   * before current ones.
   */
  @Test
  void requestsQueuedDuringProcessPauseAreRefused() throws IOException {
    assertEquals(200, call("GET", "/submissions/req-000001", NO_BODY));
    clockOffsetMs += 6_000;
    assertEquals(503, call("GET", "/submissions/req-000001", NO_BODY));
    assertEquals("it came while this controller stood still", body.get("error"));
    assertEquals(200, call("GET", "/healthz", NO_BODY));
    for (int i = 0; i < 200 && call("GET", "/submissions/req-000001", NO_BODY) == 503; i++) {
      runFor(20);
    }
    assertEquals(200, status);
  }

  /**
   * Guards against reporting a write as failed if only its answer was lost. On a stalled machine
   * the user may get 503 and retry.
   */
  @Test
  void writeWithLostAnswerIsConfirmed() throws IOException {
    loseAnswerFor = "live/req-000008";
    for (int i = 0; i < 50 && submit("req-000008", "red") == 503; i++) {
      assertNotNull(store.value("live/req-000008"), "write was executed");
    }
    assertEquals(200, status, "known since the first attempt");
    assertEquals("pending", body.get("phase"));
  }
}
