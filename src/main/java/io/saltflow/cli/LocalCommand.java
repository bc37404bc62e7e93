package io.saltflow.cli;

import io.saltflow.broker.AmqpSettings;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.QueueSettings;
import io.saltflow.controller.OptionalInterfaces;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** {@code local}: runs a {@link LocalCluster} until the process is asked to terminate. */
final class LocalCommand {
  private static final int MAX_MACHINES = 1000;
  private static final long SHUTDOWN_TIMEOUT_S = 5;

  private LocalCommand() {}

  /** Runs the command and returns the exit code, 2 if it cannot start. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    try {
      EventLoop loop = new EventLoop();
      LocalCluster local = parse(args, loop);
      runUntilShutdown(loop, local, () -> local.start(() -> out.println(local.readyLine())));
      return 0;
    } catch (ParseException | ConfigException exception) {
      err.println("saltflow: " + exception.getMessage());
      return 2;
    } catch (IOException exception) {
      err.println("saltflow: cannot start: " + exception.getMessage());
      return 2;
    }
  }

  /**
   * Runs the loop until the process is asked to terminate, then cancels the root routine.
   *
   * @param begin run before the loop
   */
  static void runUntilShutdown(EventLoop loop, Routine root, Runnable begin) throws IOException {
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  loop.stop();
                  await(ended);
                },
                "shutdown"));
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
      ended.await(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  static LocalCluster parse(String[] args, EventLoop loop)
      throws ParseException, ConfigException, IOException {
    Options options =
        CommandOptions.withValues(
            "data", "http", "amqp", "machines", "settings", "queues", "trace");
    CommandLine line = new DefaultParser().parse(options, args);
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
    }
    OperatorSettings operator =
        line.hasOption("settings")
            ? OperatorSettings.read(Path.of(line.getOptionValue("settings")))
            : OperatorSettings.defaults();
    LocalCluster.Options clusterOptions =
        new LocalCluster.Options(
            CommandOptions.addressOption(line, "http", "127.0.0.1:8080"),
            machines(line.getOptionValue("machines", "4")),
            line.hasOption("data") ? Path.of(line.getOptionValue("data")) : null);
    AmqpSettings queues =
        line.hasOption("queues")
            ? QueueSettings.read(Path.of(line.getOptionValue("queues")))
            : QueueSettings.localDefaults();
    if (line.hasOption("amqp")) {
      queues = queues.withListen(CommandOptions.addressOption(line, "amqp", null));
    }
    OptionalInterfaces interfaces =
        line.hasOption("trace")
            ? new OptionalInterfaces(queues, true, CommandOptions.rolloutTracer(line, "local"))
            : new OptionalInterfaces(queues, true);
    return new LocalCluster(loop, clusterOptions, operator, interfaces, System.nanoTime());
  }

  private static int machines(String text) throws ParseException {
    int count = text.matches("\\d{1,4}") ? Integer.parseInt(text) : 0;
    if (count < 1 || count > MAX_MACHINES) {
      throw new ParseException("--machines: must be a number from 1 to " + MAX_MACHINES);
    }
    return count;
  }
}
