package io.saltflow.cli;

import java.io.PrintStream;
import java.util.Arrays;

/** Dispatches the command line to the command given by the first argument. */
public final class SaltflowCommand {
  private static final String USAGE =
      """
      usage: saltflow serve --config FILE [--settings FILE] [--queues FILE [--amqp ADDR:PORT]]
                            [--services [--trace FILE|URL]]
             saltflow check-config --config FILE [--settings FILE] [--queues FILE]
                            [--service FILE --plan FILE]
             saltflow local [--http ADDR:PORT] [--amqp ADDR:PORT] [--machines N] [--data DIR]
                            [--settings FILE] [--queues FILE] [--trace FILE|URL]
             saltflow state --data DIR [--listen ADDR:PORT] [--rps N] [--write-rps N]
                            [--value-kb N] [--txn-ops N] [--snapshot-mb N]
             saltflow state --data DIR --group FILE --node NAME  [the limits as above]
             saltflow state check|dump|repair|snapshot FILE|restore FILE --data DIR
             saltflow service apply FILE | list | show NAME  [--server ADDR:PORT] [--json]
             saltflow rollout start NAME IMAGE [--plan FILE] [--param NAME=VALUE ...]
                            [--server ADDR:PORT] [--json]
             saltflow rollout status|watch|pause|resume|approve|abort|undo|history NAME
             saltflow queue | moves | ready [QUEUE]  [--server ADDR:PORT] [--json]
             saltflow lane ID LANE|front  [--server ADDR:PORT]
             saltflow hash-password
             saltflow submit FILE|-  [--server ADDR:PORT] [--json] [--wait SECONDS]
             saltflow status|watch|cancel ID  [--server ADDR:PORT] [--json] [--wait SECONDS]
             saltflow --help | --version

      serve         run one controller until it is killed
      check-config  read the settings, say what is wrong with them, and end
      local         run one controller with stand-ins for all that it needs, on loopback
      state         run a state service, alone or as a node of a group, or work on its folder
      submit        submit the jobs of a JSON file; prints their ids
      status        say where a job stands
      watch         say so again and again until it is over
      cancel        cancel it
      service       set services up, and show them
      rollout       bring a version of a service out in steps, each held until its gate passes
      queue         the lanes, what waits in order, and why the first of each does not start
      lane          move a waiting job to another lane, or in front of its own
      ready         how each queue's morning goes: ready, forecast, late and why, pushed
      moves         which replicas are moved to make room, and why a model waits
      hash-password read a password and print its hash for a queues file

        --config FILE      the platform's settings (TOML)
        --settings FILE    the operators' own settings (JSON)
        --queues FILE      AMQP work queues (JSON); without it serve has none
        --services         serve services and their roll-outs (local always does)
        --trace FILE|URL   roll-outs' traces (OTLP), to a file or a collector
        --service, --plan  a service's description and a plan, which are checked together
        --amqp ADDR:PORT   where AMQP clients reach it (local: 127.0.0.1:5672)
        --http ADDR:PORT   where users reach local (127.0.0.1:8080; port 0: any free one)
        --machines N       how many stand-in machines there are (4)
        --data DIR         keep what was accepted in this folder
        --listen ADDR:PORT where state serves (127.0.0.1:2380)
        --group FILE       a group's name, key and nodes (JSON); --node says which of them this is
        --server ADDR:PORT the controller to ask (127.0.0.1:8080)
        --json             answers as JSON
        --wait SECONDS     how long to ask again when there is no answer (60)

      Exit codes: 0 in order, 1 refused, 2 wrong use or settings, 3 no answer, 4 no such job,
      5 the watched job was cancelled, or the watched roll-out did not come to serve.

      LOG_LEVEL (error, info, debug) sets how much is logged to standard error.""";

  private SaltflowCommand() {}

  /**
   * Runs a command to completion.
   *
   * @return the exit code, see {@link ExitCodes}
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0) {
      out.println(USAGE);
      return ExitCodes.USAGE;
    }
    String command = args[0];
    String[] arguments = Arrays.copyOfRange(args, 1, args.length);
    String defaultLevel = defaultLogLevel(command);
    if (defaultLevel != null) {
      setLogLevel(System.getenv().getOrDefault("LOG_LEVEL", defaultLevel));
    }
    return switch (command) {
      case "--help", "-h", "help" -> print(USAGE, out);
      case "--version" -> print("saltflow " + version(), out);
      case "serve", "check-config" -> new ServeCommand(out, err).run(command, arguments);
      case "hash-password" -> HashPasswordCommand.run(System.in, out, err);
      case "service", "rollout" -> new ServiceCommands(out, err).run(command, arguments);
      case "queue", "lane", "moves", "ready" ->
          new SchedulingCommands(out, err).run(command, arguments);
      case "local" -> LocalCommand.run(arguments, out, err);
      case "state" -> StateCommand.run(arguments, out, err);
      case "submit", "status", "watch", "cancel" ->
          new JobCommands(System.in, out, err).run(command, arguments);
      default -> {
        err.println("saltflow: unknown command '" + command + "'");
        err.println(USAGE);
        yield ExitCodes.USAGE;
      }
    };
  }

  /**
   * Returns the log level without {@code LOG_LEVEL}, or {@code null} if the command does not log.
   */
  private static String defaultLogLevel(String command) {
    return switch (command) {
      case "serve", "check-config", "state" -> "info";
      case "service", "rollout", "queue", "lane", "moves", "ready", "local" -> "warn";
      case "submit", "status", "watch", "cancel" -> "warn";
      default -> null;
    };
  }

  private static int print(String text, PrintStream out) {
    out.println(text);
    return ExitCodes.OK;
  }

  private static String version() {
    String version = SaltflowCommand.class.getPackage().getImplementationVersion();
    return version == null ? "(not packaged)" : version;
  }

  /**
   * Sets the format and level of the log. Must be called before any class that logs is loaded, as
   * the first logger fixes both.
   *
   * @param level the log level; {@code null} or an unknown level selects {@code info}
   */
  public static void setLogLevel(String level) {
    String known = level == null || !level.matches("error|warn|info|debug|trace") ? "info" : level;
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }
}
