package io.saltflow.controller;

import io.saltflow.api.HeldHeartbeats;
import io.saltflow.api.WorkerApi;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Answers worker heartbeats, or holds them while leadership is in transition. Not thread-safe: used
 * on the event loop's thread.
 */
final class WorkerEndpoint {
  private final EventLoop loop;
  private final WorkerApi workerApi;
  private final HeldHeartbeats heldHeartbeats;
  private final EarlyFailover earlyFailover;
  private final BooleanSupplier recoveringHere;

  /**
   * @param recoveringHere returns whether this node leads but still reads the records
   */
  WorkerEndpoint(
      EventLoop loop,
      WorkerApi workerApi,
      HeldHeartbeats heldHeartbeats,
      EarlyFailover earlyFailover,
      BooleanSupplier recoveringHere) {
    this.loop = loop;
    this.workerApi = workerApi;
    this.heldHeartbeats = heldHeartbeats;
    this.earlyFailover = earlyFailover;
    this.recoveringHere = recoveringHere;
  }

  /**
   * Answers a heartbeat, or holds it: until the next leader is elected if the leader seems to have
   * failed, and until the records are read if this node was just elected.
   */
  void handle(byte[] body, Consumer<HttpResponse> answer) {
    boolean inTransition = earlyFailover.leadershipInTransition();
    boolean recovering = recoveringHere.getAsBoolean();
    HttpResponse response = workerApi.handleHeartbeat(body, loop.now());
    boolean hold =
        (inTransition && response.status() == WorkerApi.MISDIRECTED)
            || (recovering && response.status() == WorkerApi.UNAVAILABLE);
    if (hold && !heldHeartbeats.full()) {
      heldHeartbeats.add(() -> answer.accept(workerApi.handleHeartbeat(body, loop.now())));
    } else {
      answer.accept(response);
    }
  }
}
