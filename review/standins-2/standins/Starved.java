package standins;

import io.saltflow.protocol.MessageBody;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A job whose task failed once, on a machine that failed what it started for some seconds. */
public final class Starved {
  private static final double RULE_S = 90;

  private Starved() {}

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
    Map<String, MessageBody> uploaded = new ConcurrentHashMap<>();
    int state = kit.startState();
    Cloud cloud = new Cloud(kit, Cloud.perth(), uploaded::get, 1.5);
    kit.prepareControllers(3, state, cloud.port(), Kit.runLine("deploy/service.toml"), Kit.none());
    kit.startControllers();
    kit.awaitLeader(state, 20);
    // Work that keeps one machine of each type busy.
    MessageBody small =
        Kit.job("req-000001", "warrant-search", "lookup-desk", "high", 1, 2, 300)
        .with("rigs", List.of("quad-small"));
    MessageBody wide = Kit.job("req-000002", "stale-purge", "records-eng", "normal", 1, 32, 300);
    for (MessageBody job : List.of(small, wide)) {
      uploaded.put((String) job.get("id"), job);
      if (kit.submit(job).status() != 201) {
        return 2;
      }
    }
    if (!Kit.await(20, () -> started("req-000001") > 0 && started("req-000002") > 0)) {
      kit.log("the first jobs did not start");
      return 2;
    }
    Worker wideMachine =
        cloud.workers().stream()
            .filter(worker -> !worker.onMachine("req-000002").isEmpty())
            .findFirst()
            .orElseThrow();
    if (kit.trouble) {
      wideMachine.setSick(true);
    }
    MessageBody victim = Kit.job("req-000003", "stale-purge", "records-eng", "normal", 1, 8, 3);
    uploaded.put("req-000003", victim);
    if (kit.submit(victim).status() != 201) {
      return 2;
    }
    if (!Kit.await(15, () -> ended("req-000003", kit.trouble ? "error" : "done") > 0)) {
      kit.log("the job's first task did not end as expected");
      return 2;
    }
    Kit.sleep(1);
    if (kit.trouble) {
      wideMachine.setSick(false);
    }
    double over = Kit.now();
    kit.log("no trouble from here on");
    double limit = Math.min(over + RULE_S + 2, 112);
    double waiting = 0;
    double last = over;
    double nextPoll = over + 3;
    boolean laterSubmitted = false;
    while (Kit.now() < limit) {
      Kit.sleep(0.2);
      double now = Kit.now();
      if (!laterSubmitted && now > over + 20) {
        laterSubmitted = true;
        MessageBody later = Kit.job("req-000004", "stale-purge", "records-eng", "normal", 1, 8, 3);
        uploaded.put("req-000004", later);
        kit.submit(later);
      }
      boolean fits =
          cloud.workers().stream()
              .anyMatch(
                  w ->
                      w.isUp() && w.flavor().sku().equals("wide-64") && w.freeCores() >= 8
                          && w.freeRamGb() >= 4);
      waiting = fits ? waiting + now - last : 0;
      last = now;
      if (now >= nextPoll) {
        nextPoll += 5;
        if (kit.poll("req-000003").text("phase").equals("done")) {
          kit.log("held: the job is done");
          return 0;
        }
      }
      if (waiting > RULE_S) {
        kit.log("broken: the job has waited " + Math.round(waiting)
            + " s while a machine that fits has room, with "
            + "40 of its team's 240 CPUs in use");
        kit.poll("req-000003");
        kit.poll("req-000004");
        kit.keepLogs("req-000003", "req-000004", "faulty", "requested", "refused");
        return 1;
      }
    }
    kit.log("the job waited " + Math.round(waiting) + " s at the end, too short to tell");
    return 2;
  }

  private static long started(String job) {
    synchronized (Worker.STARTS) {
      return Worker.STARTS.stream().filter(s -> s.shard().startsWith(job + "/")).count();
    }
  }

  private static long ended(String job, String cause) {
    synchronized (Worker.ENDS) {
      return Worker.ENDS.stream()
          .filter(e -> e[0].startsWith(job + "/") && e[1].equals(cause))
          .count();
    }
  }
}
