package standins;

import java.nio.file.Path;
import java.util.List;

/** A message whose job fails wherever it runs, with a limit on attempts, across a change of leader. */
public final class RetryLimit {
  private static final int ATTEMPTS = 2;

  private RetryLimit() {}

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
    Queues queues =
        new Queues(
            kit,
            "\"name\": \"passes\", \"deliver\": \"machines\", \"class\": \"page-render\","
                + " \"team\": \"reader-ops\", \"attempts\": " + ATTEMPTS
                + ", \"results\": \"passes.results\"");
    queues.publish(
        "passes", "pass-1",
        "{\"cores\": 1, \"expectS\": 8, \"ramGb\": 1, \"bundle\": \"img-mistake\","
            + " \"sizeGb\": 0.1, \"loaners\": true}");
    if (!Kit.await(30, () -> Queues.ends("error") == 1)) {
      kit.log("the job did not fail as expected");
      return 2;
    }
    Kit.sleep(3);
    if (kit.trouble) {
      String leader = kit.awaitLeader(queues.state, 5);
      kit.kill(leader, kit.controllers.get(leader));
      Kit.sleep(4);
      kit.startController(leader);
    }
    List<String> results = queues.results("passes.results", 1, 60);
    if (results.isEmpty()) {
      kit.log("no result came");
      return 2;
    }
    Kit.sleep(10);
    long failed = Queues.ends("error");
    kit.log("the job failed " + failed + " times; its queue allows " + ATTEMPTS + " attempts");
    kit.keepLogs("became leader", "queues started", "was cancelled", "stepping down");
    return failed > ATTEMPTS ? 1 : 0;
  }
}
