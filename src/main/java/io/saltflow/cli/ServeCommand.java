package io.saltflow.cli;

import io.saltflow.broker.AmqpSettings;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.QueueSettings;
import io.saltflow.controller.ControllerNode;
import io.saltflow.controller.OptionalInterfaces;
import io.saltflow.transport.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** {@code serve} and {@code check-config}: runs a controller, or only validates its settings. */
final class ServeCommand {
  private final PrintStream out;
  private final PrintStream err;

  ServeCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs one of the commands and returns its exit code. {@code serve} returns only when the event
   * loop is stopped.
   */
  int run(String command, String[] arguments) {
    try {
      CommandLine line = parse(arguments);
      PlatformSettings settings = PlatformSettings.read(Path.of(line.getOptionValue("config")));
      boolean serves = command.equals("serve");
      OperatorSettings operator = operatorSettings(line, serves);
      AmqpSettings queues = line.hasOption("queues") ? queueSettings(line) : null;
      if (serves) {
        serve(settings, operator, interfaces(line, queues, settings.host()));
      } else {
        check(line, settings, operator, queues);
      }
      return ExitCodes.OK;
    } catch (ParseException | ConfigException exception) {
      err.println("saltflow: " + exception.getMessage());
      return ExitCodes.USAGE;
    } catch (IOException exception) {
      err.println("saltflow: cannot serve: " + exception.getMessage());
      return ExitCodes.CANNOT_SERVE;
    }
  }

  private static CommandLine parse(String[] arguments) throws ParseException {
    Options options =
        CommandOptions.withValues("settings", "queues", "amqp", "trace", "service", "plan")
            .addOption(Option.builder().longOpt("config").hasArg().required().build())
            .addOption(CommandOptions.flag("services"));
    CommandLine line = new DefaultParser().parse(options, arguments);
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
    }
    return line;
  }

  private void check(
      CommandLine line, PlatformSettings settings, OperatorSettings operator, AmqpSettings queues)
      throws ParseException, ConfigException {
    settings.warnings().forEach(this::printWarning);
    operator.warnings(settings).forEach(this::printWarning);
    if (queues != null) {
      QueueSettings.warnings(queues, settings.teams()).forEach(this::printWarning);
    }
    if (line.hasOption("plan") || line.hasOption("service")) {
      ServiceCommands.checkPlan(
          line.getOptionValue("service"), line.getOptionValue("plan"), settings);
    }
    out.println("the settings of " + settings.host() + " are in order");
  }

  private void printWarning(String warning) {
    out.println("doubtful: " + warning);
  }

  private static OptionalInterfaces interfaces(CommandLine line, AmqpSettings queues, String host)
      throws ParseException, IOException {
    boolean services = line.hasOption("services");
    if (!line.hasOption("trace")) {
      return new OptionalInterfaces(queues, services);
    }
    if (!services) {
      throw new ParseException("--trace requires --services");
    }
    return new OptionalInterfaces(queues, true, CommandOptions.rolloutTracer(line, host));
  }

  /**
   * Reads the operator settings. If they are invalid, a serving controller falls back to the
   * defaults, so that an unattended restart does not fail.
   */
  private OperatorSettings operatorSettings(CommandLine line, boolean serves)
      throws ConfigException {
    if (!line.hasOption("settings")) {
      return OperatorSettings.defaults();
    }
    try {
      return OperatorSettings.read(Path.of(line.getOptionValue("settings")));
    } catch (ConfigException exception) {
      if (!serves) {
        throw exception;
      }
      err.println("saltflow: " + exception.getMessage() + "; using the default operator settings");
      return OperatorSettings.defaults();
    }
  }

  private static AmqpSettings queueSettings(CommandLine line)
      throws ConfigException, ParseException {
    AmqpSettings queues = QueueSettings.read(Path.of(line.getOptionValue("queues")));
    return line.hasOption("amqp")
        ? queues.withListen(CommandOptions.addressOption(line, "amqp", null))
        : queues;
  }

  private static void serve(
      PlatformSettings settings, OperatorSettings operator, OptionalInterfaces interfaces)
      throws IOException {
    EventLoop loop = new EventLoop();
    ControllerNode node =
        new ControllerNode(loop, settings, operator, interfaces, randomSeed(settings.host()));
    node.start();
    loop.run();
  }

  private static long randomSeed(String host) {
    return System.nanoTime() ^ ((long) host.hashCode() << 32) ^ System.currentTimeMillis();
  }
}
