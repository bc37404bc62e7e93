package io.saltflow.cli;

import io.saltflow.config.ConfigException;
import io.saltflow.config.GroupSettings;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kvserver.FileSystemDirectory;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.kvserver.ReplicatedServer;
import io.saltflow.kvserver.StandaloneServer;
import io.saltflow.kvserver.StoreMaintenance;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * {@code state}: serves the key-value store, standalone or as a node of a Raft group, or performs
 * offline maintenance on its data directory.
 */
final class StateCommand extends Routine {
  private static final int MAX_CLIENTS = 1000;

  /** HTTP service with its listen address and a description for the ready line. */
  private record Service(
      InetSocketAddress address, HttpServer http, Supplier<String> description) {}

  /** Options of both standalone and group operation. */
  private record StoreOptions(Path data, KeyValueLimits limits, long snapshotBytes) {
    static StoreOptions parse(CommandLine line) throws ParseException {
      Path data = Path.of(required(line, "data"));
      KeyValueLimits limits =
          new KeyValueLimits(
              number(line, "rps", "2000", 1e6),
              number(line, "write-rps", "1000", 1e6),
              number(line, "value-kb", "64", 1024),
              (int) number(line, "txn-ops", "32", 1000));
      return new StoreOptions(data, limits, (long) number(line, "snapshot-mb", "64", 4096) << 20);
    }
  }

  private final EventLoop loop;
  private final Service service;

  private StateCommand(EventLoop loop, CommandLine line) throws ParseException, IOException {
    super(null);
    this.loop = loop;
    StoreOptions options = StoreOptions.parse(line);
    service =
        line.hasOption("group")
            ? serveAsGroupNode(groupSettings(line), options)
            : serveStandalone(
                CommandOptions.addressOption(line, "listen", "127.0.0.1:2380"), options);
  }

  private Service serveAsGroupNode(GroupSettings group, StoreOptions options) throws IOException {
    InetSocketAddress address = group.nodes().get(group.self()).clientAddress();
    ReplicatedServer server = newGroupServer(group, options);
    return new Service(
        address,
        new HttpServer(this, loop, address, MAX_CLIENTS, server::handle),
        () ->
            ", node "
                + group.self()
                + " of the group "
                + group.name()
                + ", kept in "
                + options.data());
  }

  private Service serveStandalone(InetSocketAddress address, StoreOptions options)
      throws IOException {
    StandaloneServer server =
        new StandaloneServer(
            this,
            loop,
            new StandaloneServer.Options(options.limits(), options.snapshotBytes()),
            FileSystemDirectory.open(options.data()),
            newIdentity());
    KeyValueServer requests = server.server();
    HttpServer http =
        new HttpServer(
            this,
            loop,
            address,
            MAX_CLIENTS,
            (method, target, body, answer) -> {
              if (KeyValueServer.serves(target)) {
                requests.handle(method, target, body, answer);
              } else {
                answer.accept(HttpResponse.empty(400));
              }
            });
    return new Service(
        address,
        http,
        () ->
            String.format(
                ", %d keys of revision %d, kept in %s",
                server.store().size(), server.store().revision(), options.data()));
  }

  private static GroupSettings groupSettings(CommandLine line) throws ParseException {
    if (line.hasOption("listen")) {
      throw new ParseException(
          "--listen cannot be combined with --group; the group file sets the listen address");
    }
    try {
      return GroupSettings.read(Path.of(line.getOptionValue("group")), required(line, "node"));
    } catch (ConfigException exception) {
      throw new ParseException(exception.getMessage());
    }
  }

  private ReplicatedServer newGroupServer(GroupSettings group, StoreOptions options)
      throws IOException {
    ReplicatedServer.Options serverOptions =
        new ReplicatedServer.Options(
            group.name(),
            group.key(),
            group.self(),
            group.nodes(),
            options.limits(),
            options.snapshotBytes());
    SplitMix64 random = new SplitMix64(new SecureRandom().nextLong());
    return new ReplicatedServer(
        this,
        loop,
        serverOptions,
        FileSystemDirectory.open(options.data()),
        newIdentity(),
        bound -> random.nextLong(bound));
  }

  static long[] newIdentity() {
    SecureRandom random = new SecureRandom();
    return new long[] {random.nextLong(), random.nextLong()};
  }

  private static String required(CommandLine line, String option) throws ParseException {
    if (!line.hasOption(option)) {
      throw new ParseException("--" + option + " is required");
    }
    return line.getOptionValue(option);
  }

  private static double number(CommandLine line, String option, String defaultValue, double max)
      throws ParseException {
    String text = line.getOptionValue(option, defaultValue);
    double value = text.matches("\\d{1,7}(\\.\\d{1,3})?") ? Double.parseDouble(text) : 0;
    if (value <= 0 || value > max) {
      throw new ParseException("--" + option + ": must be a number above 0 and at most " + max);
    }
    return value;
  }

  private String readyLine() {
    return "ready: state on "
        + Addresses.text(
            new InetSocketAddress(service.address().getAddress(), service.http().port()))
        + service.description().get();
  }

  /**
   * Runs the command and returns the exit code: 2 if it cannot start, 1 if a maintenance operation
   * fails.
   */
  static int run(String[] args, PrintStream out, PrintStream err) {
    Options options =
        CommandOptions.withValues(
            "data",
            "listen",
            "rps",
            "write-rps",
            "value-kb",
            "txn-ops",
            "snapshot-mb",
            "group",
            "node");
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      List<String> words = line.getArgList();
      if (!words.isEmpty()) {
        return runOnDataDirectory(
            words, new StoreMaintenance(Path.of(required(line, "data"))), out, err);
      }
      EventLoop loop = new EventLoop();
      StateCommand state = new StateCommand(loop, line);
      LocalCommand.runUntilShutdown(loop, state, () -> out.println(state.readyLine()));
      return 0;
    } catch (ParseException exception) {
      err.println("saltflow: " + exception.getMessage());
      return 2;
    } catch (IOException exception) {
      err.println("saltflow: cannot start: " + exception.getMessage());
      return 2;
    }
  }

  private static int runOnDataDirectory(
      List<String> words, StoreMaintenance maintenance, PrintStream out, PrintStream err)
      throws ParseException {
    String command = words.get(0);
    boolean takesFile = command.equals("snapshot") || command.equals("restore");
    if (words.size() != (takesFile ? 2 : 1)) {
      throw new ParseException(
          command + ": " + (takesFile ? "requires exactly one file" : "takes no file"));
    }
    try {
      switch (command) {
        case "check" -> maintenance.check(out);
        case "dump" -> maintenance.dump(out);
        case "repair" -> maintenance.repair(out);
        case "snapshot" -> maintenance.snapshot(Path.of(words.get(1)), out);
        case "restore" -> maintenance.restore(Path.of(words.get(1)), newIdentity(), out);
        default -> throw new ParseException("unknown command 'state " + command + "'");
      }
      return 0;
    } catch (IOException exception) {
      err.println("saltflow: " + exception.getMessage());
      return 1;
    }
  }
}
