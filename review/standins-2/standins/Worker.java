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
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.function.Function;

/**
 * One machine with its worker by the protocol page. Tasks are timers; those with the image
 * {@code img-mistake} fail at their end, those with {@code img-dies-N} after N seconds.
 */
public final class Worker {
  /** A task that began to run here, in the order of the beginnings. */
  public record Start(String host, String shard, long attempt, double at) {}

  /** All tasks that began to run, on all machines. */
  public static final List<Start> STARTS = new ArrayList<>();

  /** All tasks that ended by themselves: the shard, the cause, the time. */
  public static final List<String[]> ENDS = new ArrayList<>();

  private static final class Shard {
    final String shard;
    final long attempt;
    MessageBody job;
    String phase = "fetching";
    String cause;
    boolean stored;
    boolean fails;
    double next = Double.MAX_VALUE;

    Shard(String shard, long attempt) {
      this.shard = shard;
      this.attempt = attempt;
    }

    double number(String field) {
      return job.get(field) instanceof Number value ? value.doubleValue() : 0;
    }

    void exit(String why) {
      phase = "exited";
      cause = why;
      next = Double.MAX_VALUE;
    }
  }

  private final Kit kit;
  private final String host;
  private final Cloud.Flavor flavor;
  private final String yard;
  private final boolean loaners;
  private final Function<String, MessageBody> descriptions;
  private final Map<String, Shard> shards = new LinkedHashMap<>();
  private final Map<String, Double> images = new LinkedHashMap<>();
  private final Random random = new Random();
  private HttpServer server;
  private boolean alive = true;
  private boolean up;
  private boolean sick;
  private boolean changed = true;
  private long shift = 1;
  private long tick;
  private long baton;
  private double leaseFrom;
  private double lastReport = -1;
  private double nextReport;
  private double batonChangeAt = -1e9;
  private int node;

