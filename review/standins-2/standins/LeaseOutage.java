package standins;

import io.saltflow.protocol.MessageBody;
import java.nio.file.Path;
import java.util.List;

/**
 * The state service gives no answer for 8 s. A client that renews its lease of 5 s every second
 * holds a key; another one waits for the key.
 */
public final class LeaseOutage {
  private static final double TTL_S = 5;
  private static final double OUTAGE_S = 8;

  private static volatile double holderLostAt;
  private static volatile double waiterGotAt;
  private static volatile boolean over;

  private LeaseOutage() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Kit kit = new Kit(Path.of(args[0]), Kit.Site.perth())) {
      try {
        code = run(kit);
      } catch (Exception exception) {
        kit.log("could not run: " + exception);
        kit.keepLogs("ERROR", "Exception");
      }
      kit.log("exit " + code);
    }
    System.exit(code);
  }

  private static int run(Kit kit) throws Exception {
    int port = Kit.freePort();
    Process state = kit.startState(port);
    Cloud cloud = new Cloud(kit, Cloud.perth(), id -> null, 1.5);
    kit.prepareControllers(3, port, cloud.port(), Kit.runLine("deploy/service.toml"), Kit.none());
    kit.startControllers();
    String leader = kit.awaitLeader(port, 20);
    long holder = grant(kit, port, "holder");
    if (holder == 0 || !take(kit, port, "holder", holder)) {
      return 2;
    }
    start(() -> hold(kit, port, holder));
    start(() -> waitForKey(kit, port));
    Kit.sleep(6);
    if (holderLostAt != 0 || waiterGotAt != 0) {
      kit.log("the key changed hands without an outage");
      return 2;
    }
    Object stamp = stamp(kit, port);
    kit.log("leader " + leader + ", stamp of its key " + stamp);
    if (kit.trouble) {
      kit.signal("state", state, "STOP");
    }
    Kit.sleep(OUTAGE_S);
    double end = Kit.now();
    if (kit.trouble) {
      kit.signal("state", state, "CONT");
    }
    kit.log("the state service answers from here on");
    Kit.sleep(TTL_S + 3);
    over = true;
    Object later = stamp(kit, port);
    kit.log("leader " + kit.leader(port) + ", stamp of its key " + later);
    kit.keepLogs("became leader", "stepping down", "unavailable", "available again");
    boolean holderLost = holderLostAt > 0 && holderLostAt < end + TTL_S;
    boolean waiterGot = waiterGotAt > 0 && waiterGotAt < end + TTL_S;
    if (holderLost) {
      kit.log(String.format("the holder's lease was over %.2f s after the outage; its time is"
          + " %.0f s", holderLostAt - end, TTL_S));
    }
    if (waiterGot) {
      kit.log(String.format("the other client got the key %.2f s after the outage", waiterGotAt - end));
    }
    return holderLost || waiterGot ? 1 : 0;
  }

  private static void start(Runnable action) {
    Cloud.daemon(action).start();
  }

  private static Object stamp(Kit kit, int port) {
    Kit.Answer answer = kit.call("GET", port, "/kv/lead", null, 2);
    return answer.body() == null ? null : answer.body().get("stamp");
  }

  private static long grant(Kit kit, int port, String who) {
    Kit.Answer answer =
        kit.call(
            "POST", port, "/leases", MessageBody.of().with("ttlMs", Math.round(TTL_S * 1000)), 1.2);
    kit.log(who + ": lease -> " + answer.status() + " " + answer.text("tenancy"));
    return answer.status() == 200 ? (Long) answer.body().get("tenancy") : 0;
  }

  /** Creates the key if nobody holds it. */
  private static boolean take(Kit kit, int port, String who, long lease) {
    Kit.Answer answer =
        kit.call(
            "POST",
            port,
            "/multi",
            MessageBody.of()
                .with(
                    "guards", List.of(MessageBody.of().with("path", "case/holder").with("stamp", 0L)))
                .with(
                    "writes",
                    List.of(
                        MessageBody.of().with("put", "case/holder")
                            .with("data", MessageBody.of().with("who", who))
                            .with("tenancy", lease))),
            1.2);
    if (answer.status() != 409) {
      kit.log(who + ": take the key -> " + answer.status());
    }
    return answer.status() == 200;
  }

  private static void hold(Kit kit, int port, long lease) {
    while (!over) {
      Kit.Answer answer =
          kit.call(
              "POST", port, "/leases/" + lease + "/extend",
              MessageBody.of().with("ttlMs", Math.round(TTL_S * 1000)), 1.2);
      kit.log("holder: renew -> " + answer.status());
      if (answer.status() == 404) {
        holderLostAt = Kit.now();
        return;
      }
      Kit.sleep(1);
    }
  }

  /** Looks for the key every 250 ms, and takes it when it is free. */
  private static void waitForKey(Kit kit, int port) {
    while (!over) {
      if (kit.call("GET", port, "/kv/case/holder", null, 1.2).status() == 404) {
        long lease = grant(kit, port, "other");
        if (lease != 0 && take(kit, port, "other", lease)) {
          waiterGotAt = Kit.now();
          return;
        }
      }
      Kit.sleep(0.25);
    }
  }
}
