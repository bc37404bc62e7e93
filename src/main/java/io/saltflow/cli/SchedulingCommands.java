package io.saltflow.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.api.SchedulingApi;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.transport.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Operator commands for the queue order: {@code queue}, {@code lane}, {@code moves} and {@code
 * ready}.
 */
final class SchedulingCommands {
  private final PrintStream out;
  private final PrintStream err;

  SchedulingCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs one of the commands and returns its exit code. */
  int run(String command, String[] args) {
    Options options = CommandOptions.withValues("server").addOption(CommandOptions.flag("json"));
    ControllerClient client = null;
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      List<String> words = line.getArgList();
      checkArgumentCount(command, words.size());
      client =
          new ControllerClient(
              new EventLoop(),
              CommandOptions.addressOption(line, "server", "127.0.0.1:8080"),
              TimeSpan.seconds(30));
      ControllerClient.Answer answer =
          command.equals("lane")
              ? client.post(
                  SchedulingApi.QUEUE_PATH + "/" + words.get(0),
                  MessageBody.of().with(SchedulingApi.LANE, words.get(1)))
              : client.get("/" + command + (words.isEmpty() ? "" : "/" + words.get(0)));
      return printAnswer(command, answer, line.hasOption("json"));
    } catch (ParseException exception) {
      err.println("saltflow: " + exception.getMessage());
      return ExitCodes.USAGE;
    } catch (IOException | InvalidMessageException exception) {
      err.println("saltflow: " + exception.getMessage());
      return ExitCodes.NO_ANSWER;
    } finally {
      if (client != null) {
        client.cancel();
      }
    }
  }

  private static void checkArgumentCount(String command, int count) throws ParseException {
    boolean invalid =
        switch (command) {
          case "lane" -> count != 2;
          case "ready" -> count > 1;
          default -> count != 0;
        };
    if (invalid) {
      String accepted =
          switch (command) {
            case "lane" -> "a job ID and a lane name or front";
            case "ready" -> "at most one queue";
            default -> "no arguments";
          };
      throw new ParseException(command + " takes " + accepted);
    }
  }

  private int printAnswer(String command, ControllerClient.Answer answer, boolean json)
      throws IOException, InvalidMessageException {
    if (answer.status() != 200) {
      err.println("saltflow: " + (answer.status() == 0 ? "no answer" : answer.error()));
      return ExitCodes.ofFailure(answer);
    }
    if (json) {
      out.println(new ObjectMapper().writeValueAsString(answer.body().fields()));
    } else if (command.equals("queue")) {
      printQueue(answer.body().maps(SchedulingApi.LANES));
    } else if (command.equals("lane")) {
      out.println(answer.body().get("id") + " is moved");
    } else {
      List<String> lines = answer.body().texts(SchedulingApi.LINES);
      lines.forEach(out::println);
      if (lines.isEmpty()) {
        out.println("nothing");
      }
    }
    return 0;
  }

  private void printQueue(List<MessageBody> lanes) throws InvalidMessageException {
    if (lanes.isEmpty()) {
      out.println("nothing waits");
    }
    for (MessageBody lane : lanes) {
      out.println(
          lane.text(SchedulingApi.LANE)
              + ": "
              + lane.get("jobs")
              + " jobs wait with "
              + lane.get("tasks")
              + " tasks; the first does not start: "
              + lane.get("why"));
      lane.texts("first").forEach(job -> out.println("  " + job));
    }
  }
}
