package io.saltflow.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.serving.AmqpSettings;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.Loop;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** saltflow on one machine, and a user at the command line before it. */
class LocalTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream said = new ByteArrayOutputStream();
  private Loop loop;
  private Local local;
  private Thread thread;

  private void start(Path data) throws IOException, ConfigError, InterruptedException {
    loop = new Loop();
    Local.Options options = new Local.Options(Addresses.parse("127.0.0.1:0"), 2, data);
    local = new Local(loop, options, OperatorSettings.defaults(), queues(), 1);
    boolean[] ready = new boolean[1];
    local.start(
        () -> {
          ready[0] = true;
          loop.pause();
        });
    loop.run();
    assertTrue(ready[0]);
    thread =
        new Thread(
            () -> {
              try {
                loop.run();
                local.cancel();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.start();
  }

  private static AmqpSettings queues() throws ConfigError {
    return QueueSettings.local().withListen(Addresses.parse("127.0.0.1:0"));
  }

  @AfterEach
  void end() throws InterruptedException {
    if (thread != null) {
      loop.stop();
      thread.join();
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
    return new UserCommands(new ByteArrayInputStream(bytes), out, out).run(command, all);
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
    assertEquals(UserCommands.CANCELLED, run("", "watch", "req-7"));
    assertEquals(UserCommands.UNKNOWN, run("", "status", "req-8"));
  }

  @Test
  void badInputIsNamed() throws IOException {
    assertEquals(UserCommands.USAGE, run("{\"cores\": 1}", "submit", "-"));
    assertEquals("saltflow: expectS: is missing", said());
    assertEquals(UserCommands.USAGE, run("{\"cores\": 1, \"expects\": 1}", "submit", "-"));
    assertEquals("saltflow: unknown field 'expects'", said());
    assertEquals(UserCommands.USAGE, run("[{\"cores\": 1,\n\"expectS\" 1}]", "submit", "-"));
    assertTrue(said().startsWith("saltflow: not JSON: line 2, column"), said());
    assertEquals(UserCommands.USAGE, run("[]", "submit", "-"));
    assertEquals(UserCommands.USAGE, run("", "submit", folder.resolve("none").toString()));
    assertEquals(UserCommands.USAGE, run("", "status", "job-1"));
    assertEquals(UserCommands.USAGE, run("", "status"));
    assertEquals(UserCommands.NO_ANSWER, run("", "status", "req-1", "--wait", "0"));
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
