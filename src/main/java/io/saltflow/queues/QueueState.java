package io.saltflow.queues;

import java.util.Comparator;
import java.util.TreeMap;
import java.util.TreeSet;

/** The waiting messages of one queue in order, and its consumers that can take a delivery. */
final class QueueState {
  final QueuePolicy policy;
  final TreeMap<MessageNo, Message> waiting = new TreeMap<>();
  private final TreeSet<Consumer> ready =
      new TreeSet<>(Comparator.comparingLong((Consumer c) -> c.turn));
  int consumers;

  /** Number of messages that are not completed. */
  int messages;

  /** Number of messages held by consumers. They count against the team's quota. */
  int outstanding;

  private long lastTurn;

  QueueState(QueuePolicy policy) {
    this.policy = policy;
  }

  /** Returns the next consumer in turn, or {@code null} if none can take a delivery. */
  Consumer nextConsumer() {
    return ready.isEmpty() ? null : ready.first();
  }

  /**
   * Updates the consumer's place in the rotation after its capacity has changed. It moves to the
   * end, so that a consumer with a large prefetch limit does not receive every message.
   */
  void updateReadiness(Consumer consumer) {
    ready.remove(consumer);
    if (consumer.hasCapacity()) {
      consumer.turn = ++lastTurn;
      ready.add(consumer);
    }
  }

  void remove(Consumer consumer) {
    ready.remove(consumer);
  }

  Message head() {
    return waiting.isEmpty() ? null : waiting.firstEntry().getValue();
  }

  /**
   * Returns the quota that this queue's messages use and request, or {@code null} if there is none.
   */
  Demand demand() {
    boolean countsNoResources = policy.size().cores() <= 0 && policy.size().gpus() <= 0;
    if (policy.team().isEmpty() || countsNoResources || policy.runsAsJobs()) {
      return null;
    }
    int deliverable = deliverable();
    if (outstanding == 0 && deliverable == 0) {
      return null;
    }
    long arrivedWallMs = head() == null ? Message.NEVER : head().arrivedWallMs;
    return new Demand(
        policy.team(),
        policy.priority(),
        policy.size().times(outstanding),
        policy.size().times(deliverable),
        arrivedWallMs);
  }

  /** Returns the number of waiting messages that consumers could take now. */
  private int deliverable() {
    int capacity = 0;
    for (Consumer consumer : ready) {
      capacity +=
          Math.min(
              consumer.limit - consumer.held.size(),
              consumer.window.limit - consumer.window.outstanding);
      if (capacity >= waiting.size()) {
        return waiting.size();
      }
    }
    return capacity;
  }
}
