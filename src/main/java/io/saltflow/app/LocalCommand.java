package io.saltflow.app;

import io.saltflow.serving.AmqpSettings;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;

/** {@code local}: reads its arguments, runs until it is told to end, and ends in order. */
final class LocalCommand {
  private static final int MOST_MACHINES = 1000;
  private static final long END_WITHIN_S = 5;

  private LocalCommand() {}

  /** The exit code: 2 when it can't begin. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    try {
      Loop loop = new Loop();
      Local local = parse(args, loop);
      untilEnded(loop, local, () -> local.start(() -> out.println(local.readyLine())));
      return 0;
    } catch (ParseException | ConfigError e) {
      err.println("saltflow: " + e.getMessage());
      return 2;
    } catch (IOException e) {
      err.println("saltflow: can't run here: " + e.getMessage());
      return 2;
    }
  }

  /** Runs until the process is told to end, and ends in order. */
  static void untilEnded(Loop loop, Routine root, Runnable begin) throws IOException {
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  loop.stop();
                  await(ended);
                },
                "ends-in-order"));
    try {
      begin.run();
      loop.run();
      root.cancel();
    } finally {
      ended.countDown();
    }
  }

  private static void await(CountDownLatch ended) {
    try {
      ended.await(END_WITHIN_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Local parse(String[] args, Loop loop) throws ParseException, ConfigError, IOException {
    org.apache.commons.cli.Options options = new org.apache.commons.cli.Options();
    for (String name :
        new String[] {"data", "http", "amqp", "machines", "settings", "queues", "trace"}) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    CommandLine line = new DefaultParser().parse(options, args);
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
    }
    OperatorSettings operator =
        line.hasOption("settings")
            ? OperatorSettings.read(Path.of(line.getOptionValue("settings")))
            : OperatorSettings.defaults();
    Local.Options where =
        new Local.Options(
            Main.address(line, "http", "127.0.0.1:8080"),
            machines(line.getOptionValue("machines", "4")),
            line.hasOption("data") ? Path.of(line.getOptionValue("data")) : null);
    AmqpSettings queues =
        line.hasOption("queues")
            ? QueueSettings.read(Path.of(line.getOptionValue("queues")))
            : QueueSettings.local();
    if (line.hasOption("amqp")) {
      queues = queues.withListen(Main.address(line, "amqp", null));
    }
    Node.Extras extras =
        line.hasOption("trace")
            ? new Node.Extras(queues, true, Main.tracer(line, "local"))
            : new Node.Extras(queues, true);
    return new Local(loop, where, operator, extras, System.nanoTime());
  }

  private static int machines(String text) throws ParseException {
    int n = text.matches("\\d{1,4}") ? Integer.parseInt(text) : 0;
    if (n < 1 || n > MOST_MACHINES) {
      throw new ParseException("--machines: a number from 1 to " + MOST_MACHINES);
    }
    return n;
  }
}
