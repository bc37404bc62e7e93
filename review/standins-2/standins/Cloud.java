package standins;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Function;

/** A cloud by the protocol page: it rents machines, each with a {@link Worker}, up to a capacity. */
public final class Cloud implements AutoCloseable {
  /** A machine type with its number of machines in each zone, ordinary and spot. */
  public record Flavor(
      String sku, double cores, double ramGb, double hourly, double spotPrice, double readyS,
      Map<String, int[]> capacity) {}

  /** Returns the machine types of the site in Perth. */
  public static List<Flavor> perth() {
    return List.of(
        new Flavor("quad-small", 4, 16, 0.26, 0.11, 35, Map.of("perth-north", new int[] {5, 40})),
        new Flavor(
            "wide-64", 64, 256, 4.79, 1.74, 40,
            new TreeMap<>(
                Map.of("perth-north", new int[] {1, 1}, "kalgoorlie-dr", new int[] {0, 1}))));
  }

  /** Returns the machine type of the site in Almaty. */
  public static List<Flavor> almaty() {
    return List.of(
        new Flavor(
            "octa-box", 8, 32, 0.42, 0.12, 15,
            new TreeMap<>(
                Map.of("almaty-east", new int[] {10, 20}, "astana-dc", new int[] {5, 10}))));
  }

  private record Rental(
      String id, Flavor flavor, String yard, boolean loaners, double since, double[] gone,
      double[] died, Worker worker) {}

  private final Kit kit;
  private final List<Flavor> flavors;
  private final Function<String, MessageBody> descriptions;
  private final double bootS;
  private final Map<String, List<String>> hires = new LinkedHashMap<>();
  private final TreeMap<String, Rental> rentals = new TreeMap<>();
  private final HttpServer server;
  private int last;

  /**
   * Starts the cloud.
   *
   * @param descriptions the jobs' descriptions, which users upload
   * @param bootS how long a machine takes to come up
   */
  public Cloud(
      Kit kit, List<Flavor> flavors, Function<String, MessageBody> descriptions, double bootS)
      throws IOException {
    this.kit = kit;
    this.flavors = flavors;
    this.descriptions = descriptions;
    this.bootS = bootS;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
    server.createContext("/", this::handle);
    server.setExecutor(Executors.newCachedThreadPool(Cloud::daemon));
    server.start();
  }

  static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  public int port() {
    return server.getAddress().getPort();
  }

  /** Returns the workers of the machines that are rented now, in the order of creation. */
  public synchronized List<Worker> workers() {
    List<Worker> out = new ArrayList<>();
    for (Rental rental : rentals.values()) {
      if (rental.gone[0] == 0 && rental.died[0] == 0) {
        out.add(rental.worker);
      }
    }
    return out;
  }

  /** Stops a machine with all that is on it. */
  public synchronized void die(Worker worker) {
    Rental rental = rentals.get(worker.host());
    rental.died[0] = Kit.now();
    kit.log("machine " + worker.host() + " stops with all that is on it");
    worker.kill("its machine stopped");
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] in = exchange.getRequestBody().readAllBytes();
    int status;
    MessageBody out = null;
    try {
      String path = exchange.getRequestURI().getPath();
      String method = exchange.getRequestMethod();
      MessageBody body = in.length == 0 ? MessageBody.of() : MessagePackCodec.decode(in);
      status = 200;
      if (method.equals("GET") && path.equals("/flavors")) {
        out = flavorList();
      } else if (method.equals("GET") && path.equals("/rentals")) {
        out = list(exchange.getRequestURI().getQuery());
      } else if (method.equals("POST") && path.equals("/rentals")) {
        out = rent(body);
        status = out.get("error") == null ? 200 : 503;
      } else if (method.equals("POST") && path.equals("/rentals/delete")) {
        delete(body.texts("hosts"));
        out = MessageBody.of();
      } else {
        status = 400;
      }
    } catch (Exception exception) {
      kit.log("cloud: malformed request: " + exception);
      status = 400;
    }
    byte[] bytes = out == null ? new byte[0] : MessagePackCodec.encode(out);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private MessageBody flavorList() {
    List<Object> rigs = new ArrayList<>();
    for (Flavor flavor : flavors) {
      rigs.add(
          MessageBody.of().with("sku", flavor.sku).with("cores", flavor.cores).with("gpus", 0.0)
              .with("ramGb", flavor.ramGb).with("localGb", 50.0).with("fetchGbPerS", 1.0)
              .with("hourly", flavor.hourly).with("spotPrice", flavor.spotPrice)
              .with("readyS", flavor.readyS).with("yards", List.copyOf(flavor.capacity.keySet())));
    }
    return MessageBody.of().with("rigs", rigs);
  }

