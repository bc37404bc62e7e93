package standins;

import io.saltflow.protocol.MessageBody;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** Controllers that serve a work queue whose messages become jobs on rented machines. */
final class Queues {
  final Map<String, Integer> amqpPorts = new TreeMap<>();
  final Cloud cloud;
  final int state;
  private final Kit kit;
  private final Map<String, MessageBody> descriptions = new ConcurrentHashMap<>();

  /**
   * Starts them.
   *
   * @param queue the queue's own settings, as a part of a JSON map
   */
  Queues(Kit kit, String queue) throws IOException {
    this.kit = kit;
    state = kit.startState();
    cloud = new Cloud(kit, Cloud.almaty(), this::description, 1.5);
    String users =
        Files.readString(Path.of("deploy/queues.json"))
            .replaceAll("(?s).*\"hash\": \"([^\"]*)\".*", "$1");
    Path settings =
        Files.writeString(
            kit.folder.resolve("queues.json"),
            "{\"users\": [{\"name\": \"guest\", \"hash\": \"" + users
                + "\", \"hosts\": [\"/\"]}], \"hosts\": [{\"name\": \"/\", \"networks\":"
                + " [\"127.0.0.0/8\"]}], \"queues\": [{" + queue + "}]}\n");
    List<String> run = Kit.runLine("deploy/queues.toml");
    run.replaceAll(word -> word.equals("deploy/queues.json") ? settings.toString() : word);
    Map<String, List<String>> extra = new LinkedHashMap<>();
    for (int i = 0; i < 3; i++) {
      int port = Kit.freePort();
      amqpPorts.put("saltbox-" + i, port);
      extra.put("saltbox-" + i, List.of("--amqp", "127.0.0.1:" + port));
    }
    kit.prepareControllers(3, state, cloud.port(), run, extra);
    kit.startControllers();
    kit.awaitLeader(state, 20);
  }

  /** Returns a job's description by its record, in the place of a store to which it is uploaded. */
  @SuppressWarnings("unchecked")
  private MessageBody description(String id) {
    return descriptions.computeIfAbsent(
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

  /** Publishes a message until it is confirmed, as a publisher does. */
  void publish(String queue, String id, String body) throws IOException {
    for (int i = 0; i < 20; i++) {
      try (Amqp amqp = Amqp.connect(kit, amqpPorts, 20)) {
        boolean confirmed = amqp.publish(queue, id, body);
        kit.log("publisher: " + id + " to " + queue + (confirmed ? " confirmed" : " refused"));
        if (confirmed) {
          return;
        }
      }
      Kit.sleep(1);
    }
    throw new IOException(id + " was not confirmed");
  }

  /** Waits for results and acknowledges them; returns their bodies. */
  List<String> results(String queue, int wanted, double seconds) throws IOException {
    List<String> out = new ArrayList<>();
    double end = Kit.now() + seconds;
    while (out.size() < wanted && Kit.now() < end) {
      try (Amqp amqp = Amqp.connect(kit, amqpPorts, 20)) {
        while (out.size() < wanted && Kit.now() < end) {
          Amqp.Message message = amqp.get(queue);
          if (message == null) {
            Kit.sleep(0.5);
            continue;
          }
          amqp.ack(message.tag());
          kit.log("publisher: result " + message.body());
          out.add(message.body());
          Kit.sleep(0.5);
        }
      } catch (IOException exception) {
        kit.log("publisher: connection lost: " + exception.getMessage());
        Kit.sleep(0.5);
      }
    }
    return out;
  }

  /** Returns the images of all tasks that began to run. */
  Set<String> imagesRun() {
    Set<String> images = new TreeSet<>();
    synchronized (Worker.STARTS) {
      for (Worker.Start start : Worker.STARTS) {
        MessageBody job = descriptions.get(start.shard().split("/")[0]);
        images.add((String) job.get("bundle"));
      }
    }
    return images;
  }

  static long ends(String cause) {
    synchronized (Worker.ENDS) {
      return Worker.ENDS.stream().filter(end -> end[1].equals(cause)).count();
    }
  }
}
