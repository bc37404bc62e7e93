package io.saltflow.broker;

import io.saltflow.amqp.AmqpException;
import io.saltflow.amqp.AmqpSession;
import io.saltflow.amqp.BrokerSession;
import io.saltflow.amqp.MessageProperties;
import io.saltflow.amqp.ReplyCode;
import io.saltflow.model.MonotonicTime;
import io.saltflow.queues.ConsumerId;
import io.saltflow.queues.DeliveryId;
import io.saltflow.queues.PendingPublish;
import io.saltflow.queues.PublishRequest;
import io.saltflow.queues.QueueCore;
import io.saltflow.queues.QueueId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** The session of one connection with the queues of its virtual host. */
final class QueueBrokerSession implements BrokerSession {
  private static final int UNLIMITED = Integer.MAX_VALUE;

  /** The monotonic clock and the wall clock in milliseconds. */
  record Clocks(Supplier<MonotonicTime> monotonic, LongSupplier wallMs) {}

  private final long id;
  private final String vhost;
  private final QueueCore core;
  private final AmqpSettings.Bounds bounds;
  private final AmqpSession session;
  private final Clocks clocks;
  private final Runnable onCoreChanged;
  private final Map<Long, Integer> prefetch = new HashMap<>();
  private final Map<PendingPublish, Integer> unconfirmed = new HashMap<>();
  private int unconfirmedBytes;

  QueueBrokerSession(
      long id,
      String host,
      QueueCore core,
      AmqpSettings.Bounds bounds,
      AmqpSession session,
      Clocks clocks,
      Runnable afterwards) {
    this.id = id;
    this.vhost = host;
    this.core = core;
    this.bounds = bounds;
    this.session = session;
    this.clocks = clocks;
    this.onCoreChanged = afterwards;
  }

  AmqpSession session() {
    return session;
  }

  private QueueId queue(String name) {
    return new QueueId(vhost, name);
  }

  @Override
  public Status status(String queue) {
    QueueCore.Status status = core.status(queue(queue));
    return status == null ? null : new Status(status.waiting(), status.consumers());
  }

  @Override
  public void publish(long channelId, long number, String queue, Content content) {
    PendingPublish pendingPublish = new PendingPublish(id, channelId, number);
    int size = content.body().length + content.properties().bytes().length;
    long ttl;
    try {
      ttl = expiration(content.properties());
    } catch (AmqpException exception) {
      session.closeChannel(channelId, exception);
      return;
    }
    if (unconfirmedBytes + size > bounds.unconfirmedBytes() && !unconfirmed.isEmpty()) {
      session.rejectPublish(
          channelId,
          number,
          new AmqpException(
              ReplyCode.RESOURCE_LOCKED, "too much is unconfirmed on this connection"));
      return;
    }
    unconfirmed.put(pendingPublish, size);
    unconfirmedBytes += size;
    core.publish(
        pendingPublish,
        new PublishRequest(
            queue(queue),
            content.properties().messageId(),
            ttl,
            content.properties().bytes(),
            content.body()),
        clocks.monotonic.get(),
        clocks.wallMs.getAsLong());
    onCoreChanged.run();
  }

  /**
   * Returns the expiration in milliseconds, which is sent as text by AMQP convention, or -1 if
   * there is none.
   */
  private static long expiration(MessageProperties properties) throws AmqpException {
    String text = properties.expiration();
    if (text == null) {
      return -1;
    }
    if (!text.matches("\\d{1,15}")) {
      throw new AmqpException(
          ReplyCode.PRECONDITION_FAILED, "expiration is a number of milliseconds");
    }
    return Long.parseLong(text);
  }

  /** Removes an answered publish from the unconfirmed ones. */
  void publishAnswered(PendingPublish pendingPublish) {
    Integer size = unconfirmed.remove(pendingPublish);
    unconfirmedBytes -= size == null ? 0 : size;
  }

  @Override
  public void consume(long channelId, String tag, String queue, boolean noAck)
      throws AmqpException {
    int requested = prefetch.getOrDefault(channelId, 0);
    int limit = requested == 0 ? bounds.mostUnacked() : Math.min(requested, bounds.mostUnacked());
    ConsumerId consumer = new ConsumerId(id, channelId, tag);
    if (!core.consume(
        consumer, queue(queue), noAck, limit, clocks.monotonic.get(), clocks.wallMs.getAsLong())) {
      throw new AmqpException(
          ReplyCode.ACCESS_REFUSED, "'" + queue + "' is worked on by rented machines");
    }
    onCoreChanged.run();
  }

  @Override
  public void cancel(long channelId, String tag) {
    core.cancel(new ConsumerId(id, channelId, tag));
  }

  @Override
  public void get(long channelId, String queue, boolean noAck) {
    core.get(id, channelId, queue(queue), noAck, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    onCoreChanged.run();
  }

  @Override
  public void prefetch(long channelId, int count, boolean wholeChannel) {
    if (wholeChannel) {
      int limit = count == 0 ? UNLIMITED : count;
      core.setChannelLimit(id, channelId, limit, clocks.monotonic.get(), clocks.wallMs.getAsLong());
      onCoreChanged.run();
    } else {
      prefetch.put(channelId, count);
    }
  }

  @Override
  public void settle(long channelId, Object handle, Settlement settlement) {
    QueueCore.Settlement coreSettlement =
        switch (settlement) {
          case ACK -> QueueCore.Settlement.ACK;
          case REJECT -> QueueCore.Settlement.REJECT;
          case REQUEUE -> QueueCore.Settlement.REQUEUE;
        };
    core.settle(
        (DeliveryId) handle, coreSettlement, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    onCoreChanged.run();
  }

  @Override
  public void channelClosed(long channelId) {
    prefetch.remove(channelId);
    core.channelClosed(id, channelId, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    onCoreChanged.run();
  }

  @Override
  public void connectionClosed() {
    core.sessionClosed(id, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    onCoreChanged.run();
  }

  /** Pauses or resumes deliveries when the peer's socket buffer is full or has drained. */
  void setPaused(boolean paused) {
    core.setPaused(id, paused, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    onCoreChanged.run();
  }
}
