package standins;

import io.saltflow.protocol.MessageBody;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A roll-out to a version whose replica fails 8 s after it began, with a gate of 9.2 s, while the
 * leader stands still for 3.6 s.
 */
public final class StandstillGate {
  private static final double FAILS_AFTER_S = 8;
  private static final double GATE_S = 9.2;
  private static final double STANDSTILL_S = 3.6;

  private StandstillGate() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Kit kit = new Kit(Path.of(args[0]), Kit.Site.almaty())) {
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
    Map<String, MessageBody> descriptions = new ConcurrentHashMap<>();
    int state = kit.startState();
    Cloud cloud =
        new Cloud(kit, Cloud.almaty(), id -> description(kit, state, id, descriptions), 1.5);
    kit.prepareControllers(3, state, cloud.port(), Kit.runLine("deploy/services.toml"), Kit.none());
    kit.startControllers();
    String leader = kit.awaitLeader(state, 20);
    MessageBody service =
        MessageBody.of().with("name", "thumbs").with("crew", "reader-ops").with("replicas", 1L)
            .with("cores", 1.0).with("bundle", "thumbs-1").with("sizeGb", 0.1);
    if (operator(kit, state, "POST", "/services", service, 20).status() != 200) {
      return 2;
    }
    if (!Kit.await(30, () -> running(cloud, "thumbs-1", descriptions) == 1)) {
      kit.log("the first version did not come up");
      return 2;
    }
    Kit.sleep(4);
    String plan =
        "{\"steps\": [{\"percent\": 100}], \"surge\": 1, \"settleS\": 1,"
            + " \"limitS\": 25, \"backLimitS\": 60, \"gate\": \"ready >= 100% for " + GATE_S
            + "s\"}";
    String broken = "img-dies-" + Math.round(FAILS_AFTER_S);
    MessageBody rollout = MessageBody.of().with("bundle", broken).with("plan", plan);
    if (operator(kit, state, "POST", "/services/thumbs/rollout", rollout, 20).status() != 200) {
      return 2;
    }
    if (!Kit.await(20, () -> starts(broken, descriptions).size() >= 1)) {
      kit.log("the new version did not come up");
      return 2;
    }
    double first = starts(broken, descriptions).get(0).at();
    leader = kit.awaitLeader(state, 5);
    if (kit.trouble) {
      Kit.sleep(first + FAILS_AFTER_S - 0.5 - Kit.now());
      Process process = kit.controllers.get(leader);
      kit.signal(leader, process, "STOP");
      Kit.sleep(STANDSTILL_S);
      kit.signal(leader, process, "CONT");
    }
    Kit.Answer[] last = new Kit.Answer[1];
    Kit.await(
        75,
        () -> {
          last[0] = operator(kit, state, "GET", "/services/thumbs", null, 5);
          Kit.sleep(1);
          return last[0].text("phase").equals("done") || last[0].text("phase").equals("rolled_back")
              || last[0].text("phase").equals("stuck");
        });
    Kit.sleep(5);
    last[0] = operator(kit, state, "GET", "/services/thumbs", null, 20);
    kit.log("operator: history " + last[0].text("history"));
    double longest = 0;
    for (Worker.Start start : starts(broken, descriptions)) {
      longest = Math.max(longest, ran(start));
    }
    kit.log(String.format("the longest run of the new version took %.1f s; the gate"
        + " asks for %.1f s", longest, GATE_S));
    kit.keepLogs("rollout of", "became leader", "stepping down", "paus", "stood still");
    if (longest >= GATE_S) {
      return 2;
    }
    return switch (last[0].text("phase")) {
      case "rolled_back" -> 0;
      case "done" -> 1;
      default -> 2;
    };
  }

  /** Sends an operator's request to the leader, again while it is answered 503 or not at all. */
  private static Kit.Answer operator(
      Kit kit, int state, String method, String path, MessageBody body, double seconds) {
    double end = Kit.now() + seconds;
    while (true) {
      String host = kit.leader(state);
      Kit.Answer answer =
          kit.call(method, kit.httpPorts.get(host == null ? "saltbox-0" : host), path, body, 5);
      kit.log("operator: " + method + " " + path + " -> " + answer.status() + " phase "
          + answer.text("phase") + ", serving " + answer.text("serving") + answer.text("error"));
      if ((answer.status() != 503 && answer.status() != 0) || Kit.now() > end) {
        return answer;
      }
      Kit.sleep(1);
    }
  }

  private static List<Worker.Start> starts(String image, Map<String, MessageBody> descriptions) {
    List<Worker.Start> out = new ArrayList<>();
    synchronized (Worker.STARTS) {
      for (Worker.Start start : Worker.STARTS) {
        MessageBody job = descriptions.get(start.shard().substring(0, start.shard().indexOf('/')));
        if (job != null && image.equals(job.get("bundle"))) {
          out.add(start);
        }
      }
    }
    return out;
  }

  /** Returns how long a replica ran until it failed, or until now. */
  private static double ran(Worker.Start start) {
    synchronized (Worker.ENDS) {
      for (String[] end : Worker.ENDS) {
        double at = Double.parseDouble(end[2]);
        if (end[0].equals(start.shard()) && at >= start.at()) {
          return at - start.at();
        }
      }
    }
    return Math.min(FAILS_AFTER_S, Kit.now() - start.at());
  }

  private static int running(Cloud cloud, String image, Map<String, MessageBody> descriptions) {
    int count = 0;
    for (Map.Entry<String, MessageBody> entry : descriptions.entrySet()) {
      if (image.equals(entry.getValue().get("bundle"))) {
        for (Worker worker : cloud.workers()) {
          count +=
              (int)
                  worker.onMachine(entry.getKey()).stream()
                      .filter(text -> text.endsWith("running"))
                      .count();
        }
      }
    }
    return count;
  }

  /** Returns a job's description by its record, in the place of a store to which it is uploaded. */
  @SuppressWarnings("unchecked")
  private static MessageBody description(
      Kit kit, int state, String id, Map<String, MessageBody> known) {
    return known.computeIfAbsent(
        id,
        key -> {
          Kit.Answer answer = kit.call("GET", state, "/kv/live/" + key, null, 1);
          return answer.status() == 200
                  && answer.body().get("data") instanceof Map<?, ?> data
                  && data.get("spec") instanceof Map<?, ?> spec
              ? new MessageBody((Map<String, Object>) spec)
              : null;
        });
  }
}
