package io.saltflow.compat;

import io.saltflow.app.Main;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects the output of the program's commands and its HTTP answers. */
final class CommandLineTexts {
  private static final Path SETTINGS = Path.of("src/test/resources/compat");
  private static final int MAX_RETRIES = 200;
  private static final long RETRY_DELAY_MS = 100;
  private static final List<String> COMMANDS =
      List.of(
          "serve",
          "check-config",
          "local",
          "state",
          "submit",
          "status",
          "watch",
          "cancel",
          "service",
          "rollout",
          "queue",
          "lane",
          "moves",
          "ready",
          "hash-password");

  private CommandLineTexts() {}

  /** Returns the output and exit code of each command for help requests and unknown words. */
  static Map<String, List<String>> ofCommands(Path folder)
      throws IOException, InterruptedException {
    List<List<String>> all = new ArrayList<>();
    all.add(List.of());
    for (String word : List.of("--help", "-h", "help", "--version", "dance")) {
      all.add(List.of(word));
    }
    COMMANDS.forEach(command -> all.add(List.of(command, "--help")));
    List.of("service", "rollout", "state").forEach(command -> all.add(List.of(command, "dance")));
    all.add(
        List.of(
            "check-config",
            "--config",
            SETTINGS.resolve("settings.toml").toString(),
            "--settings",
            SETTINGS.resolve("operator-settings.json").toString(),
            "--queues",
            SETTINGS.resolve("queues.json").toString(),
            "--service",
            SETTINGS.resolve("service.json").toString(),
            "--plan",
            SETTINGS.resolve("rollout-plan.json").toString()));
    Map<String, Process> started = new LinkedHashMap<>();
    for (List<String> arguments : all) {
      String name = "command line: " + String.join(" ", arguments);
      Path out = folder.resolve("out-" + started.size());
      Path err = folder.resolve("err-" + started.size());
      started.put(
          name,
          process(arguments).redirectOutput(out.toFile()).redirectError(err.toFile()).start());
    }
    Map<String, List<String>> texts = new LinkedHashMap<>();
    for (Map.Entry<String, Process> each : started.entrySet()) {
      each.getValue().getOutputStream().close();
      List<String> lines = new ArrayList<>();
      lines.add("exit code " + each.getValue().waitFor());
      Files.readAllLines(folder.resolve("out-" + texts.size()))
          .forEach(line -> lines.add("out: " + line));
      Files.readAllLines(folder.resolve("err-" + texts.size()))
          .forEach(line -> lines.add("err: " + line));
      texts.put(each.getKey(), lines);
    }
    return texts;
  }

  private static ProcessBuilder process(List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx128m", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.add(Main.class.getName());
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().remove("LOG_LEVEL");
    return builder;
  }

  // ---- HTTP

