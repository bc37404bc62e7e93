package io.saltflow.standin;

import io.saltflow.protocol.TaskId;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** A machine's replicas that listen: each answers any path as its version behaves. */
final class Listening extends Routine {
  private static final int MOST_CLIENTS = 8;

  private final Loop loop;
  private final String zone;
  private final Map<TaskId, HttpServer> servers = new HashMap<>();

  Listening(Routine parent, Loop loop, String zone) {
    super(parent);
    this.loop = loop;
    this.zone = zone;
  }

  /** These run now. One whose port is taken is tried again the next time. */
  void running(Map<TaskId, Depot.Told> tasks) {
    Set<TaskId> gone = new HashSet<>(servers.keySet());
    gone.removeAll(tasks.keySet());
    gone.forEach(task -> servers.remove(task).cancel());
    tasks.forEach(
        (task, told) -> {
          if (told.port() > 0 && !servers.containsKey(task)) {
            listen(task, told);
          }
        });
  }

  private void listen(TaskId task, Depot.Told told) {
    try {
      servers.put(
          task,
          new HttpServer(
              this,
              loop,
              Addresses.parse("127.0.0.1:" + (told.port() + task.index())),
              MOST_CLIENTS,
              (method, target, body, answer) -> answer(told.behaviour(), answer)));
    } catch (IOException e) {
      // Another has the port for a moment, or for good: the probes say so.
    }
  }

  private void answer(Behaviour behaviour, Consumer<HttpReply> answer) {
    int status = behaviour.well(zone, loop.now()) ? 200 : 503;
    loop.after(behaviour.answersAfter(), this, () -> answer.accept(HttpReply.empty(status)));
  }
}
