package io.saltflow.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Wire;
import io.saltflow.services.Plans;
import io.saltflow.transport.Loop;
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

/** {@code service} and {@code rollout}: an operator at the command line. */
final class ServiceCommands {
  /** A roll-out that was watched ended otherwise than with its version serving. */
  static final int TAKEN_BACK = 5;

  private static final Span POLL = Span.seconds(1);
  private static final List<String> TOLD = List.of("pause", "resume", "approve", "abort");

  private final PrintStream out;
  private final PrintStream err;
  private UserClient client;
  private boolean json;

  ServiceCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** The exit code. */
  int run(String command, String[] args) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("server").hasArg().build())
            .addOption(Option.builder().longOpt("by").hasArg().build())
            .addOption(Option.builder().longOpt("plan").hasArg().build())
            .addOption(Option.builder().longOpt("param").hasArgs().build())
            .addOption(Option.builder().longOpt("json").build());
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      json = line.hasOption("json");
      client =
          new UserClient(
              new Loop(), Main.address(line, "server", "127.0.0.1:8080"), Span.seconds(30));
      List<String> words = line.getArgList();
      String what = command + " " + (words.isEmpty() ? "" : words.get(0));
      return run(what, words, line);
    } catch (ParseException | ConfigError e) {
      err.println("saltflow: " + e.getMessage());
      return UserCommands.USAGE;
    } catch (IOException e) {
      err.println("saltflow: " + e.getMessage());
      return UserCommands.NO_ANSWER;
    } finally {
      if (client != null) {
        client.cancel();
      }
    }
  }

  private int run(String what, List<String> words, CommandLine line)
      throws ParseException, ConfigError, IOException {
    String by = line.getOptionValue("by", System.getProperty("user.name", "somebody"));
    switch (what) {
      case "service apply" -> {
        Body service = read(word(words, 1, "a file"));
        service.fields().putIfAbsent(Wire.TEAM, Local.TEAM);
        return told(client.post(Wire.PATH_SERVICES, service.with("by", by)));
      }
      case "service list" -> {
        return listed(client.get(Wire.PATH_SERVICES));
      }
      case "service show", "rollout status" -> {
        return told(client.get(path(words)));
      }
      case "rollout start" -> {
        return start(path(words), word(words, 2, "an image"), by, line);
      }
      case "rollout undo" -> {
        return undo(path(words), by, line);
      }
      case "rollout history" -> {
        return history(client.get(path(words)));
      }
      case "rollout watch" -> {
        return watch(path(words));
      }
      default -> {
        if (what.startsWith("rollout ") && TOLD.contains(words.get(0))) {
          return told(client.post(path(words) + "/rollout/" + words.get(0), Body.of()));
        }
        throw new ParseException("unknown command '" + what.trim() + "'");
      }
    }
  }

  private static String word(List<String> words, int i, String what) throws ParseException {
    if (words.size() <= i) {
      throw new ParseException(what + " is required");
    }
    return words.get(i);
  }

  private static String path(List<String> words) throws ParseException {
    return Wire.PATH_SERVICES + "/" + word(words, 1, "a service's name");
  }

  private static String text(String file) throws ConfigError {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new ConfigError(file + ": can't be read: " + e.getMessage());
    }
  }

  private static Body read(String file) throws ConfigError {
    try {
      JsonNode node = new ObjectMapper().readTree(text(file));
      if (!(node instanceof ObjectNode)) {
        throw new ConfigError(file + ": a map of fields is required");
      }
      return body(node);
    } catch (JsonProcessingException e) {
      throw new ConfigError(file + ": not JSON: " + e.getOriginalMessage());
    }
  }

  private static Body body(JsonNode node) {
    Body body = Body.of();
    for (Map.Entry<String, JsonNode> e : node.properties()) {
      body.with(e.getKey(), value(e.getValue()));
    }
    return body;
  }

  private static Object value(JsonNode v) {
    if (v.isObject()) {
      return body(v).fields();
    }
    if (v.isIntegralNumber()) {
      return v.longValue();
    }
    if (v.isNumber()) {
      return v.doubleValue();
    }
    if (v.isBoolean()) {
      return v.booleanValue();
    }
    return v.isTextual() ? v.textValue() : null;
  }

  /** Says what can never work of a plan for a service under these settings. */
  static void checkPlan(String serviceFile, String planFile, Config config)
      throws ParseException, ConfigError {
    if (serviceFile == null || planFile == null) {
      throw new ParseException("--service and --plan are checked together");
    }
    try {
      Body service = read(serviceFile);
      List<String> faults = Plans.check(text(planFile), service, config::teamLimit);
      if (!faults.isEmpty()) {
        throw new ConfigError(planFile + ": " + String.join("; ", faults));
      }
    } catch (BadMessage e) {
      throw new ConfigError(serviceFile + ", " + planFile + ": " + e.getMessage());
    }
  }

  private int failed(UserClient.Answer a) {
    err.println("saltflow: " + (a.status() == 0 ? "no answer" : a.error()));
    return switch (a.status()) {
      case 404 -> UserCommands.UNKNOWN;
      case 400, 409, 422 -> UserCommands.REFUSED;
      default -> UserCommands.NO_ANSWER;
    };
  }

  private int told(UserClient.Answer a) throws IOException {
    if (a.status() != 200) {
      return failed(a);
    }
    show(a.body());
    return 0;
  }

  private int listed(UserClient.Answer a) throws IOException {
    if (a.status() != 200) {
      return failed(a);
    }
    try {
      for (Body service : a.body().maps("services")) {
        show(service);
      }
      return 0;
    } catch (BadMessage e) {
      err.println("saltflow: the answer can't be read: " + e.getMessage());
      return UserCommands.NO_ANSWER;
    }
  }

  private void show(Body b) throws IOException {
    out.println(json ? new ObjectMapper().writeValueAsString(b.fields()) : line(b));
  }

  /** One line: what serves, what is on its way, and why it waits or stopped. */
  private static String line(Body b) {
    StringBuilder s = new StringBuilder();
    s.append(b.get("name")).append(": version ").append(b.get("serving")).append(" serves");
    if (b.get("versions") instanceof List<?> versions) {
      for (Object o : versions) {
        if (o instanceof Map<?, ?> v && !Long.valueOf(0).equals(v.get("wanted"))) {
          s.append(", ").append(v.get("ready")).append(" of ").append(v.get("wanted"));
          s.append(" ready of version ").append(v.get("version"));
          s.append(" (").append(v.get(Wire.IMAGE)).append(")");
        }
      }
    }
    if (b.get("phase") != null) {
      s.append("; roll-out to version ")
          .append(b.get("to"))
          .append(": step ")
          .append(b.get("step"));
      s.append(" of ").append(b.get("steps")).append(", ").append(b.get("phase"));
    }
    if (b.get("waitsFor") instanceof List<?> reasons && !reasons.isEmpty()) {
      s.append("; waits for ").append(reasons.get(0));
    }
    if (b.get("reason") instanceof String reason && !reason.isEmpty()) {
      s.append("; ").append(reason);
    }
    return s.toString();
  }

  private int start(String path, String image, String by, CommandLine line)
      throws IOException, ConfigError {
    Body parameters = Body.of();
    for (String p : line.hasOption("param") ? line.getOptionValues("param") : new String[0]) {
      int equals = p.indexOf('=');
      if (equals < 1) {
        throw new ConfigError("--param: NAME=VALUE is required, not '" + p + "'");
      }
      parameters.with(p.substring(0, equals), p.substring(equals + 1));
    }
    return start(path, image, parameters, by, line);
  }

  private int start(String path, String image, Body parameters, String by, CommandLine line)
      throws IOException, ConfigError {
    Body request =
        Body.of().with(Wire.IMAGE, image).with("by", by).with("parameters", parameters.fields());
    if (line.hasOption("plan")) {
      request.with("plan", text(line.getOptionValue("plan")));
    }
    return told(client.post(path + "/rollout", request));
  }

  /** Rolls out again what the last roll-out replaced. */
  private int undo(String path, String by, CommandLine line) throws IOException, ConfigError {
    UserClient.Answer a = client.get(path);
    if (a.status() != 200) {
      return failed(a);
    }
    try {
      for (Body v : a.body().get("phase") == null ? List.<Body>of() : a.body().maps("versions")) {
        if (v.integer("version") == a.body().integer("from")) {
          return start(path, v.text(Wire.IMAGE), v.map("parameters"), by, line);
        }
      }
    } catch (BadMessage e) {
      throw new ConfigError("the answer can't be read: " + e.getMessage());
    }
    throw new ConfigError("there is no roll-out to undo");
  }

  private int history(UserClient.Answer a) {
    if (a.status() != 200) {
      return failed(a);
    }
    try {
      a.body().texts("history").forEach(out::println);
      return 0;
    } catch (BadMessage e) {
      err.println("saltflow: the answer can't be read: " + e.getMessage());
      return UserCommands.NO_ANSWER;
    }
  }

  /** On a terminal one line that changes in place; else a line whenever something has changed. */
  private int watch(String path) throws IOException {
    boolean terminal = System.console() != null && !json;
    String last = "";
    while (true) {
      UserClient.Answer a = client.get(path);
      if (a.status() != 200) {
        return failed(a);
      }
      String now = line(a.body());
      if (!now.equals(last)) {
        if (terminal) {
          out.print("\r\u001b[K" + now);
          out.flush();
        } else {
          show(a.body());
        }
        last = now;
      }
      Object phase = a.body().get("phase");
      if (phase == null || List.of("done", "rolled_back", "stuck").contains(phase)) {
        out.print(terminal ? System.lineSeparator() : "");
        return phase == null || phase.equals("done") ? 0 : TAKEN_BACK;
      }
      client.sleep(POLL);
    }
  }
}
