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

/** Command-line options that several commands share. */
final class CommandOptions {
  private CommandOptions() {}

  /** Options of these long names, each with a value. */
  static Options withValues(String... names) {
    Options options = new Options();
    for (String name : names) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    return options;
  }

  /** An option of that long name without a value. */
  static Option flag(String name) {
    return Option.builder().longOpt(name).build();
  }

  /** The address that an option names, or the default. */
  static InetSocketAddress addressOption(CommandLine line, String option, String defaultValue)
      throws ParseException {
    try {
      return Addresses.parse(line.getOptionValue(option, defaultValue));
    } catch (IllegalArgumentException exception) {
      throw new ParseException("--" + option + ": " + exception.getMessage());
    }
  }

  /** Traces rollouts to where {@code --trace} says; buffered spans are written at exit. */
  static Consumer<RolloutEvent> rolloutTracer(CommandLine line, String host) throws IOException {
    RolloutTracer tracer = RolloutTracer.create(line.getOptionValue("trace"), host);
    Runtime.getRuntime().addShutdownHook(new Thread(tracer::close, "traces-end"));
    return tracer;
  }
}