  private synchronized MessageBody rent(MessageBody request) throws Exception {
    String hire = request.text("hire");
    List<String> known = hires.get(hire);
    if (known != null) {
      return MessageBody.of().with("hosts", known);
    }
    String sku = request.text("rig");
    String yard = request.text("yard");
    boolean loaners = request.flagOr("loaners", false);
    Flavor flavor = flavors.stream().filter(f -> f.sku.equals(sku)).findFirst().orElseThrow();
    int used = 0;
    for (Rental rental : rentals.values()) {
      used +=
          rental.gone[0] == 0 && rental.flavor == flavor && rental.yard.equals(yard)
                  && rental.loaners == loaners
              ? 1
              : 0;
    }
    int room = flavor.capacity.get(yard)[loaners ? 1 : 0] - used;
    int count = (int) Math.min(room, request.integer("howMany"));
    if (count <= 0) {
      kit.log("cloud: no capacity for " + sku + " in " + yard + (loaners ? ", spot" : ""));
      return MessageBody.of().with("error", "no capacity");
    }
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String host = String.format("vm-%06d", ++last);
      Worker worker =
          new Worker(kit, host, flavor, yard, loaners, Kit.now() + bootS, descriptions);
      rentals.put(
          host,
          new Rental(
              host, flavor, yard, loaners, Kit.now(), new double[1], new double[1], worker));
      hosts.add(host);
    }
    hires.put(hire, hosts);
    kit.log("cloud: rented " + hosts + ", " + sku + " in " + yard + (loaners ? ", spot" : ""));
    return MessageBody.of().with("hosts", hosts);
  }

  private synchronized void delete(List<String> hosts) {
    for (String host : hosts) {
      Rental rental = rentals.get(host);
      if (rental != null && rental.gone[0] == 0) {
        rental.gone[0] = Kit.now();
        rental.worker.kill("its machine was returned");
        kit.log("cloud: " + host + " is deleted");
      }
    }
  }

  private synchronized MessageBody list(String query) {
    String after = "";
    int page = 500;
    for (String pair : query == null ? new String[0] : query.split("&")) {
      if (pair.startsWith("after=")) {
        after = pair.substring(6);
      } else if (pair.startsWith("page=")) {
        page = Math.min(500, Integer.parseInt(pair.substring(5)));
      }
    }
    double at = Kit.now() - kit.site.listLagS;
    List<Object> hosts = new ArrayList<>();
    boolean more = false;
    for (Rental rental : rentals.tailMap(after, false).values()) {
      if (rental.since > at || (rental.gone[0] != 0 && rental.gone[0] <= at)) {
        continue;
      }
      if (hosts.size() == page) {
        more = true;
        break;
      }
      boolean failed = rental.died[0] != 0 && at > rental.died[0] + 30;
      String phase = failed ? "failed" : at < rental.since + bootS ? "starting" : "running";
      hosts.add(
          MessageBody.of().with("id", rental.id).with("addr", rental.worker.address())
              .with("rig", rental.flavor.sku).with("yard", rental.yard)
              .with("loaners", rental.loaners).with("phase", phase)
              .with("ageS", at - rental.since));
    }
    return MessageBody.of().with("hosts", hosts).with("truncated", more);
  }

  @Override
  public void close() {
    server.stop(0);
    workers().forEach(worker -> worker.kill("the case is over"));
  }
}
