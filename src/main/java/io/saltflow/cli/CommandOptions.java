package io.saltflow.cli;

import io.saltflow.services.RolloutEvent;
import io.saltflow.tracing.RolloutTracer;
import io.saltflow.transport.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command-line options shared by several commands. */
final class CommandOptions {
  private CommandOptions() {}

  /** Returns options with the given long names, each of which takes a value. */
  static Options withValues(String... names) {
    Options options = new Options();
    for (String name : names) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    return options;
  }

  /** Returns an option with the given long name and no value. */
  static Option flag(String name) {
    return Option.builder().longOpt(name).build();
  }

  /**
   * Returns the address given by an option, or the default.
   *
   * @throws ParseException if the address is invalid
   */
  static InetSocketAddress addressOption(CommandLine line, String option, String defaultValue)
      throws ParseException {
    try {
      return Addresses.parse(line.getOptionValue(option, defaultValue));
    } catch (IllegalArgumentException exception) {
      throw new ParseException("--" + option + ": " + exception.getMessage());
    }
  }

  /**
   * Returns a tracer that exports rollouts to the target of {@code --trace} and writes buffered
   * spans at exit.
   */
  static Consumer<RolloutEvent> rolloutTracer(CommandLine line, String host) throws IOException {
    RolloutTracer tracer = RolloutTracer.create(line.getOptionValue("trace"), host);
    Runtime.getRuntime().addShutdownHook(new Thread(tracer::close, "traces-end"));
    return tracer;
  }
}
