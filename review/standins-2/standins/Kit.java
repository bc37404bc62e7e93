package standins;

import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Starts the project's programs as separate processes with the commands of the deploy file, and
 * writes the record of a case. All addresses are loopback addresses with free ports, all files lie
 * in a temporary folder, and all processes are ended by {@link #close}.
 */
public final class Kit implements AutoCloseable {
  /** An answer; status 0 means that none came. */
  public record Answer(int status, MessageBody body, int retryAfterS) {
    /** Returns a field as text, or an empty text. */
    public String text(String field) {
      Object value = body == null ? null : body.get(field);
      return value == null ? "" : value.toString();
    }
  }

  /** The settings of a deployment, as the pages give them. */
  public static final class Site {
    List<String> zones;
    String settings;
    double reportS;
    double leaseS;
    double rps;
    double writeRps;
    double valueKb;
    int txnOps;
    double listLagS;

    /** The look-ups in Perth. */
    public static Site perth() {
      Site site = new Site();
      site.zones = List.of("perth-north", "kalgoorlie-dr");
      site.reportS = 3;
      site.leaseS = 16;
      site.rps = 200;
      site.writeRps = 80;
      site.valueKb = 16;
      site.txnOps = 24;
      site.listLagS = 5;
      site.settings =
          "skew_ms = 5.0\n"
              + team("lookup-desk", 120, 240)
              + team("records-eng", 80, 240)
              + objective("deadline", "stale-purge", "", 0.85)
              + objective("deadline", "stale-purge", "times = 1.5\n", 0.9)
              + objective("deadline", "warrant-search", "", 0.82)
              + site.limits(41, 50, 8, 5)
              + "[settings.resources]\ncpu = 0.11\nmemory_mb = 205.0\nsockets = 1200\n";
      return site;
    }

    /** The comics reader in Almaty. */
    public static Site almaty() {
      Site site = new Site();
      site.zones = List.of("almaty-east", "astana-dc");
      site.reportS = 3;
      site.leaseS = 26;
      site.rps = 100;
      site.writeRps = 25;
      site.valueKb = 8;
      site.txnOps = 8;
      site.listLagS = 5;
      site.settings =
          "skew_ms = 250.0\n"
              + team("reader-ops", 0, 0)
              + objective("finished", "page-render", "within_s = 200.0\n", 0.92)
              + objective("finished", "page-render", "within_s = 300.0\n", 0.92)
              + objective("wait", "hotfix-reslice", "within_s = 15.0\n", 0.82)
              + objective("wait", "hotfix-reslice", "within_s = 25.0\n", 0.9)
              + objective("finished", "hotfix-reslice", "within_s = 50.0\n", 0.9)
              + objective("finished", "thumb-regen", "within_s = 250.0\n", 0.88)
              + site.limits(46, 30, 4, 4)
              + "[settings.resources]\ncpu = 0.44\nmemory_mb = 320.0\nsockets = 3000\n";
      return site;
    }

    private static String team(String name, double cpus, double most) {
      return "[[settings.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + most
          + "\ngpus = 0.0\ngpus_max = 0.0\n";
    }

    private static String objective(String kind, String lane, String within, double share) {
      return "[[settings.objectives]]\nkind = \"" + kind + "\"\nclass = \"" + lane + "\"\n" + within
          + "share = " + share + "\n";
    }

    private String limits(double cancelS, double gangWaitS, double gangPeerS, double cloudRps) {
      return "[settings.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS
          + "\ngang_wait_s = " + gangWaitS + "\ngang_peer_s = " + gangPeerS + "\ncancel_s = "
          + cancelS + "\n[settings.state]\nrps = " + rps + "\nwrite_rps = " + writeRps
          + "\nvalue_kb = " + valueKb + "\ntxn_ops = " + txnOps + "\n[settings.cloud]\nrps = "
          + cloudRps + "\nlist_lag_s = " + listLagS + "\n";
    }
  }

  private static final long STARTED = System.nanoTime();
  public final Site site;
  public final Path folder;
  public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final List<Process> processes = new ArrayList<>();
  public final Map<String, Process> controllers = new TreeMap<>();
  public final Map<String, Integer> httpPorts = new TreeMap<>();
  private final Map<String, Integer> meshPorts = new TreeMap<>();
  private final Map<String, List<String>> commands = new TreeMap<>();
  private final Map<String, Integer> starts = new TreeMap<>();
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1000))
          .build();

  /** Opens the record of a case. */
  public Kit(Path recordFile, Site site) throws IOException {
    this.site = site;
    folder = Files.createTempDirectory("saltflow-case-");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    log("trouble: " + (trouble ? "yes" : "no"));
  }

  /** Returns the seconds since the case began. */
  public static double now() {
    return (System.nanoTime() - STARTED) / 1e9;
  }

  /** Writes a line to the record. */
  public synchronized void log(String line) {
    record.println(String.format(Locale.ROOT, "%8.3f %s", now(), line));
    record.flush();
  }

  public static void sleep(double seconds) {
    try {
      Thread.sleep(Math.max(1, Math.round(seconds * 1000)));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the condition holds, and returns whether it did within the time. */
  public static boolean await(double seconds, BooleanSupplier condition) {
    double end = now() + seconds;
    while (now() < end) {
      if (condition.getAsBoolean()) {
        return true;
      }
      sleep(0.05);
    }
    return condition.getAsBoolean();
  }

  public static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Returns the words of the line {@code run} of a deploy file. */
  public static List<String> runLine(String deployFile) throws IOException {
    for (String line : Files.readAllLines(Path.of(deployFile))) {
      if (line.startsWith("run = \"")) {
        return new ArrayList<>(
            Arrays.asList(line.substring(7, line.lastIndexOf('"')).trim().split("\\s+")));
      }
    }
    throw new IOException(deployFile + ": no line run");
  }

  /** Starts a process in the root of the repository; what it writes goes to a file. */
  public Process start(String name, List<String> command) throws IOException {
    int count = starts.merge(name, 1, Integer::sum);
    File out = folder.resolve(name + "-" + count + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.redirectOutput(out);
    builder.environment().put("LOG_LEVEL", "info");
    Process process = builder.start();
    synchronized (processes) {
      processes.add(process);
    }
    log("started " + name + ", process " + process.pid());
    return process;
  }

  /** Returns what a process has written. */
  public String output(String name) {
    try {
      return Files.readString(folder.resolve(name + "-" + starts.get(name) + ".log"));
    } catch (IOException exception) {
      return "";
    }
  }

  /** Starts the project's state service and returns its port. */
  public int startState() throws IOException {
    int port = freePort();
    startState(port);
    return port;
  }

  /** Starts the project's state service on a port. */
  public Process startState(int port) throws IOException {
    Process process =
        start(
            "state",
            List.of(
                "java", "-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar",
                "target/saltflow.jar", "state", "--data", folder.resolve("state").toString(),
                "--listen", "127.0.0.1:" + port, "--rps", number(site.rps), "--write-rps",
                number(site.writeRps), "--value-kb", number(site.valueKb), "--txn-ops",
                Integer.toString(site.txnOps)));
    if (!await(20, () -> output("state").contains("ready: state on"))) {
      throw new IOException("the state service did not start: " + output("state"));
    }
    return process;
  }

  private static String number(double value) {
    return value == Math.rint(value)
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.3f", value);
  }

  /**
   * Writes the settings files of controllers.
   *
   * @param extra arguments by controller that are put before the last one of the run line
   */
  public void prepareControllers(
      int count, int statePort, int cloudPort, List<String> runLine, Map<String, List<String>> extra)
      throws IOException {
    for (int i = 0; i < count; i++) {
      httpPorts.put("saltbox-" + i, freePort());
      meshPorts.put("saltbox-" + i, freePort());
    }
    int index = 0;
    for (String host : httpPorts.keySet()) {
      StringBuilder toml = new StringBuilder();
      toml.append("host_name = \"").append(host).append("\"\n");
      toml.append("zone = \"").append(zone(index++)).append("\"\n");
      toml.append("serve_on = \"127.0.0.1:").append(httpPorts.get(host)).append("\"\n");
      toml.append("mesh_addr = \"127.0.0.1:").append(meshPorts.get(host)).append("\"\n");
      int other = 0;
      for (String sibling : httpPorts.keySet()) {
        String siblingZone = zone(other++);
        if (!sibling.equals(host)) {
          toml.append("[[siblings]]\nhost_name = \"").append(sibling).append("\"\n");
          toml.append("zone = \"").append(siblingZone).append("\"\n");
          toml.append("addr = \"127.0.0.1:").append(meshPorts.get(sibling)).append("\"\n");
        }
      }
      toml.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\n");
      toml.append("state = \"127.0.0.1:").append(statePort).append("\"\n");
      toml.append("[settings]\nsize = ").append(count).append("\nzones = [");
      toml.append(String.join(", ", site.zones.stream().map(z -> "\"" + z + "\"").toList()));
      toml.append("]\n").append(site.settings);
      Path settings = Files.writeString(folder.resolve(host + ".toml"), toml.toString());
      List<String> command = new ArrayList<>(runLine);
      command.addAll(command.size() - 1, extra.getOrDefault(host, List.of()));
      command.add(settings.toString());
      commands.put(host, command);
    }
  }

  private String zone(int index) {
    return site.zones.get(index % site.zones.size());
  }

  /** Starts a controller with the settings that were prepared for it. */
  public void startController(String host) throws IOException {
    controllers.put(host, start(host, commands.get(host)));
  }

  public void startControllers() throws IOException {
    for (String host : httpPorts.keySet()) {
      startController(host);
    }
  }

  /** Returns the controllers' HTTP addresses. */
  public List<String> nodes() {
    return httpPorts.values().stream().map(port -> "127.0.0.1:" + port).toList();
  }

  /** Returns the host of the leader by the key that the state service holds, or null. */
  public String leader(int statePort) {
    Answer answer = call("GET", statePort, "/kv/lead", null, 1);
    return answer.status == 200
            && answer.body.get("data") instanceof Map<?, ?> data
            && data.get("host") instanceof String host
        ? host
        : null;
  }

  /** Waits for a leader that serves, and returns its host. */
  public String awaitLeader(int statePort, double seconds) throws IOException {
    String[] host = new String[1];
    if (!await(
        seconds,
        () -> {
          host[0] = leader(statePort);
          return host[0] != null && controllers.get(host[0]).isAlive();
        })) {
      throw new IOException("no leader");
    }
    return host[0];
  }

  /** Kills a process without a signal that it could handle, and waits for its end. */
  public void kill(String name, Process process) {
    log("kill " + name + ", process " + process.pid());
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops (SIGSTOP) or continues (SIGCONT) a process that this kit started. */
  public void signal(String name, Process process, String signal) throws IOException {
    log("signal " + signal + " to " + name + ", process " + process.pid());
    Process kill =
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    try {
      kill.waitFor();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a request on a new connection, and returns its answer. */
  public Answer call(String method, int port, String target, MessageBody body, double timeoutS) {
    byte[] bytes = body == null ? new byte[0] : MessagePackCodec.encode(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + target))
            .timeout(Duration.ofMillis(Math.round(timeoutS * 1000)))
            .method(
                method,
                bytes.length == 0 && method.equals("GET")
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(bytes))
            .build();
    try {
      HttpResponse<byte[]> response =
          http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      MessageBody answer =
          response.body().length == 0 ? null : MessagePackCodec.decode(response.body());
      return new Answer(
          response.statusCode(),
          answer,
          response.headers().firstValue("Retry-After").map(Integer::parseInt).orElse(0));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return new Answer(0, null, 0);
    } catch (Exception exception) {
      return new Answer(0, null, 0);
    }
  }

  private static final class Turn {
    int next;
  }

  private final Turn turn = new Turn();

  /** Returns the port of the next healthy controller, as a load balancer would choose it. */
  public int healthyPort() {
    List<Integer> ports = List.copyOf(httpPorts.values());
    for (int i = 0; i < ports.size(); i++) {
      int port;
      synchronized (turn) {
        port = ports.get(turn.next++ % ports.size());
      }
      if (call("GET", port, "/healthz", null, 1).status == 200) {
        return port;
      }
    }
    return ports.get(0);
  }

  /** Submits a job as a user does, with retries for 60 s; returns the last answer. */
  public Answer submit(MessageBody job) {
    return retry("POST", "/submissions", job, "submit " + job.get("id"));
  }

  /** Cancels a job as a user does. */
  public Answer withdraw(String id) {
    return retry("POST", "/submissions/" + id + "/withdraw", null, "withdraw " + id);
  }

  private Answer retry(String method, String target, MessageBody body, String what) {
    double end = now() + 60;
    while (true) {
      Answer answer = call(method, healthyPort(), target, body, 5);
      log("user: " + what + " -> " + answer.status + " " + answer.text("phase") + answer.text("error"));
      boolean again =
          answer.status != 200 && answer.status != 201 && answer.status != 400
              && answer.status != 404 && answer.status != 422;
      if (!again || now() > end) {
        return answer;
      }
      sleep(Math.max(1, Math.min(30, answer.retryAfterS)));
    }
  }

  /** Asks for a job as a user does, once. */
  public Answer poll(String id) {
    Answer answer = call("GET", healthyPort(), "/submissions/" + id, null, 2);
    log("user: poll " + id + " -> " + answer.status + " " + answer.text("phase") + ", "
        + answer.text("done") + " done, " + answer.text("running") + " running");
    return answer;
  }

  /** Returns a job of an array of tasks. */
  public static MessageBody job(
      String id, String lane, String crew, String urgency, int shards, double cores, double expectS) {
    return MessageBody.of()
        .with("id", id).with("lane", lane).with("crew", crew).with("shape", "array")
        .with("urgency", urgency).with("shards", (long) shards).with("cores", cores)
        .with("gpus", 0.0).with("ramGb", 4.0).with("bundle", "img-1").with("sizeGb", 0.1)
        .with("rigs", null).with("yard", null).with("together", false).with("apart", false)
        .with("loaners", true).with("expectS", expectS).with("snapshotS", 0.0)
        .with("flushS", 0.0).with("dueS", null);
  }

  /** Copies the last lines of each process's log into the record. */
  public void keepLogs(String... patterns) {
    for (Map.Entry<String, Integer> entry : starts.entrySet()) {
      for (int i = 1; i <= entry.getValue(); i++) {
        Path file = folder.resolve(entry.getKey() + "-" + i + ".log");
        try (BufferedReader in =
            new BufferedReader(
                new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
          String name = entry.getKey() + (entry.getValue() > 1 ? " (start " + i + ")" : "");
          in.lines()
              .filter(line -> Arrays.stream(patterns).anyMatch(line::contains))
              .limit(60)
              .forEach(line -> record.println("    log of " + name + ": " + line));
        } catch (IOException exception) {
          record.println("    no log of " + entry.getKey());
        }
      }
    }
    record.flush();
  }

  private void endProcesses() {
    synchronized (processes) {
      for (Process process : processes) {
        if (process.isAlive()) {
          process.destroyForcibly();
        }
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      } catch (IOException exception) {
        // A file that can't be deleted stays in the temporary folder.
      }
    } else {
      System.err.println(folder);
    }
  }

  /** Returns an empty map of extra arguments. */
  public static Map<String, List<String>> none() {
    return new LinkedHashMap<>();
  }
}
