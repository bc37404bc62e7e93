import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the state service and the controllers as processes of their own,
 * a proxy in front of the state service for each controller, and a stand-in of the cloud. Ends all
 * that it started and deletes its temporary folder.
 */
final class Lab implements AutoCloseable {
  /** Ends a run in which the case could not be brought about. */
  static final class CouldNotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CouldNotRun(String reason) {
      super(reason);
    }
  }

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** A case: returns HELD or BROKEN. */
  interface Case {
    int run(Lab lab, boolean trouble) throws Exception;
  }

  final class Controller {
    final String name;
    final int index;
    final int http;
    final int mesh;
    final int amqp;
    final StateProxy proxy;
    Process process;

    Controller(int index) throws IOException {
      this.index = index;
      name = "saltbox-" + index;
      http = freePort();
      mesh = freePort();
      amqp = freePort();
      proxy = new StateProxy(Lab.this, name, statePort);
    }

    void start() throws IOException {
      List<String> command = new ArrayList<>(runLine);
      int config = command.lastIndexOf("--config");
      if (command.contains("--queues")) {
        // All controllers share one host here, so each listens for AMQP clients on its own port.
        command.addAll(config, List.of("--amqp", "127.0.0.1:" + amqp));
      }
      command.add(folder.resolve(name + ".toml").toString());
      process = launch(command, name);
      record("started " + name + ", process " + process.pid());
    }

    void kill() throws InterruptedException {
      record("kill -9 " + name + ", process " + process.pid());
      process.destroyForcibly();
      process.waitFor();
    }
  }

  private final long beganNs = System.nanoTime();
  private final PrintWriter log;
  private final Path folder;
  private final List<Process> processes = new ArrayList<>();
  private final List<String> runLine;
  private final String java;
  private int statePort;
  private int cloudPort;
  final List<Controller> controllers = new ArrayList<>();

  private Lab(Path recordFile, Path deployFile) throws IOException {
    log = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("saltflow-review-");
    runLine = runLine(deployFile);
    java = runLine.get(0);
  }

  /** Runs a case and exits with its result: arguments are the deploy file and the record's path. */
  static void main(String[] args, Case body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = COULD_NOT_RUN;
    Lab lab = null;
    try {
      lab = new Lab(Path.of(args[1]), Path.of(args[0]));
      Lab running = lab;
      Runtime.getRuntime().addShutdownHook(new Thread(running::close));
      Thread watchdog =
          new Thread(
              () -> {
                sleep(112_000);
                running.record("could not run: still not over after 112 s");
                running.close();
                Runtime.getRuntime().halt(COULD_NOT_RUN);
              });
      watchdog.setDaemon(true);
      watchdog.start();
      lab.record("TROUBLE=" + (trouble ? 1 : 0));
      code = body.run(lab, trouble);
      lab.record(code == HELD ? "result 0: the rule held" : "result 1: the rule was broken");
    } catch (CouldNotRun exception) {
      lab.record("result 2: could not run: " + exception.getMessage());
    } catch (Exception exception) {
      if (lab != null) {
        lab.record("result 2: could not run: " + exception);
      }
      exception.printStackTrace();
    } finally {
      if (lab != null) {
        lab.close();
      }
    }
    System.exit(code);
  }

  /** Reads the run line of a deploy file, as the platform does: a program with its arguments. */
  private static List<String> runLine(Path deployFile) throws IOException {
    for (String line : Files.readAllLines(deployFile)) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).trim().split("\\s+"));
      }
    }
    throw new IOException(deployFile + " has no run line");
  }

  /** Writes a line to the record and to standard output. */
  void record(String text) {
    System.out.println(note(text));
  }

  /** Writes a line to the record only. */
  synchronized String note(String text) {
    double seconds = (System.nanoTime() - beganNs) / 1e9;
    String line = String.format(Locale.ROOT, "%8.3f %s", seconds, text);
    log.println(line);
    return line;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private synchronized Process launch(List<String> command, String name) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Process process = builder.start();
    processes.add(process);
    return process;
  }

  /** Starts all parts with the limits of the site almaty-panel-render and its three controllers. */
  void start() throws IOException, CouldNotRun {
    statePort = freePort();
    launch(
        List.of(
            java, "-Xmx96m", "-jar", "target/saltflow.jar", "state",
            "--data", folder.resolve("state").toString(), "--listen", "127.0.0.1:" + statePort,
            "--rps", "100", "--write-rps", "25", "--value-kb", "8", "--txn-ops", "8"),
        "state");
    awaitPort(statePort);
    cloudPort = Http.serve(Lab::cloud);
    for (int index = 0; index < 3; index++) {
      controllers.add(new Controller(index));
    }
    for (Controller controller : controllers) {
      Files.writeString(folder.resolve(controller.name + ".toml"), settings(controller));
      controller.start();
    }
  }

  private void awaitPort(int port) throws CouldNotRun {
    for (int i = 0; i < 150; i++) {
      try (java.net.Socket socket = new java.net.Socket("127.0.0.1", port)) {
        return;
      } catch (IOException exception) {
        sleep(100);
      }
    }
    throw new CouldNotRun("nothing listens on port " + port);
  }

  private String settings(Controller controller) {
    StringBuilder out = new StringBuilder();
    String[] zones = {"almaty-east", "astana-dc", "almaty-east"};
    out.append("host_name = \"").append(controller.name).append("\"\n");
    out.append("zone = \"").append(zones[controller.index]).append("\"\n");
    out.append("serve_on = \"127.0.0.1:").append(controller.http).append("\"\n");
    out.append("mesh_addr = \"127.0.0.1:").append(controller.mesh).append("\"\n");
    for (Controller other : controllers) {
      if (other != controller) {
        out.append("[[siblings]]\nhost_name = \"").append(other.name).append("\"\n");
        out.append("zone = \"").append(zones[other.index]).append("\"\n");
        out.append("addr = \"127.0.0.1:").append(other.mesh).append("\"\n");
      }
    }
    out.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\n");
    out.append("state = \"127.0.0.1:").append(controller.proxy.port()).append("\"\n");
    out.append("[settings]\nsize = 3\nzones = [\"almaty-east\", \"astana-dc\"]\nskew_ms = 250.0\n");
    out.append("[[settings.teams]]\nname = \"reader-ops\"\n");
    out.append("cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n");
    out.append("[settings.workers]\nreport_s = 3.0\nlease_s = 26.0\n");
    out.append("gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 46.0\n");
    out.append("[settings.state]\nrps = 100.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8\n");
    out.append("[settings.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n");
    out.append("[settings.resources]\ncpu = 0.44\nmemory_mb = 320.0\nsockets = 3000\n");
    return out.toString();
  }

  /** The cloud: one machine type of the site, and no machine to give. */
  private static Http.Response cloud(Http.Request request) {
    if (request.target().equals("/flavors")) {
      MessageBody type =
          MessageBody.of()
              .with("sku", "octa-box")
              .with("cores", 8.0)
              .with("gpus", 0.0)
              .with("ramGb", 32.0)
              .with("localGb", 200.0)
              .with("fetchGbPerS", 1.0)
              .with("hourly", 0.42)
              .with("spotPrice", 0.12)
              .with("readyS", 15.0)
              .with("yards", List.of("almaty-east", "astana-dc"));
      return answer(200, MessageBody.of().with("rigs", List.of(type)));
    }
    if (request.method().equals("GET")) {
      return answer(200, MessageBody.of().with("hosts", List.of()).with("truncated", false));
    }
    return request.target().equals("/rentals")
        ? answer(503, MessageBody.of().with("error", "no capacity"))
        : answer(200, MessageBody.of());
  }

  private static Http.Response answer(int status, MessageBody body) {
    return new Http.Response(status, MessagePackCodec.encode(body));
  }

  /** Returns whether the log of a process holds a text. */
  boolean logHas(String name, String text) throws IOException {
    Path file = folder.resolve(name + ".log");
    return Files.exists(file)
        && new String(Files.readAllBytes(file), StandardCharsets.UTF_8).contains(text);
  }

  /** Connects to the controller whose queues are served, trying all that run. */
  AmqpClient connectToLeader(String clientName, long withinMs) throws CouldNotRun {
    long until = System.nanoTime() + withinMs * 1_000_000;
    String last = "";
    while (System.nanoTime() < until) {
      for (Controller controller : controllers) {
        if (!controller.process.isAlive()) {
          continue;
        }
        try {
          AmqpClient client = new AmqpClient(this, clientName, controller);
          record(clientName + " is connected to " + controller.name + ", which leads");
          return client;
        } catch (IOException exception) {
          last = controller.name + ": " + exception.getMessage();
        }
      }
      sleep(250);
    }
    throw new CouldNotRun("no controller serves queues; the last answer: " + last);
  }

  @Override
  public synchronized void close() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
    processes.clear();
    if (System.getenv("KEEP_LOGS") != null || !Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException exception) {
      System.err.println("temporary folder is left: " + exception.getMessage());
    }
  }
}
