package io.saltflow.app;

import io.saltflow.transport.Loop;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line. */
public final class Main {
  private static final String USAGE =
      """
      usage: saltflow serve --config FILE [--settings FILE]
             saltflow check-config --config FILE [--settings FILE]
             saltflow --help | --version

      serve         run one controller until it is killed
      check-config  read the settings, say what is wrong with them, and end

        --config FILE    the platform's settings (TOML)
        --settings FILE  the operators' own settings (JSON)

      LOG_LEVEL (error, info, debug) sets how much is logged to standard error.""";

  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    String command = args.length == 0 ? "--help" : args[0];
    switch (command) {
      case "--help", "-h", "help" -> {
        out.println(USAGE);
        return args.length == 0 ? 2 : 0;
      }
      case "--version" -> {
        String version = Main.class.getPackage().getImplementationVersion();
        out.println("saltflow " + (version == null ? "(not packaged)" : version));
        return 0;
      }
      case "serve", "check-config" -> {
        return withConfig(command, Arrays.copyOfRange(args, 1, args.length), out, err);
      }
      default -> {
        err.println("saltflow: unknown command '" + command + "'");
        err.println(USAGE);
        return 2;
      }
    }
  }

  private static int withConfig(String command, String[] args, PrintStream out, PrintStream err) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("config").hasArg().required().build())
            .addOption(Option.builder().longOpt("settings").hasArg().build());
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
      }
      Config config = Config.read(Path.of(line.getOptionValue("config")));
      OperatorSettings operator =
          line.hasOption("settings")
              ? OperatorSettings.read(Path.of(line.getOptionValue("settings")))
              : OperatorSettings.defaults();
      if (command.equals("check-config")) {
        config.doubts().forEach(d -> out.println("doubtful: " + d));
        out.println("the settings of " + config.host() + " are in order");
        return 0;
      }
      serve(config, operator);
      return 0;
    } catch (ParseException | ConfigError e) {
      err.println("saltflow: " + e.getMessage());
      return 2;
    } catch (IOException e) {
      err.println("saltflow: can't serve: " + e.getMessage());
      return 1;
    }
  }

  private static void serve(Config config, OperatorSettings operator) throws IOException {
    setLogLevel(System.getenv("LOG_LEVEL"));
    Loop loop = new Loop();
    Node node = new Node(loop, config, operator, seed(config));
    node.start();
    loop.run();
  }

  private static long seed(Config config) {
    return System.nanoTime() ^ ((long) config.host().hashCode() << 32) ^ System.currentTimeMillis();
  }

  static void setLogLevel(String level) {
    String known = level == null || !level.matches("error|warn|info|debug|trace") ? "info" : level;
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }
}
