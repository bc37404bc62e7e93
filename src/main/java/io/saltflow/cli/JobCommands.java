package io.saltflow.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.config.ConfigException;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonJobs;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** User commands: {@code submit}, {@code status}, {@code watch} and {@code cancel}. */
final class JobCommands {
  private static final String SERVER_OPTION = "server";
  private static final String JSON_OPTION = "json";
  private static final String WAIT_OPTION = "wait";
  private static final TimeSpan POLL_INTERVAL = TimeSpan.seconds(1);

  private final PrintStream out;
  private final PrintStream err;
  private final InputStream in;
  private ControllerClient client;
  private boolean json;

  JobCommands(InputStream in, PrintStream out, PrintStream err) {
    this.in = in;
    this.out = out;
    this.err = err;
  }

  /** Runs one of the commands and returns its exit code. */
  int run(String command, String[] args) {
    Options options =
        CommandOptions.withValues(SERVER_OPTION, WAIT_OPTION)
            .addOption(CommandOptions.flag(JSON_OPTION));
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      if (line.getArgList().size() != 1) {
        throw new ParseException(
            command
                + " requires exactly one "
                + (command.equals("submit") ? "file, or -" : "job ID"));
      }
      json = line.hasOption(JSON_OPTION);
      InetSocketAddress server =
          CommandOptions.addressOption(line, SERVER_OPTION, "127.0.0.1:8080");
      TimeSpan timeout = TimeSpan.seconds(seconds(line.getOptionValue(WAIT_OPTION, "60")));
      client = new ControllerClient(new EventLoop(), server, timeout);
      return run(command, line.getArgList().get(0));
    } catch (ParseException | ConfigException exception) {
      err.println("saltflow: " + exception.getMessage());
      return ExitCodes.USAGE;
    } catch (IOException exception) {
      err.println("saltflow: " + exception.getMessage());
      return ExitCodes.NO_ANSWER;
    } finally {
      if (client != null) {
        client.cancel();
      }
    }
  }

  private static double seconds(String text) throws ParseException {
    if (!text.matches("\\d{1,6}(\\.\\d+)?")) {
      throw new ParseException("--" + WAIT_OPTION + ": a number of seconds is required");
    }
    return Double.parseDouble(text);
  }

  private int run(String command, String argument) throws IOException, ConfigException {
    if (command.equals("submit")) {
      return submit(argument);
    }
    if (!JobId.valid(argument)) {
      throw new ConfigException("'" + argument + "' is not a job ID (" + JobId.PREFIX + "digits)");
    }
    return switch (command) {
      case "status" -> printStatus(argument, client.status(argument));
      case "cancel" -> printStatus(argument, client.cancel(argument));
      default -> watch(argument);
    };
  }

  private int submit(String file) throws IOException, ConfigException {
    String text;
    try {
      byte[] bytes = file.equals("-") ? in.readAllBytes() : Files.readAllBytes(Path.of(file));
      text = new String(bytes, StandardCharsets.UTF_8);
    } catch (IOException exception) {
      throw new ConfigException(file + ": cannot be read: " + exception.getMessage());
    }
    List<MessageBody> jobs;
    try {
      jobs = JsonJobs.read(text);
    } catch (InvalidMessageException exception) {
      throw new ConfigException(exception.getMessage());
    }
    if (jobs.isEmpty()) {
      throw new ConfigException("there is no job to submit");
    }
    SecureRandom random = new SecureRandom();
    int exitCode = 0;
    for (MessageBody job : jobs) {
      job.fields().putIfAbsent(Wire.TEAM, LocalCluster.DEFAULT_TEAM);
      if (job.get(Wire.ID) == null) {
        job.with(Wire.ID, newId(random));
      }
      exitCode = Math.max(exitCode, printSubmitted(job, client.submit(job)));
    }
    return exitCode;
  }

  private static String newId(SecureRandom random) {
    return JobId.PREFIX
        + System.currentTimeMillis()
        + String.format("%09d", random.nextInt(1_000_000_000));
  }

  private int printSubmitted(MessageBody job, ControllerClient.Answer answer) {
    if (answer.status() == 200 || answer.status() == 201) {
      out.println(json ? toJson(answer.body()) : (String) answer.body().get(Wire.ID));
      return 0;
    }
    return printFailure((String) job.get(Wire.ID), answer);
  }

  private int printFailure(String id, ControllerClient.Answer answer) {
    if (answer.status() == 0) {
      err.println(
          "saltflow: "
              + id
              + ": no answer; the request may have been accepted, check the job status");
      return ExitCodes.NO_ANSWER;
    }
    err.println("saltflow: " + id + ": " + answer.error());
    return switch (answer.status()) {
      case 404 -> ExitCodes.UNKNOWN;
      case 400, 413, 422 -> ExitCodes.REFUSED;
      default -> ExitCodes.NO_ANSWER;
    };
  }

  private int printStatus(String id, ControllerClient.Answer answer) {
    if (answer.status() != 200) {
      return printFailure(id, answer);
    }
    out.println(json ? toJson(answer.body()) : statusLine(answer.body()));
    return 0;
  }

  private static String statusLine(MessageBody status) {
    return status.get(Wire.ID)
        + " "
        + status.get(Wire.STATE)
        + ": "
        + status.get(Wire.DONE)
        + " done, "
        + status.get(Wire.RUNNING)
        + " running";
  }

  private static String toJson(MessageBody status) {
    try {
      return new ObjectMapper().writeValueAsString(status.fields());
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException("message body cannot be written as JSON", exception);
    }
  }

  /** Prints each status change until the job has ended. */
  private int watch(String id) throws IOException {
    MessageBody last = null;
    while (true) {
      ControllerClient.Answer answer = client.status(id);
      if (answer.status() != 200) {
        return printFailure(id, answer);
      }
      if (last == null || !last.equals(answer.body())) {
        printStatus(id, answer);
        last = answer.body();
      }
      Object phase = answer.body().get(Wire.STATE);
      if (Wire.STATE_DONE.equals(phase) || Wire.STATE_CANCELLED.equals(phase)) {
        return Wire.STATE_DONE.equals(phase) ? 0 : ExitCodes.CANCELLED;
      }
      client.sleep(POLL_INTERVAL);
    }
  }
}
