package standins;

import java.nio.file.Path;
import java.util.List;

/** A message of a queue without repeats, whose machine stops while its job runs. */
public final class NoRepeats {
  private NoRepeats() {}

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
                + " \"team\": \"reader-ops\", \"repeats\": false,"
                + " \"results\": \"passes.results\"");
    queues.publish(
        "passes", "pass-1",
        "{\"cores\": 1, \"expectS\": 12, \"ramGb\": 1, \"bundle\": \"img-1\","
            + " \"sizeGb\": 0.1, \"loaners\": true}");
    if (!Kit.await(30, () -> Queues.starts() == 1)) {
      kit.log("the job did not start");
      return 2;
    }
    Kit.sleep(5);
    if (kit.trouble) {
      Worker machine =
          queues.cloud.workers().stream()
              .filter(w -> w.host().equals(Worker.STARTS.get(0).host()))
              .findFirst()
              .orElseThrow();
      queues.cloud.die(machine);
    }
    List<String> results = queues.results("passes.results", 1, 80);
    if (results.isEmpty()) {
      kit.log("no result came");
      return 2;
    }
    kit.log("the message's job began " + Queues.starts() + " times; its queue allows no repeats");
    return Queues.starts() > 1 ? 1 : 0;
  }
}
