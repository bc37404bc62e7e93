package io.saltflow.queues;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Delivers messages to consumers, and handles settlement, redelivery and expiry. */
final class Deliveries {
  private record DeliveryDeadline(MonotonicTime until, MessageNo no) {}

  private record DelayedMessage(MonotonicTime until, Message message) {}

  private final QueueContext context;
  private final Messages messages;
  private final Map<QueueId, QueueState> queues;
  private final MessageCompletion completion;
  private final QuotaView quota;
  private final TimeSpan clockSkew;
  private final ConsumerRegistry consumers = new ConsumerRegistry();
  private final PriorityQueue<Message> expiring =
      new PriorityQueue<>(Comparator.comparingLong((Message message) -> message.expiresWallMs));
  private final PriorityQueue<DeliveryDeadline> overdue =
      new PriorityQueue<>(Comparator.comparing(DeliveryDeadline::until));
  private final PriorityQueue<DelayedMessage> delayed =
      new PriorityQueue<>(Comparator.comparing(DelayedMessage::until));
  private long staleSettlements;

  Deliveries(
      QueueContext context,
      Messages messages,
      Map<QueueId, QueueState> queues,
      MessageCompletion completion,
      QuotaView quota,
      TimeSpan clockSkew) {
    this.context = context;
    this.messages = messages;
    this.queues = queues;
    this.completion = completion;
    this.quota = quota;
    this.clockSkew = clockSkew;
  }

  /** Returns the number of settlements that arrived too late to have an effect. */
  long staleSettlements() {
    return staleSettlements;
  }

  // ---- Consumers

  boolean consume(ConsumerId id, QueueId queueId, boolean noAck, int limit) {
    QueueState queue = queues.get(queueId);
    if (queue == null || queue.policy.runsAsJobs()) {
      return false;
    }
    Consumer consumer = consumers.add(id, queue, noAck, limit);
    queue.consumers++;
    queue.updateReadiness(consumer);
    return true;
  }

  void cancel(ConsumerId id) {
    Consumer consumer = consumers.find(id);
    if (consumer == null) {
      return;
    }
    cancel(consumer);
    for (Message message : heldInOrder(consumer)) {
      // A delivery that is being recorded is not sent: its tag may be another consumer's by then.
      if (message.state == Message.State.DELIVERING) {
        release(message);
      }
    }
    consumers.removeIfDone(consumer);
  }

  private static void cancel(Consumer consumer) {
    if (!consumer.cancelled) {
      consumer.cancelled = true;
      consumer.queue.consumers--;
    }
    consumer.queue.remove(consumer);
  }

  void setChannelLimit(long session, long channel, int limit) {
    consumers.setChannelLimit(session, channel, limit);
  }

  void setPaused(long session, boolean paused) {
    consumers.setPaused(session, paused);
  }

  void channelClosed(long session, long channel) {
    consumers.removeChannel(session, channel).forEach(this::onConsumerClosed);
  }

  void sessionClosed(long session) {
    consumers.removeSession(session).forEach(this::onConsumerClosed);
  }

  private void onConsumerClosed(Consumer consumer) {
    cancel(consumer);
    for (Message message : heldInOrder(consumer)) {
      release(message);
      if (message.state == Message.State.DELIVERED) {
        consumerLost(message, "its consumer is gone");
      }
      // A delivery that is being recorded is requeued in onStartRecorded, after its record is
      // durable.
    }
  }

  private static List<Message> heldInOrder(Consumer consumer) {
    return consumer.held.stream().sorted(Comparator.comparing(message -> message.no)).toList();
  }

  void get(long session, long channel, QueueId queueId, boolean noAck) {
    QueueState queue = queues.get(queueId);
    Message head = queue == null ? null : queue.head();
    if (head == null || !mayStart(queue, head)) {
      context.emit(new Effect.GetEmpty(session, channel));
      return;
    }
    ConsumerId id = new ConsumerId(session, channel, ConsumerId.GET);
    startDelivery(head, consumers.getter(id, queue, noAck));
  }

  // ---- Settlement

  private Message heldBy(DeliveryId id) {
    Message message = messages.find(id.message());
    boolean held =
        message != null
            && message.state == Message.State.DELIVERED
            && message.attempts == id.attempt()
            && message.holder.id.equals(id.consumer());
    return held ? message : null;
  }

  boolean settle(DeliveryId id, QueueCore.Settlement settlement) {
    Message message = heldBy(id);
    if (message == null) {
      staleSettlements++;
      return false;
    }
    release(message);
    switch (settlement) {
      case ACK -> completion.complete(message, Outcome.DONE, null);
      case REJECT -> completion.complete(message, Outcome.FAILED, "its consumer rejected it");
      case REQUEUE -> {
        if (message.queue.policy.redeliverable()) {
          redeliver(message, "its consumer gave it back");
        } else {
          completion.complete(
              message, Outcome.FAILED, "its consumer gave it back, and it may not be repeated");
        }
      }
    }
    return true;
  }

  void deliveryNotSent(DeliveryId id) {
    Message message = heldBy(id);
    if (message != null) {
      release(message);
      undoAttempt(message);
    }
  }

  private void undoAttempt(Message message) {
    message.attempts--;
    message.maybeDelivered = false;
    context.record(new Entry.Returned(message.no, message.attempts), () -> {});
    enqueue(message);
  }

  /**
   * Redelivers the message if the queue allows it, after the loss of a consumer that may have
   * started on it. Otherwise the outcome is unknown.
   */
  void consumerLost(Message message, String reason) {
    if (message.queue.policy.redeliverable()) {
      redeliver(message, reason);
    } else {
      completion.complete(message, Outcome.UNKNOWN, reason + "; whether it was done is not known");
    }
  }

