package io.saltflow.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;
import io.saltflow.transport.Loop;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code queue}, {@code lane}, {@code moves} and {@code ready}: an operator at the command line.
 */
final class OrderCommands {
  private final PrintStream out;
  private final PrintStream err;

  OrderCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** The exit code. */
  int run(String command, String[] args) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("server").hasArg().build())
            .addOption(Option.builder().longOpt("json").build());
    UserClient client = null;
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      List<String> words = line.getArgList();
      boolean ready = command.equals("ready");
      if (words.size() != (command.equals("lane") ? 2 : ready ? Math.min(1, words.size()) : 0)) {
        String takes =
            command.equals("lane")
                ? "an id and a lane, or front"
                : ready ? "one queue at the most" : "nothing more";
        throw new ParseException(command + " takes " + takes);
      }
      client =
          new UserClient(
              new Loop(), Main.address(line, "server", "127.0.0.1:8080"), Span.seconds(30));
      UserClient.Answer a =
          command.equals("lane")
              ? client.post(
                  OrderApi.QUEUE + "/" + words.get(0), Body.of().with(OrderApi.LANE, words.get(1)))
              : client.get("/" + command + (words.isEmpty() ? "" : "/" + words.get(0)));
      return told(command, a, line.hasOption("json"));
    } catch (ParseException e) {
      err.println("saltflow: " + e.getMessage());
      return UserCommands.USAGE;
    } catch (IOException | BadMessage e) {
      err.println("saltflow: " + e.getMessage());
      return UserCommands.NO_ANSWER;
    } finally {
      if (client != null) {
        client.cancel();
      }
    }
  }

  private int told(String command, UserClient.Answer a, boolean json)
      throws IOException, BadMessage {
    if (a.status() != 200) {
      err.println("saltflow: " + (a.status() == 0 ? "no answer" : a.error()));
      return switch (a.status()) {
        case 404 -> UserCommands.UNKNOWN;
        case 400, 409, 422 -> UserCommands.REFUSED;
        default -> UserCommands.NO_ANSWER;
      };
    }
    if (json) {
      out.println(new ObjectMapper().writeValueAsString(a.body().fields()));
    } else if (command.equals("queue")) {
      queue(a.body().maps(OrderApi.LANES));
    } else if (command.equals("lane")) {
      out.println(a.body().get("id") + " is moved");
    } else {
      List<String> lines = a.body().texts(OrderApi.LINES);
      lines.forEach(out::println);
      if (lines.isEmpty()) {
        out.println("nothing");
      }
    }
    return 0;
  }

  private void queue(List<Body> lanes) throws BadMessage {
    if (lanes.isEmpty()) {
      out.println("nothing waits");
    }
    for (Body lane : lanes) {
      out.println(
          lane.text(OrderApi.LANE)
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
