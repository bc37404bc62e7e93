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

/** Tests the local cluster through the command line. */
class LocalClusterTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private EventLoop loop;
  private LocalCluster cluster;
  private LoopThread thread;

  private void start(Path data) throws IOException, ConfigException, InterruptedException {
    start(data, OperatorSettings.defaults());
  }

  private void start(Path data, OperatorSettings operator)
      throws IOException, ConfigException, InterruptedException {
    loop = new EventLoop();
    LocalCluster.Options options =
        new LocalCluster.Options(Addresses.parse("127.0.0.1:0"), 2, data);
    cluster = new LocalCluster(loop, options, operator, new OptionalInterfaces(queues(), true), 1);
    boolean[] ready = new boolean[1];
    cluster.start(
        () -> {
          ready[0] = true;
          loop.pause();
        });
    loop.run();
    assertTrue(ready[0]);
    thread = LoopThread.start(loop, cluster);
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
    output.reset();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    String[] all = new String[arguments.length + 2];
    System.arraycopy(arguments, 0, all, 0, arguments.length);
    all[arguments.length] = "--server";
    all[arguments.length + 1] = "127.0.0.1:" + (cluster == null ? 9 : cluster.port());
    byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
    return new JobCommands(new ByteArrayInputStream(bytes), out, out).run(command, all);
  }

  private String output() {
    return output.toString(StandardCharsets.UTF_8).trim();
  }

  @Test
  void jobsSurviveRestart() throws Exception {
    start(folder);
    assertEquals(0, run("{\"cores\": 2, \"expectS\": 0.2, \"shards\": 3}", "submit", "-"));
    String id = output();
    assertEquals(0, run("", "watch", id));
    assertTrue(output().endsWith("done: 3 done, 0 running"), output());
    String jobs =
        "[{\"id\": \"req-7\", \"cores\": 1, \"expectS\": 1, \"bundle\": \"stand-in/hang\"},";
    assertEquals(1, run(jobs + "{\"cores\": 99, \"expectS\": 1}]", "submit", "-"));
    assertTrue(
        output().contains("req-7") && output().contains("fits no allowed machine"), output());
    end();
    start(folder);
    assertEquals(0, run("", "status", id, "--json"));
    assertEquals("{\"id\":\"" + id + "\",\"phase\":\"done\",\"done\":3,\"running\":0}", output());
    assertEquals(0, run("", "status", "req-7"));
    assertEquals(0, run("", "cancel", "req-7"));
    assertEquals(ExitCodes.CANCELLED, run("", "watch", "req-7"));
    assertEquals(ExitCodes.UNKNOWN, run("", "status", "req-8"));
  }

  private int runScheduling(String command, String... arguments) {
    output.reset();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--server", "127.0.0.1:" + cluster.port()));
    return new SchedulingCommands(out, out).run(command, all.toArray(new String[0]));
  }

  /** Waits until the output of {@code queue} matches, as scheduling and recording take time. */
  private void awaitQueue(String pattern) throws InterruptedException {
    awaitOutput(pattern, "queue");
  }

  private void awaitOutput(String pattern, String... command) throws InterruptedException {
    for (int i = 0; i < 150 && !output().matches("(?s).*" + pattern + ".*"); i++) {
      Thread.sleep(200);
      runScheduling(command[0], Arrays.copyOfRange(command, 1, command.length));
    }
    assertTrue(output().matches("(?s).*" + pattern + ".*"), output());
  }

  /** Guards against losing lanes, order overrides or daily deadlines on a restart. */
  @Test
  void queueOrderAndDeadlinesSurviveRestart() throws Exception {
    LocalTime now = LocalTime.now(ZoneOffset.UTC);
    Path settings =
        Files.writeString(
            folder.resolve("ops.json"),
            String.format(
                "{\"lanes\": [{\"name\": \"look-ups\", \"classes\": [\"warrant\"]},"
                    + " {\"name\": \"bulk\"}], \"readiness\": [{\"queue\": \"chapters\","
                    + " \"classes\": [\"pages\"], \"opens\": \"%s\", \"by\": \"%s\","
                    + " \"zone\": \"UTC\"}]}",
                timeText(now.minusHours(1)), timeText(now.plusMinutes(20))));
    OperatorSettings operator = OperatorSettings.read(settings);
    Path data = folder.resolve("data");
    start(data, operator);
    String hangingJob = "{\"id\": \"req-1\", \"lane\": \"pages\", \"shards\": 40, \"cores\": 4,";
    hangingJob += " \"expectS\": 500, \"bundle\": \"stand-in/hang\"}";
    assertEquals(0, run(hangingJob, "submit", "-"));
    for (int n = 2; n <= 4; n++) {
      String lane = n == 4 ? "warrant" : "pages";
      String job = "{\"id\": \"req-" + n + "\", \"lane\": \"" + lane + "\", \"cores\": 4,";
      assertEquals(0, run(job + " \"expectS\": 500, \"shards\": 40}", "submit", "-"));
    }
    awaitQueue("look-ups: 1 jobs.*req-4.*bulk: 3 jobs.*req-1,.*req-2,.*req-3,");
    assertEquals(0, runScheduling("lane", "req-3", "front"));
    awaitQueue("bulk: 3 jobs.*req-3,.*moved by an operator.*req-1,.*req-2,");
    assertEquals(ExitCodes.UNKNOWN, runScheduling("lane", "req-77", "front"));
    assertEquals(ExitCodes.REFUSED, runScheduling("lane", "req-3", "nowhere"));
    assertEquals(0, runScheduling("moves"));
    end();
    start(data, operator);
    awaitQueue("look-ups: 1 jobs.*req-4.*bulk: 3 jobs.*req-3,.*req-1,.*req-2,");
    awaitOutput("chapters, due .*: 0 of 3 ready, .* min left.*", "ready", "chapters");
    assertEquals(ExitCodes.UNKNOWN, runScheduling("ready", "nothing"));
  }

  private static String timeText(LocalTime time) {
    return time.format(DateTimeFormatter.ofPattern("HH:mm"));
  }

  private int runService(String command, String... arguments) {
    output.reset();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--server", "127.0.0.1:" + cluster.port()));
    return new ServiceCommands(out, out).run(command, all.toArray(new String[0]));
  }

  /** Guards against a rollout that stalls after a restart or keeps a failing version. */
  @Test
  void rolloutContinuesAfterRestartAndFailingVersionIsRolledBack() throws Exception {
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
    assertEquals(0, runService("service", "apply", service.toString()), output());
    assertEquals(
        0, runService("rollout", "start", "thumbs", "v2", "--plan", plan.toString()), output());
    awaitPhase("approval");
    end();
    start(data);
    assertEquals(0, runService("rollout", "approve", "thumbs"), output());
    assertEquals(0, runService("rollout", "watch", "thumbs"), output());
    assertTrue(
        output().endsWith("version 2 (v2); roll-out to version 2: step 2 of 2, done"), output());
    assertEquals(
        0,
        runService("rollout", "start", "thumbs", "stand-in/error", "--plan", plan.toString()),
        output());
    assertEquals(ExitCodes.REFUSED, runService("rollout", "start", "thumbs", "v4"), output());
    assertEquals(ExitCodes.ROLLED_BACK, runService("rollout", "watch", "thumbs"), output());
    assertTrue(
        output().contains("Step 1 was stopped: failures(1m) >= 2; failures(1m) is 2"), output());
    assertEquals(0, runService("service", "show", "thumbs", "--json"));
    assertTrue(output().contains("\"serving\":2"), output());
    assertEquals(0, runService("rollout", "history", "thumbs"));
    assertTrue(output().startsWith("Version 2 (v2) took over from version 1."), output());
    assertEquals(
        ExitCodes.REFUSED, runService("rollout", "undo", "thumbs"), "the version was rolled back");
    assertTrue(output().contains("it serves already"), output());
  }

  /** Guards against a version being rolled out although its probes fail. */
  @Test
  void probesDecideOutcomeOfRollout() throws Exception {
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
    assertEquals(0, runService("service", "apply", service.toString()), output());
    String[] unhealthyRollout = {
      "start", "web", "w1", "--param", "behaves=ill", "--plan", plan.toString()
    };
    assertEquals(0, runService("rollout", unhealthyRollout), output());
    assertEquals(ExitCodes.ROLLED_BACK, runService("rollout", "watch", "web"), output());
    assertTrue(output().contains("probe(\"/\").p50 > 3s; probe(\"/\").p50 is no answer"), output());
    String[] healthyRollout = {
      "start", "web", "w1", "--param", "colour=blue", "--plan", plan.toString()
    };
    assertEquals(0, runService("rollout", healthyRollout), output());
    assertEquals(0, runService("rollout", "watch", "web"), output());
    assertEquals(0, runService("service", "show", "web", "--json"));
    assertTrue(output().contains("{\"colour\":\"blue\"}"), output());
    assertEquals(0, runService("rollout", "undo", "web"), output());
    assertEquals(0, runService("rollout", "abort", "web"), output());
    assertEquals(ExitCodes.USAGE, runService("rollout", "start", "web", "w2", "--param", "x"));
  }

  private void awaitPhase(String phase) throws InterruptedException {
    for (int i = 0; i < 600; i++) {
      assertEquals(0, runService("rollout", "status", "thumbs"), output());
      if (output().contains(", " + phase)) {
        return;
      }
      Thread.sleep(50);
    }
    assertTrue(false, output());
  }

  @Test
  void impossibleRolloutIsRejectedWithReason() throws Exception {
    start(null);
    Path service =
        Files.writeString(
            folder.resolve("service.json"),
            "{\"name\": \"a\", \"replicas\": 1, \"cores\": 1, \"bundle\": \"v1\"}");
    assertEquals(0, runService("service", "apply", service.toString()), output());
    assertEquals(ExitCodes.UNKNOWN, runService("rollout", "start", "b", "v2"));
    for (String[] planAndError :
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
      Path plan = Files.writeString(folder.resolve("plan.json"), planAndError[0]);
      assertEquals(
          ExitCodes.REFUSED,
          runService("rollout", "start", "a", "v2", "--plan", plan.toString()),
          planAndError[0]);
      assertTrue(output().contains(planAndError[1]), output());
    }
    assertEquals(ExitCodes.USAGE, runService("rollout", "dance", "a"));
    assertEquals(ExitCodes.USAGE, runService("service", "apply", folder + "/none"));
  }

  @Test
  void invalidInputIsReported() throws IOException {
    assertEquals(ExitCodes.USAGE, run("{\"cores\": 1}", "submit", "-"));
    assertEquals("saltflow: expectS: is missing", output());
    assertEquals(ExitCodes.USAGE, run("{\"cores\": 1, \"expects\": 1}", "submit", "-"));
    assertEquals("saltflow: unknown field 'expects'", output());
    assertEquals(ExitCodes.USAGE, run("[{\"cores\": 1,\n\"expectS\" 1}]", "submit", "-"));
    assertTrue(output().startsWith("saltflow: not JSON: line 2, column"), output());
    assertEquals(ExitCodes.USAGE, run("[]", "submit", "-"));
    assertEquals(ExitCodes.USAGE, run("", "submit", folder.resolve("none").toString()));
    assertEquals(ExitCodes.USAGE, run("", "status", "job-1"));
    assertEquals(ExitCodes.USAGE, run("", "status"));
    assertEquals(ExitCodes.NO_ANSWER, run("", "status", "req-1", "--wait", "0"));
  }

  @Test
  void startupFailureIsReportedInOneLine() throws Exception {
    start(folder);
    String usedAddress = "127.0.0.1:" + cluster.port();
    assertEquals(2, localCommand("--http", usedAddress));
    assertTrue(output().startsWith("saltflow: cannot start: " + usedAddress + ": "), output());
    assertEquals(2, localCommand("--http", "127.0.0.1:0", "--data", folder.toString()));
    assertTrue(output().endsWith("in use by another process"), output());
    Path file = Files.writeString(folder.resolve("file"), "");
    assertEquals(2, localCommand("--http", "127.0.0.1:0", "--data", file.toString()));
    assertEquals(2, localCommand("--machines", "0"));
    assertEquals(2, localCommand("--settings", folder.resolve("none").toString()));
    assertEquals(1, output().lines().count(), output());
  }

  private int localCommand(String... arguments) {
    output.reset();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    return LocalCommand.run(arguments, out, out);
  }
}
