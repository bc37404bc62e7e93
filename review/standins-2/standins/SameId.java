package standins;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Two publishers of one queue after a change of leader, one that gives ids and one that does not. */
public final class SameId {
  private static final int PAGES = 8;

  private SameId() {}

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

  private static String job(String image) {
    return "{\"cores\": 1, \"expectS\": 4, \"ramGb\": 1, \"bundle\": \"" + image
        + "\", \"sizeGb\": 0.1, \"loaners\": true}";
  }

  private static int run(Kit kit) throws Exception {
    Queues queues =
        new Queues(
            kit,
            "\"name\": \"passes\", \"deliver\": \"machines\", \"class\": \"page-render\","
                + " \"team\": \"reader-ops\", \"results\": \"passes.results\"");
    if (kit.trouble) {
      String leader = kit.awaitLeader(queues.state, 5);
      kit.kill(leader, kit.controllers.get(leader));
      Kit.sleep(4);
      kit.startController(leader);
      kit.awaitLeader(queues.state, 20);
    }
    List<String> published = new ArrayList<>(List.of("img-cover"));
    queues.publish("passes", null, job("img-cover"));
    for (int page = 1; page <= PAGES; page++) {
      queues.publish("passes", "2-" + page, job("img-page-" + page));
      published.add("img-page-" + page);
    }
    List<String> results = queues.results("passes.results", 1 + PAGES, 50);
    Kit.sleep(5);
    Set<String> images = queues.imagesRun();
    Set<String> missing = new TreeSet<>();
    for (String image : published) {
      if (!images.contains(image)) {
        missing.add(image);
      }
    }
    kit.log("results: " + results.size() + " of " + (1 + PAGES) + " messages that were confirmed");
    kit.log("images that ran: " + images + "; of confirmed messages, not run: " + missing);
    kit.keepLogs("became leader", "queues started");
    if (results.size() <= PAGES) {
      return 2;
    }
    return missing.isEmpty() ? 0 : 1;
  }
}