  private void redeliver(Message message, String reason) {
    QueuePolicy policy = message.queue.policy;
    if (message.attempts >= policy.maxAttempts()) {
      completion.complete(
          message,
          Outcome.FAILED,
          "failed after " + message.attempts + " attempts; the last: " + reason);
      return;
    }
    message.maybeDelivered = false;
    context.record(new Entry.Returned(message.no, message.attempts), () -> {});
    message.notBefore = context.now.plus(policy.retryDelayAfter(message.attempts));
    enqueue(message);
  }

  // ---- Waiting

  void enqueue(Message message) {
    message.state = Message.State.WAITING;
    if (expired(message)) {
      completion.complete(message, Outcome.EXPIRED, null);
    } else if (context.now.before(message.notBefore)) {
      delayed.add(new DelayedMessage(message.notBefore, message));
    } else {
      message.queue.waiting.put(message.no, message);
      if (message.expiresWallMs != Message.NEVER) {
        expiring.add(message);
      }
    }
  }

  /** Returns whether the message has expired by every node's clock, given the maximum skew. */
  private boolean expired(Message message) {
    return message.expiresWallMs != Message.NEVER
        && context.wallMs - message.expiresWallMs > clockSkew.ms() * 2;
  }

  void tick() {
    MonotonicTime now = context.now;
    for (DelayedMessage delivery = delayed.peek();
        delivery != null && !now.before(delivery.until);
        delivery = delayed.peek()) {
      delayed.poll();
      if (delivery.message.state == Message.State.WAITING
          && messages.find(delivery.message.no) == delivery.message) {
        enqueue(delivery.message);
      }
    }
    for (Message message = expiring.peek();
        message != null && expired(message);
        message = expiring.peek()) {
      expiring.poll();
      if (message.state == Message.State.WAITING && message.queue.waiting.containsKey(message.no)) {
        completion.complete(message, Outcome.EXPIRED, null);
      }
    }
    for (DeliveryDeadline held = overdue.peek();
        held != null && !now.before(held.until);
        held = overdue.peek()) {
      overdue.poll();
      Message message = messages.find(held.no);
      if (message != null
          && message.state == Message.State.DELIVERED
          && message.deliveryDeadline.equals(held.until)) {
        overdue(message);
      }
    }
  }

  /** Closes the channel of the message's consumer and releases all deliveries of that channel. */
  private void overdue(Message message) {
    ConsumerId id = message.holder.id;
    context.emit(new Effect.Overdue(id, message.queue.policy.id()));
    channelClosed(id.session(), id.channel());
  }

  // ---- Dispatch

  private boolean mayStart(QueueState queue, Message head) {
    return (queue.policy.size().cores() <= 0 && queue.policy.size().gpus() <= 0)
        || quota.mayStart(queue.policy, head.arrivedWallMs);
  }

  /**
   * Delivers waiting messages by priority, then by arrival, like native jobs without guaranteed
   * quota.
   */
  void dispatch() {
    PriorityQueue<QueueState> heads =
        new PriorityQueue<>(
            Comparator.comparing((QueueState q) -> q.policy.priority(), Comparator.reverseOrder())
                .thenComparingLong(q -> q.head().arrivedWallMs)
                .thenComparing(q -> q.head().no));
    for (QueueState queueState : queues.values()) {
      if (queueState.head() != null && queueState.nextConsumer() != null) {
        heads.add(queueState);
      }
    }
    while (!heads.isEmpty()) {
      QueueState queueState = heads.poll();
      Consumer consumer = queueState.nextConsumer();
      if (!consumer.hasCapacity()) {
        // Another consumer of the same channel or connection has used up the shared limit.
        queueState.remove(consumer);
      } else if (mayStart(queueState, queueState.head())) {
        startDelivery(queueState.head(), consumer);
      } else {
        continue;
      }
      if (queueState.head() != null && queueState.nextConsumer() != null) {
        heads.add(queueState);
      }
    }
  }

  private void startDelivery(Message message, Consumer consumer) {
    message.queue.waiting.remove(message.no);
    message.state = Message.State.DELIVERING;
    message.maybeDelivered = true;
    message.attempts++;
    message.holder = consumer;
    consumer.held.add(message);
    consumer.window.outstanding++;
    message.queue.outstanding++;
    consumers.addInFlightBytes(consumer, message.memoryBytes());
    if (!consumer.id.get()) {
      message.queue.updateReadiness(consumer);
    }
    context.record(new Entry.Started(message.no, message.attempts), () -> onStartRecorded(message));
  }

  private void onStartRecorded(Message message) {
    if (message.holder == null) {
      undoAttempt(message);
      return;
    }
    message.state = Message.State.DELIVERED;
    consumers.addInFlightBytes(message.holder, -message.memoryBytes());
    message.deliveryDeadline = context.now.plus(message.queue.policy.deliveryTimeout());
    overdue.add(new DeliveryDeadline(message.deliveryDeadline, message.no));
    context.emit(
        new Effect.Deliver(
            message.deliveryId(),
            message.queue.policy.id(),
            message.attempts > 1,
            message.holder.noAck,
            message.holder.id.get(),
            message.queue.waiting.size(),
            message.reportedId(),
            message.properties,
            message.body));
  }

  private void release(Message message) {
    Consumer consumer = message.holder;
    if (message.state == Message.State.DELIVERING) {
      consumers.addInFlightBytes(consumer, -message.memoryBytes());
    }
    message.holder = null;
    consumer.held.remove(message);
    consumer.window.outstanding--;
    message.queue.outstanding--;
    consumers.deliverySettled(consumer);
    consumers.removeIfDone(consumer);
  }
}
