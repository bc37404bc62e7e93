package io.saltflow.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.saltflow.config.ConfigException;
import io.saltflow.config.PlatformSettings;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.services.RolloutPlanReader;
import io.saltflow.transport.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Operator commands for services: {@code service} and {@code rollout}. */
final class ServiceCommands {
  private static final TimeSpan POLL_INTERVAL = TimeSpan.seconds(1);
  private static final List<String> ROLLOUT_COMMANDS =
      List.of("pause", "resume", "approve", "abort");

  private final PrintStream out;
  private final PrintStream err;
  private ControllerClient client;
  private boolean json;

  ServiceCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs one of the commands and returns its exit code. */
  int run(String command, String[] args) {
    Options options =
        CommandOptions.withValues("server", "by", "plan")
            .addOption(Option.builder().longOpt("param").hasArgs().build())
            .addOption(CommandOptions.flag("json"));
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      json = line.hasOption("json");
      client =
          new ControllerClient(
              new EventLoop(),
              CommandOptions.addressOption(line, "server", "127.0.0.1:8080"),
              TimeSpan.seconds(30));
      List<String> words = line.getArgList();
      String action = command + " " + (words.isEmpty() ? "" : words.get(0));
      return run(action, words, line);
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

  private int run(String action, List<String> words, CommandLine line)
      throws ParseException, ConfigException, IOException {
    String by = line.getOptionValue("by", System.getProperty("user.name", "somebody"));
    switch (action) {
      case "service apply" -> {
        MessageBody service = readJson(argument(words, 1, "a file"));
        service.fields().putIfAbsent(Wire.TEAM, LocalCluster.DEFAULT_TEAM);
        return printService(client.post(Wire.PATH_SERVICES, service.with("by", by)));
      }
      case "service list" -> {
        return printServices(client.get(Wire.PATH_SERVICES));
      }
      case "service show", "rollout status" -> {
        return printService(client.get(servicePath(words)));
      }
      case "rollout start" -> {
        return start(servicePath(words), argument(words, 2, "an image"), by, line);
      }
      case "rollout undo" -> {
        return undo(servicePath(words), by, line);
      }
      case "rollout history" -> {
        return history(client.get(servicePath(words)));
      }
      case "rollout watch" -> {
        return watch(servicePath(words));
      }
      default -> {
        if (action.startsWith("rollout ") && ROLLOUT_COMMANDS.contains(words.get(0))) {
          return printService(
              client.post(servicePath(words) + "/rollout/" + words.get(0), MessageBody.of()));
        }
        throw new ParseException("unknown command '" + action.trim() + "'");
      }
    }
  }

  private static String argument(List<String> words, int index, String description)
      throws ParseException {
    if (words.size() <= index) {
      throw new ParseException(description + " is required");
    }
    return words.get(index);
  }

  private static String servicePath(List<String> words) throws ParseException {
    return Wire.PATH_SERVICES + "/" + argument(words, 1, "a service's name");
  }

  private static String readText(String file) throws ConfigException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException exception) {
      throw new ConfigException(file + ": cannot be read: " + exception.getMessage());
    }
  }

  private static MessageBody readJson(String file) throws ConfigException {
    try {
      JsonNode node = new ObjectMapper().readTree(readText(file));
      if (!(node instanceof ObjectNode)) {
        throw new ConfigException(file + ": a JSON object is required");
      }
      return toBody(node);
    } catch (JsonProcessingException exception) {
      throw new ConfigException(file + ": not JSON: " + exception.getOriginalMessage());
    }
  }

  private static MessageBody toBody(JsonNode node) {
    MessageBody body = MessageBody.of();
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      body.with(field.getKey(), toValue(field.getValue()));
    }
    return body;
  }

  private static Object toValue(JsonNode node) {
    if (node.isObject()) {
      return toBody(node).fields();
    }
    if (node.isIntegralNumber()) {
      return node.longValue();
    }
    if (node.isNumber()) {
      return node.doubleValue();
    }
    if (node.isBoolean()) {
      return node.booleanValue();
    }
    return node.isTextual() ? node.textValue() : null;
  }

  /**
   * Checks a rollout plan for a service against the platform settings.
   *
   * @throws ConfigException if the plan is invalid or can never complete
   */
  static void checkPlan(String serviceFile, String planFile, PlatformSettings config)
      throws ParseException, ConfigException {
    if (serviceFile == null || planFile == null) {
      throw new ParseException("--service and --plan must be given together");
    }
    try {
      MessageBody service = readJson(serviceFile);
      List<String> errors = RolloutPlanReader.check(readText(planFile), service, config::teamLimit);
      if (!errors.isEmpty()) {
        throw new ConfigException(planFile + ": " + String.join("; ", errors));
      }
    } catch (InvalidMessageException exception) {
      throw new ConfigException(serviceFile + ", " + planFile + ": " + exception.getMessage());
    }
  }

  private int printFailure(ControllerClient.Answer answer) {
    err.println("saltflow: " + (answer.status() == 0 ? "no answer" : answer.error()));
    return ExitCodes.ofFailure(answer);
  }

  private int printService(ControllerClient.Answer answer) throws IOException {
    if (answer.status() != 200) {
      return printFailure(answer);
    }
    print(answer.body());
    return 0;
  }

  private int printServices(ControllerClient.Answer answer) throws IOException {
    if (answer.status() != 200) {
      return printFailure(answer);
    }
    try {
      for (MessageBody service : answer.body().maps("services")) {
        print(service);
      }
      return 0;
    } catch (InvalidMessageException exception) {
      err.println("saltflow: invalid answer: " + exception.getMessage());
      return ExitCodes.NO_ANSWER;
    }
  }

  private void print(MessageBody service) throws IOException {
    out.println(
        json ? new ObjectMapper().writeValueAsString(service.fields()) : statusLine(service));
  }

  /**
   * Returns one line with the serving version, the rollout in progress, and why it waits or
   * stopped.
   */
  private static String statusLine(MessageBody service) {
    StringBuilder text = new StringBuilder();
    text.append(service.get("name"))
        .append(": version ")
        .append(service.get("serving"))
        .append(" serves");
    if (service.get("versions") instanceof List<?> versions) {
      for (Object item : versions) {
        if (item instanceof Map<?, ?> version && !Long.valueOf(0).equals(version.get("wanted"))) {
          text.append(", ")
              .append(version.get("ready"))
              .append(" of ")
              .append(version.get("wanted"));
          text.append(" ready of version ").append(version.get("version"));
          text.append(" (").append(version.get(Wire.IMAGE)).append(")");
        }
      }
    }
    if (service.get("phase") != null) {
      text.append("; roll-out to version ")
          .append(service.get("to"))
          .append(": step ")
          .append(service.get("step"));
      text.append(" of ").append(service.get("steps")).append(", ").append(service.get("phase"));
    }
    if (service.get("waitsFor") instanceof List<?> reasons && !reasons.isEmpty()) {
      text.append("; waits for ").append(reasons.get(0));
    }
    if (service.get("reason") instanceof String reason && !reason.isEmpty()) {
      text.append("; ").append(reason);
    }
    return text.toString();
  }

  private int start(String path, String image, String by, CommandLine line)
      throws IOException, ConfigException {
    MessageBody parameters = MessageBody.of();
    for (String parameter :
        line.hasOption("param") ? line.getOptionValues("param") : new String[0]) {
      int equals = parameter.indexOf('=');
      if (equals < 1) {
        throw new ConfigException("--param: NAME=VALUE is required, not '" + parameter + "'");
      }
      parameters.with(parameter.substring(0, equals), parameter.substring(equals + 1));
    }
    return start(path, image, parameters, by, line);
  }

  private int start(String path, String image, MessageBody parameters, String by, CommandLine line)
      throws IOException, ConfigException {
    MessageBody request =
        MessageBody.of()
            .with(Wire.IMAGE, image)
            .with("by", by)
            .with("parameters", parameters.fields());
    if (line.hasOption("plan")) {
      request.with("plan", readText(line.getOptionValue("plan")));
    }
    return printService(client.post(path + "/rollout", request));
  }

  /** Starts a rollout of the version that the last rollout replaced. */
  private int undo(String path, String by, CommandLine line) throws IOException, ConfigException {
    ControllerClient.Answer answer = client.get(path);
    if (answer.status() != 200) {
      return printFailure(answer);
    }
    try {
      for (MessageBody version :
          answer.body().get("phase") == null
              ? List.<MessageBody>of()
              : answer.body().maps("versions")) {
        if (version.integer("version") == answer.body().integer("from")) {
          return start(path, version.text(Wire.IMAGE), version.map("parameters"), by, line);
        }
      }
    } catch (InvalidMessageException exception) {
      throw new ConfigException("invalid answer: " + exception.getMessage());
    }
    throw new ConfigException("there is no rollout to undo");
  }

  private int history(ControllerClient.Answer answer) {
    if (answer.status() != 200) {
      return printFailure(answer);
    }
    try {
      answer.body().texts("history").forEach(out::println);
      return 0;
    } catch (InvalidMessageException exception) {
      err.println("saltflow: invalid answer: " + exception.getMessage());
      return ExitCodes.NO_ANSWER;
    }
  }

  /**
   * Prints the status until the rollout has ended: on a terminal as one line that is updated in
   * place, otherwise as a new line for each change.
   */
  private int watch(String path) throws IOException {
    boolean terminal = System.console() != null && !json;
    String last = "";
    while (true) {
      ControllerClient.Answer answer = client.get(path);
      if (answer.status() != 200) {
        return printFailure(answer);
      }
      String now = statusLine(answer.body());
      if (!now.equals(last)) {
        if (terminal) {
          out.print("\r\u001b[K" + now);
          out.flush();
        } else {
          print(answer.body());
        }
        last = now;
      }
      Object phase = answer.body().get("phase");
      if (phase == null || List.of("done", "rolled_back", "stuck").contains(phase)) {
        out.print(terminal ? System.lineSeparator() : "");
        return phase == null || phase.equals("done") ? 0 : ExitCodes.ROLLED_BACK;
      }
      client.sleep(POLL_INTERVAL);
    }
  }
}