  Worker(
      Kit kit, String host, Cloud.Flavor flavor, String yard, boolean loaners, double upAt,
      Function<String, MessageBody> descriptions)
      throws IOException {
    this.kit = kit;
    this.host = host;
    this.flavor = flavor;
    this.yard = yard;
    this.loaners = loaners;
    this.descriptions = descriptions;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 8);
    server.createContext("/", this::handle);
    server.setExecutor(Executors.newCachedThreadPool(Cloud::daemon));
    node = Math.floorMod(random.nextInt(), Math.max(1, kit.nodes().size()));
    Cloud.daemon(() -> run(upAt)).start();
  }

  public String host() {
    return host;
  }

  public Cloud.Flavor flavor() {
    return flavor;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  public synchronized boolean isUp() {
    return up && alive;
  }

  /** Makes the machine fail every task that it starts from now on, or no longer. */
  public synchronized void setSick(boolean value) {
    sick = value;
    kit.log("machine " + host + (value ? " fails every task that it starts" : " works again"));
  }

  /** Returns the cores that no task takes. */
  public synchronized double freeCores() {
    return flavor.cores() - taken("cores");
  }

  /** Returns the memory that no task takes. */
  public synchronized double freeRamGb() {
    return flavor.ramGb() - taken("ramGb");
  }

  private double taken(String field) {
    return shards.values().stream()
        .filter(shard -> !shard.phase.equals("exited") && shard.job != null)
        .mapToDouble(shard -> shard.number(field))
        .sum();
  }

  /** Returns the shards of a job that are on the machine and have not exited. */
  public synchronized List<String> onMachine(String job) {
    return shards.values().stream()
        .filter(s -> s.shard.startsWith(job + "/") && !s.phase.equals("exited"))
        .map(s -> s.shard + " try " + s.attempt + " " + s.phase)
        .toList();
  }

  synchronized void kill(String why) {
    alive = false;
    for (Shard shard : shards.values()) {
      if (!shard.phase.equals("exited")) {
        kit.log(host + ": " + shard.shard + " try " + shard.attempt + " is killed, " + why);
      }
    }
    shards.clear();
    server.stop(0);
  }

  private void run(double upAt) {
    Kit.sleep(upAt - Kit.now());
    synchronized (this) {
      if (!alive) {
        return;
      }
      up = true;
      leaseFrom = Kit.now();
      server.start();
    }
    kit.log(host + " is up");
    Cloud.daemon(this::reportLoop).start();
    while (isUp()) {
      step();
      Kit.sleep(0.02);
    }
  }

  private synchronized void step() {
    double now = Kit.now();
    if (now - leaseFrom > kit.site.leaseS) {
      for (Shard shard : shards.values()) {
        if (!shard.phase.equals("exited")) {
          kit.log(host + ": " + shard.shard + " try " + shard.attempt + " is killed by the lease");
        }
      }
      changed |= !shards.isEmpty();
      shards.clear();
      shift++;
      leaseFrom = now;
      return;
    }
    for (Shard shard : shards.values()) {
      if (now >= shard.next) {
        advance(shard, now);
      }
    }
  }

  private void advance(Shard shard, double now) {
    changed = true;
    String name = shard.shard + " try " + shard.attempt;
    if (shard.phase.equals("fetching")) {
      shard.phase = "running";
      String image = String.valueOf(shard.job.get("bundle"));
      boolean dies = image.startsWith("img-dies-");
      shard.fails = sick || dies || image.equals("img-mistake");
      boolean daemon = "daemon".equals(shard.job.get("shape")) && !shard.fails;
      double run = dies ? Double.parseDouble(image.substring(9)) : shard.number("expectS");
      shard.next = daemon ? Double.MAX_VALUE : now + (sick ? Math.min(1, run) : run);
      synchronized (STARTS) {
        STARTS.add(new Start(host, shard.shard, shard.attempt, now));
      }
      kit.log(host + ": " + name + " starts to run");
    } else if (shard.phase.equals("running")) {
      shard.exit(shard.fails ? "error" : "done");
      synchronized (ENDS) {
        ENDS.add(new String[] {shard.shard, shard.cause, Double.toString(now)});
      }
      kit.log(host + ": " + name + " ends: " + shard.cause);
    } else if (shard.phase.equals("saving")) {
      shard.stored = true;
      shard.exit("stopped");
    }
  }

  private void reportLoop() {
    while (isUp()) {
      boolean due;
      synchronized (this) {
        double now = Kit.now();
        due = now >= nextReport || (changed && now - lastReport >= 0.5);
      }
      if (due) {
        report();
      }
      Kit.sleep(0.02);
    }
  }

  private void report() {
    MessageBody body;
    long session;
    double sent = Kit.now();
    List<String> nodes = kit.nodes();
    synchronized (this) {
      changed = false;
      session = shift;
      body = status();
      lastReport = sent;
      nextReport = sent + kit.site.reportS * (0.75 + random.nextDouble() / 2);
    }
    int port = Integer.parseInt(nodes.get(node % nodes.size()).split(":")[1]);
    Kit.Answer answer = kit.call("POST", port, "/checkin", body, 4);
    synchronized (this) {
      if (!alive) {
        return;
      }
      if (answer.status() == 200 && answer.body() != null) {
        if (session == shift && accept(answer.body(), sent)) {
          execute(answer.body());
        }
        return;
      }
      Integer named = kit.httpPorts.get(answer.text("foreman"));
      if (answer.status() == 421 && named != null && named != port) {
        node = nodes.indexOf("127.0.0.1:" + named);
        nextReport = Kit.now() + random.nextDouble() / 2;
      } else {
        node = (node + 1) % nodes.size();
        nextReport = Kit.now() + 1;
        lastReport = Kit.now() + 0.5;
      }
    }
  }

  private boolean accept(MessageBody answer, double sent) {
    long token = answer.get("baton") instanceof Long value ? value : -1;
    if (token < baton) {
      return false;
    }
    if (token > baton) {
      baton = token;
      if (Kit.now() - batonChangeAt >= kit.site.leaseS / 2) {
        batonChangeAt = Kit.now();
        changed = true;
      }
    }
    leaseFrom = Math.max(leaseFrom, sent);
    return true;
  }

  private MessageBody status() {
    List<Object> list = new ArrayList<>();
    for (Shard shard : shards.values()) {
      MessageBody entry =
          MessageBody.of().with("shard", shard.shard).with("try", shard.attempt)
              .with("phase", shard.phase);
      if (shard.cause != null) {
        entry.with("cause", shard.cause);
      }
      if (shard.stored) {
        entry.with("stored", true);
      }
      list.add(entry);
    }
    return MessageBody.of().with("host", host).with("addr", address())
        .with("rig", flavor.sku()).with("yard", yard).with("loaners", loaners)
        .with("shift", shift).with("tick", ++tick).with("baton", baton).with("warningS", null)
        .with("shards", list);
  }

  private void execute(MessageBody answer) {
    try {
      for (MessageBody order : answer.maps("orders")) {
        execute(order.text("verb"), order.text("shard"), order.integer("try"), order);
      }
    } catch (Exception exception) {
      kit.log(host + ": malformed orders: " + exception);
    }
  }

  private void execute(String verb, String name, long attempt, MessageBody order)
      throws Exception {
    String key = name + " " + attempt;
    Shard shard = shards.get(key);
    switch (verb) {
      case "launch" -> {
        if (shard == null) {
          changed = true;
          shards.put(key, launch(name, attempt));
        }
      }
      case "halt" -> halt(shard, order.nonNegativeNumber("windDownS"));
      case "clear" -> {
        if (shard != null && shard.phase.equals("exited")) {
          shards.remove(key);
          changed = true;
        }
      }
      default -> kit.log(host + ": unknown verb " + verb);
    }
  }

  private Shard launch(String name, long attempt) {
    Shard shard = new Shard(name, attempt);
    shard.job = descriptions.apply(name.substring(0, name.indexOf('/')));
    boolean present =
        shards.values().stream()
            .anyMatch(s -> s.shard.equals(name) && !s.phase.equals("exited"));
    if (shard.job == null) {
      shard.exit("no_such");
    } else if (present) {
      shard.exit("in_use");
    } else if (shard.number("cores") > flavor.cores() - taken("cores") + 1e-6
        || shard.number("ramGb") > flavor.ramGb() - taken("ramGb") + 1e-6) {
      shard.exit("no_room");
    } else {
      double ready = Kit.now() + shard.number("sizeGb");
      String image = String.valueOf(shard.job.get("bundle"));
      shard.next = Math.max(Kit.now(), images.computeIfAbsent(image, i -> ready));
    }
    kit.log(host + ": launch " + name + " try " + attempt
        + (shard.cause == null ? "" : " refused: " + shard.cause));
    return shard;
  }

  private void halt(Shard shard, double windDownS) {
    if (shard == null || shard.phase.equals("exited")) {
      return;
    }
    changed = true;
    kit.log(host + ": halt " + shard.shard + " try " + shard.attempt);
    boolean saves = shard.phase.equals("running") && shard.number("snapshotS") > 0
        && windDownS >= shard.number("flushS");
    if (saves) {
      shard.phase = "saving";
      shard.next = Kit.now() + shard.number("flushS");
    } else if (!shard.phase.equals("saving") || windDownS == 0) {
      shard.exit("stopped");
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] in = exchange.getRequestBody().readAllBytes();
    int status = 200;
    MessageBody out;
    synchronized (this) {
      if (exchange.getRequestURI().getPath().equals("/do")) {
        status = 400;
        try {
          MessageBody body = MessagePackCodec.decode(in);
          long token = body.integer("baton");
          boolean valid = token >= baton && body.integer("shift") == shift;
          status = valid ? 200 : 409;
          if (valid) {
            baton = token;
            execute(body);
          }
        } catch (Exception exception) {
          kit.log(host + ": malformed direct orders");
        }
      }
      out = status();
    }
    byte[] bytes = MessagePackCodec.encode(out);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
