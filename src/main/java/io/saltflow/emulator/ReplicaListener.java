package io.saltflow.emulator;

import io.saltflow.model.TaskId;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** HTTP servers of the replicas on a machine. Each answers every path as its version specifies. */
final class ReplicaListener extends Routine {
  private static final int MAX_CLIENTS = 8;

  private final EventLoop loop;
  private final String zone;
  private final Map<TaskId, HttpServer> servers = new HashMap<>();

  ReplicaListener(Routine parent, EventLoop loop, String zone) {
    super(parent);
    this.loop = loop;
    this.zone = zone;
  }

  /**
   * Starts and stops servers to match the running tasks. A task whose port is in use is retried
   * with the next update.
   */
  void updateRunning(Map<TaskId, ObjectStore.ServiceParameters> tasks) {
    Set<TaskId> stopped = new HashSet<>(servers.keySet());
    stopped.removeAll(tasks.keySet());
    stopped.forEach(task -> servers.remove(task).cancel());
    tasks.forEach(
        (task, parameters) -> {
          if (parameters.port() > 0 && !servers.containsKey(task)) {
            listen(task, parameters);
          }
        });
  }

  private void listen(TaskId task, ObjectStore.ServiceParameters parameters) {
    try {
      servers.put(
          task,
          new HttpServer(
              this,
              loop,
              Addresses.parse("127.0.0.1:" + (parameters.port() + task.index())),
              MAX_CLIENTS,
              (method, target, body, answer) -> answer(parameters.behaviour(), answer)));
    } catch (IOException exception) {
      // The port is in use by another process. Probes fail until a later update succeeds.
    }
  }

  private void answer(ReplicaBehaviour behaviour, Consumer<HttpResponse> answer) {
    int status = behaviour.healthy(zone, loop.now()) ? 200 : 503;
    loop.schedule(behaviour.responseTime(), this, () -> answer.accept(HttpResponse.empty(status)));
  }
}
