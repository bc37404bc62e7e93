package io.saltflow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.broker.AmqpSettings;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.QueueSettings;
import io.saltflow.controller.OptionalInterfaces;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.FreePorts;
import io.saltflow.transport.LoopThread;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** saltflow on one machine, and a user at the command line before it. */
class LocalClusterTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream said = new ByteArrayOutputStream();
  private EventLoop loop;
  private LocalCluster local;
  private LoopThread thread;

  private void start(Path data) throws IOException, ConfigException, InterruptedException {
    start(data, OperatorSettings.defaults());
  }

  private void start(Path data, OperatorSettings operator)
      throws IOException, ConfigException, InterruptedException {
    loop = new EventLoop();
    LocalCluster.Options options =
        new LocalCluster.Options(Addresses.parse("127.0.0.1:0"), 2, data);
    local = new LocalCluster(loop, options, operator, new OptionalInterfaces(queues(), true), 1);
    boolean[] ready = new boolean[1];
    local.start(
        () -> {
          ready[0] = true;
          loop.pause();
        });
    loop.run();
    assertTrue(ready[0]);
    thread = LoopThread.start(loop, local);
  }

  private static AmqpSettings queues() throws ConfigException {
    return QueueSettings.localDefaults().withListen(Addresses.parse("127.0.0.1:0"));
  }

  @AfterEach
  void end() throws InterruptedException {
    if (thread != null) {
      thread.stop();
    }
  }

  private int run(String input, String command, String... arguments) {
    said.reset();
    PrintStream out = new PrintStream(said, true, StandardCharsets.UTF_8);
    String[] all = new String[arguments.length + 2];
    System.arraycopy(arguments, 0, all, 0, arguments.length);
    all[arguments.length] = "--server";
    all[arguments.length + 1] = "127.0.0.1:" + (local == null ? 9 : local.port());
    byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
    return new JobCommands(new ByteArrayInputStream(bytes), out, out).run(command, all);
  }

  private String said() {
    return said.toString(StandardCharsets.UTF_8).trim();
  }

  @Test
  void aJobIsSubmittedAndDoneAndOutlivesARestart() throws Exception {
    start(folder);
    assertEquals(0, run("{\"cores\": 2, \"expectS\": 0.2, \"shards\": 3}", "submit", "-"));
    String id = said();
    assertEquals(0, run("", "watch", id));
    assertTrue(said().endsWith("done: 3 done, 0 running"), said());
    String two =
        "[{\"id\": \"req-7\", \"cores\": 1, \"expectS\": 1, \"bundle\": \"stand-in/hang\"},";
    assertEquals(1, run(two + "{\"cores\": 99, \"expectS\": 1}]", "submit", "-"));
    assertTrue(said().contains("req-7") && said().contains("fits no allowed machine"), said());
    end();
    start(folder);
    assertEquals(0, run("", "status", id, "--json"));
    assertEquals("{\"id\":\"" + id + "\",\"phase\":\"done\",\"done\":3,\"running\":0}", said());
    assertEquals(0, run("", "status", "req-7"));
    assertEquals(0, run("", "cancel", "req-7"));
    assertEquals(ExitCodes.CANCELLED, run("", "watch", "req-7"));
    assertEquals(ExitCodes.UNKNOWN, run("", "status", "req-8"));
  }

  private int runScheduling(String command, String... arguments) {
    said.reset();
    PrintStream out = new PrintStream(said, true, StandardCharsets.UTF_8);
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--server", "127.0.0.1:" + local.port()));
    return new SchedulingCommands(out, out).run(command, all.toArray(new String[0]));
  }

  /** The queue says so in the end: rounds and records take a moment. */
  private void queueSays(String pattern) throws InterruptedException {
    says(pattern, "queue");
  }

  private void says(String pattern, String... command) throws InterruptedException {
    for (int i = 0; i < 150 && !said().matches("(?s).*" + pattern + ".*"); i++) {
      Thread.sleep(200);
      runScheduling(command[0], Arrays.copyOfRange(command, 1, command.length));
    }
    assertTrue(said().matches("(?s).*" + pattern + ".*"), said());
  }

  /** Lanes, a job put in front, and a daily deadline: the same after a restart. */
  @Test
  void theOrderOfWorkOutlivesARestart() throws Exception {
    LocalTime now = LocalTime.now(ZoneOffset.UTC);
    Path settings =
        Files.writeString(
            folder.resolve("ops.json"),
            String.format(
                "{\"lanes\": [{\"name\": \"look-ups\", \"classes\": [\"warrant\"]},"
                    + " {\"name\": \"bulk\"}], \"readiness\": [{\"queue\": \"chapters\","
                    + " \"classes\": [\"pages\"], \"opens\": \"%s\", \"by\": \"%s\","
                    + " \"zone\": \"UTC\"}]}",
                form(now.minusHours(1)), form(now.plusMinutes(20))));
    OperatorSettings operator = OperatorSettings.read(settings);
    Path data = folder.resolve("data");
    start(data, operator);
    String hangs = "{\"id\": \"req-1\", \"lane\": \"pages\", \"shards\": 40, \"cores\": 4,";
    hangs += " \"expectS\": 500, \"bundle\": \"stand-in/hang\"}";
    assertEquals(0, run(hangs, "submit", "-"));
    for (int n = 2; n <= 4; n++) {
      String lane = n == 4 ? "warrant" : "pages";
      String job = "{\"id\": \"req-" + n + "\", \"lane\": \"" + lane + "\", \"cores\": 4,";
      assertEquals(0, run(job + " \"expectS\": 500, \"shards\": 40}", "submit", "-"));
    }
    queueSays("look-ups: 1 jobs.*req-4.*bulk: 3 jobs.*req-1,.*req-2,.*req-3,");
    assertEquals(0, runScheduling("lane", "req-3", "front"));
    queueSays("bulk: 3 jobs.*req-3,.*moved by an operator.*req-1,.*req-2,");
    assertEquals(ExitCodes.UNKNOWN, runScheduling("lane", "req-77", "front"));
    assertEquals(ExitCodes.REFUSED, runScheduling("lane", "req-3", "nowhere"));
    assertEquals(0, runScheduling("moves"));
    end();
    start(data, operator);
    queueSays("look-ups: 1 jobs.*req-4.*bulk: 3 jobs.*req-3,.*req-1,.*req-2,");
    says("chapters, due .*: 0 of 3 ready, .* min left.*", "ready", "chapters");
    assertEquals(ExitCodes.UNKNOWN, runScheduling("ready", "nothing"));
  }

  private static String form(LocalTime time) {
    return time.format(DateTimeFormatter.ofPattern("HH:mm"));
  }

  private int operate(String command, String... arguments) {
    said.reset();
    PrintStream out = new PrintStream(said, true, StandardCharsets.UTF_8);
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--server", "127.0.0.1:" + local.port()));
    return new ServiceCommands(out, out).run(command, all.toArray(new String[0]));
  }

  /** A broken build is taken back by its gate; the process is killed in mid rollout and goes on. */
  @Test
  void aServiceIsRolledOutAndABrokenBuildRolledBack() throws Exception {
    Path service =
        Files.writeString(
            folder.resolve("service.json"),
            "{\"name\": \"thumbs\", \"replicas\": 2, \"cores\": 1, \"bundle\": \"v1\"}");
    Path plan =
        Files.writeString(
            folder.resolve("plan.json"),
            "{\"settleS\": 0.5, \"limitS\": 60, \"gate\": \"ready >= 95% for 1s\","
                + " \"stop\": \"failures(1m) >= 2\","
                + " \"steps\": [{\"count\": 1, \"approval\": true}, {\"percent\": 100}]}");
    Path data = folder.resolve("data");
    start(data);
    assertEquals(0, operate("service", "apply", service.toString()), said());
    assertEquals(0, operate("rollout", "start", "thumbs", "v2", "--plan", plan.toString()), said());
    awaitPhase("approval");
    end();
    start(data);
    assertEquals(0, operate("rollout", "approve", "thumbs"), said());
    assertEquals(0, operate("rollout", "watch", "thumbs"), said());
    assertTrue(said().endsWith("version 2 (v2); roll-out to version 2: step 2 of 2, done"), said());
    assertEquals(
        0,
        operate("rollout", "start", "thumbs", "stand-in/error", "--plan", plan.toString()),
        said());
    assertEquals(ExitCodes.REFUSED, operate("rollout", "start", "thumbs", "v4"), said());
    assertEquals(ExitCodes.ROLLED_BACK, operate("rollout", "watch", "thumbs"), said());
    assertTrue(said().contains("Step 1 was stopped: failures(1m) >= 2; failures(1m) is 2"), said());
    assertEquals(0, operate("service", "show", "thumbs", "--json"));
    assertTrue(said().contains("\"serving\":2"), said());
    assertEquals(0, operate("rollout", "history", "thumbs"));
    assertTrue(said().startsWith("Version 2 (v2) took over from version 1."), said());
    assertEquals(ExitCodes.REFUSED, operate("rollout", "undo", "thumbs"), "it was taken back");
    assertTrue(said().contains("it serves already"), said());
  }

  /** Replicas that are probed: one that is ill, one that answers slowly, and one that is well. */
  @Test
  void probesDecideWhetherAVersionGoesOut() throws Exception {
    Path service =
        Files.writeString(
            folder.resolve("service.json"),
            "{\"name\": \"web\", \"replicas\": 2, \"cores\": 1, \"bundle\": \"w1\","
                + " \"port\": "
                + FreePorts.firstOfRange(32)
                + ", \"parameters\": {\"colour\": \"red\"}}");
    Path plan =
        Files.writeString(
            folder.resolve("plan.json"),
            "{\"settleS\": 0.5, \"limitS\": 60, \"zoneByZone\": true, \"startsPerMinute\": 600,"
                + " \"gate\": \"ready >= 95% and probe(\\\"/\\\").p90 < 2s"
                + " and probe(\\\"tcp\\\").ok >= 90%\","
                + " \"stop\": \"probe(\\\"/\\\").p50 > 3s\"}");
    start(null);
    assertEquals(0, operate("service", "apply", service.toString()), said());
    String[] ill = {"start", "web", "w1", "--param", "behaves=ill", "--plan", plan.toString()};
    assertEquals(0, operate("rollout", ill), said());
    assertEquals(ExitCodes.ROLLED_BACK, operate("rollout", "watch", "web"), said());
    assertTrue(said().contains("probe(\"/\").p50 > 3s; probe(\"/\").p50 is no answer"), said());
    String[] well = {"start", "web", "w1", "--param", "colour=blue", "--plan", plan.toString()};
    assertEquals(0, operate("rollout", well), said());
    assertEquals(0, operate("rollout", "watch", "web"), said());
    assertEquals(0, operate("service", "show", "web", "--json"));
    assertTrue(said().contains("{\"colour\":\"blue\"}"), said());
    assertEquals(0, operate("rollout", "undo", "web"), said());
    assertEquals(0, operate("rollout", "abort", "web"), said());
    assertEquals(ExitCodes.USAGE, operate("rollout", "start", "web", "w2", "--param", "x"));
  }

  private void awaitPhase(String phase) throws InterruptedException {
    for (int i = 0; i < 600; i++) {
      assertEquals(0, operate("rollout", "status", "thumbs"), said());
      if (said().contains(", " + phase)) {
        return;
      }
      Thread.sleep(50);
    }
    assertTrue(false, said());
  }

  @Test
  void whatCanNeverRollOutIsRefusedWithItsReason() throws Exception {
    start(null);
    Path service =
        Files.writeString(
            folder.resolve("service.json"),
            "{\"name\": \"a\", \"replicas\": 1, \"cores\": 1, \"bundle\": \"v1\"}");
    assertEquals(0, operate("service", "apply", service.toString()), said());
    assertEquals(ExitCodes.UNKNOWN, operate("rollout", "start", "b", "v2"));
    for (String[] bad :
        new String[][] {
          {"{\"surge\": 0}", "surge and mostUnavailable are both 0"},
          {"{\"gate\": \"redy > 5%\"}", "plan: gate: column 1: nothing called 'redy'"},
          {"{\"gate\": \"probe(\\\"/\\\").p99 < 1s\"}", "probes, and the service has no port"},
          {"{\"gate\": \"probe(\\\"a b\\\").p99 < 1s\"}", "a path, or \"tcp\", is required"},
          {"{\"gate\": \"ready > 100%\"}", "the gate can never pass: ready > 100% never holds"},
          {"{\"steps\": [{\"count\": 1}, {\"count\": 1}]}", "step 2 moves nothing"},
          {"{\"step\": 1}", "plan: $: property 'step' is not defined"},
          {"{", "plan: not JSON"}
        }) {
      Path plan = Files.writeString(folder.resolve("plan.json"), bad[0]);
      assertEquals(
          ExitCodes.REFUSED,
          operate("rollout", "start", "a", "v2", "--plan", plan.toString()),
          bad[0]);
      assertTrue(said().contains(bad[1]), said());
    }
    assertEquals(ExitCodes.USAGE, operate("rollout", "dance", "a"));
    assertEquals(ExitCodes.USAGE, operate("service", "apply", folder + "/none"));
  }

  @Test
  void badInputIsNamed() throws IOException {
    assertEquals(ExitCodes.USAGE, run("{\"cores\": 1}", "submit", "-"));
    assertEquals("saltflow: expectS: is missing", said());
    assertEquals(ExitCodes.USAGE, run("{\"cores\": 1, \"expects\": 1}", "submit", "-"));
    assertEquals("saltflow: unknown field 'expects'", said());
    assertEquals(ExitCodes.USAGE, run("[{\"cores\": 1,\n\"expectS\" 1}]", "submit", "-"));
    assertTrue(said().startsWith("saltflow: not JSON: line 2, column"), said());
    assertEquals(ExitCodes.USAGE, run("[]", "submit", "-"));
    assertEquals(ExitCodes.USAGE, run("", "submit", folder.resolve("none").toString()));
    assertEquals(ExitCodes.USAGE, run("", "status", "job-1"));
    assertEquals(ExitCodes.USAGE, run("", "status"));
    assertEquals(ExitCodes.NO_ANSWER, run("", "status", "req-1", "--wait", "0"));
  }

  @Test
  void whatCannotBeginSaysWhyInOneLine() throws Exception {
    start(folder);
    String taken = "127.0.0.1:" + local.port();
    assertEquals(2, localCommand("--http", taken));
    assertTrue(said().startsWith("saltflow: can't run here: " + taken + ": "), said());
    assertEquals(2, localCommand("--http", "127.0.0.1:0", "--data", folder.toString()));
    assertTrue(said().endsWith("in use by another process"), said());
    Path file = Files.writeString(folder.resolve("file"), "");
    assertEquals(2, localCommand("--http", "127.0.0.1:0", "--data", file.toString()));
    assertEquals(2, localCommand("--machines", "0"));
    assertEquals(2, localCommand("--settings", folder.resolve("none").toString()));
    assertEquals(1, said().lines().count(), said());
  }

  private int localCommand(String... arguments) {
    said.reset();
    PrintStream out = new PrintStream(said, true, StandardCharsets.UTF_8);
    return LocalCommand.run(arguments, out, out);
  }
}