  /** Returns the answers of {@code local} to users and operators, without time-dependent values. */
  static List<String> ofHttp() throws IOException, InterruptedException, InvalidMessageException {
    Process process =
        process(List.of("local", "--http", "127.0.0.1:0", "--amqp", "127.0.0.1:0"))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      BufferedReader out =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String ready = out.readLine();
      if (ready == null || !ready.startsWith("ready: http ")) {
        throw new IOException("local did not start: " + ready);
      }
      String server = ready.replaceFirst("ready: http (\\S+), .*", "$1");
      return new Conversation(server).lines(ready.replaceAll(":\\d+", ":PORT"));
    } finally {
      process.destroyForcibly().waitFor();
    }
  }

  /** Sends requests to a server one after the other and records the answers. */
  private static final class Conversation {
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> lines = new ArrayList<>();
    private final String server;

    Conversation(String server) {
      this.server = server;
    }

    List<String> lines(String ready)
        throws IOException, InterruptedException, InvalidMessageException {
      lines.add(ready);
      exchange("GET", "/healthz", null);
      exchange("GET", "/queue", null);
      exchange("POST", "/submissions", JobCodec.encode(job("req-1", "local", 2)));
      exchange("POST", "/submissions", JobCodec.encode(job("req-2", "nobody", 2)));
      exchange("POST", "/submissions", MessageBody.of().with("id", "req-3"));
      exchange("POST", "/submissions", MessageBody.of().with("id", "x"));
      exchange("POST", "/submissions/req-1/withdraw", null);
      exchange("POST", "/submissions/req-9/withdraw", null);
      exchange("GET", "/submissions/req-1", null);
      exchange("GET", "/submissions/req-9", null);
      exchange("POST", "/submissions", JobCodec.encode(job("req-1", "local", 2)));
      exchange("POST", "/queue/req-1", MessageBody.of().with("lane", "front"));
      exchange("POST", "/queue/req-9", MessageBody.of().with("lane", "front"));
      exchange("POST", "/queue/req-1", MessageBody.of().with("lane", "none"));
      exchange("GET", "/moves", null);
      exchange("GET", "/ready", null);
      exchange("GET", "/ready/none", null);
      exchange("GET", "/services", null);
      exchange("GET", "/services/none", null);
      exchange("POST", "/services", service());
      exchange("POST", "/services/page-cache/rollout", MessageBody.of().with("bundle", "img-2"));
      exchange("POST", "/services/page-cache/rollout/pause", MessageBody.of());
      exchange("POST", "/services/page-cache/rollout/dance", MessageBody.of());
      exchange("POST", "/checkin", MessageBody.of());
      exchange("GET", "/nowhere", null);
      exchange("POST", "/submissions", JobCodec.encode(job("req-5", "local", 1000)));
      lines.add("fields of a lane: " + fieldsOfLane());
      return lines;
    }

    private static JobSpec job(String id, String team, int tasks) {
      return new JobSpec(
          new JobId(id),
          "pages",
          team,
          false,
          Priority.NORMAL,
          tasks,
          new Resources(1, 0, 1),
          null,
          null,
          false,
          false,
          true,
          "stand-in/hang",
          0.1,
          TimeSpan.seconds(1000),
          TimeSpan.seconds(0),
          TimeSpan.seconds(0),
          null,
          List.of());
    }

    private static MessageBody service() {
      return MessageBody.of()
          .with("name", "page-cache")
          .with("crew", "local")
          .with("replicas", 2L)
          .with("cores", 1.0)
          .with("bundle", "img-1")
          .with("by", "ann");
    }

    private void exchange(String method, String path, MessageBody body)
        throws IOException, InterruptedException, InvalidMessageException {
      HttpResponse<byte[]> answer = send(method, path, body);
      String text =
          answer.body().length == 0
              ? ""
              : " " + describe(MessagePackCodec.decode(answer.body()).fields());
      lines.add(method + " " + path + ": " + answer.statusCode() + text);
    }

    /** Sends a request and, as users do, retries it while the controller answers 503. */
    private HttpResponse<byte[]> send(String method, String path, MessageBody body)
        throws IOException, InterruptedException {
      HttpRequest.BodyPublisher sent =
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofByteArray(MessagePackCodec.encode(body));
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + server + path))
              .method(method, sent)
              .build();
      HttpResponse<byte[]> answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      for (int retry = 0; answer.statusCode() == 503 && retry < MAX_RETRIES; retry++) {
        Thread.sleep(RETRY_DELAY_MS);
        answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      }
      return answer;
    }

    /**
     * Waits until the queue lists the last job, most of whose tasks never fit, and returns the
     * field names of its lane.
     */
    private Set<String> fieldsOfLane()
        throws IOException, InterruptedException, InvalidMessageException {
      for (int retry = 0; retry < MAX_RETRIES; retry++) {
        List<MessageBody> lanes =
            MessagePackCodec.decode(send("GET", "/queue", null).body()).maps("lanes");
        if (!lanes.isEmpty()) {
          return lanes.get(0).fields().keySet();
        }
        Thread.sleep(RETRY_DELAY_MS);
      }
      return Set.of();
    }

    /** Returns the fields as text, with time-dependent values and counts masked. */
    private static String describe(Map<String, Object> fields) {
      return fields
          .toString()
          .replace("\n", "\\n")
          .replaceAll("\\b(sinceMs|sinceS|wanted|ready|unseen)=[0-9.E-]+", "$1=#")
          .replaceAll("waitsFor=\\[[^\\]]*\\]", "waitsFor=[#]");
    }
  }
}
