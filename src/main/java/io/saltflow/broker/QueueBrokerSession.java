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

/** One connection's session with the queues of its virtual host. */
final class QueueBrokerSession implements BrokerSession {
  private static final int UNLIMITED = Integer.MAX_VALUE;

  /** The monotonic clock, and the time of day in milliseconds. */
  record Clocks(Supplier<MonotonicTime> monotonic, LongSupplier wallMs) {}

  private final long id;
  private final String host;
  private final QueueCore core;
  private final AmqpSettings.Bounds bounds;
  private final AmqpSession session;
  private final Clocks clocks;
  private final Runnable afterwards;
  private final Map<Integer, Integer> prefetch = new HashMap<>();
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
    this.host = host;
    this.core = core;
    this.bounds = bounds;
    this.session = session;
    this.clocks = clocks;
    this.afterwards = afterwards;
  }

  AmqpSession session() {
    return session;
  }

  private QueueId queue(String name) {
    return new QueueId(host, name);
  }

  @Override
  public Status status(String queue) {
    QueueCore.Status there = core.status(queue(queue));
    return there == null ? null : new Status(there.waiting(), there.consumers());
  }

  @Override
  public void publish(int channel, long number, String queue, Content content) {
    PendingPublish ticket = new PendingPublish(id, channel, number);
    int size = content.body().length + content.properties().bytes().length;
    long ttl;
    try {
      ttl = expiration(content.properties());
    } catch (AmqpException exception) {
      session.closeChannel(channel, exception);
      return;
    }
    if (unconfirmedBytes + size > bounds.unconfirmedBytes() && !unconfirmed.isEmpty()) {
      session.refused(
          channel,
          number,
          new AmqpException(
              ReplyCode.RESOURCE_LOCKED, "too much is unconfirmed on this connection"));
      return;
    }
    unconfirmed.put(ticket, size);
    unconfirmedBytes += size;
    core.publish(
        ticket,
        new PublishRequest(
            queue(queue),
            content.properties().messageId(),
            ttl,
            content.properties().bytes(),
            content.body()),
        clocks.monotonic.get(),
        clocks.wallMs.getAsLong());
    afterwards.run();
  }

  /** Parses milliseconds given as text, as AMQP brokers accept them; -1: none. */
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

  /** The publish was answered. */
  void answered(PendingPublish ticket) {
    Integer size = unconfirmed.remove(ticket);
    unconfirmedBytes -= size == null ? 0 : size;
  }

  @Override
  public void consume(int channel, String tag, String queue, boolean noAck) throws AmqpException {
    int asked = prefetch.getOrDefault(channel, 0);
    int limit = asked == 0 ? bounds.mostUnacked() : Math.min(asked, bounds.mostUnacked());
    ConsumerId consumer = new ConsumerId(id, channel, tag);
    if (!core.consume(
        consumer, queue(queue), noAck, limit, clocks.monotonic.get(), clocks.wallMs.getAsLong())) {
      throw new AmqpException(
          ReplyCode.ACCESS_REFUSED, "'" + queue + "' is worked on by rented machines");
    }
    afterwards.run();
  }

  @Override
  public void cancel(int channel, String tag) {
    core.cancel(new ConsumerId(id, channel, tag));
  }

  @Override
  public void get(int channel, String queue, boolean noAck) {
    core.get(id, channel, queue(queue), noAck, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    afterwards.run();
  }

  @Override
  public void prefetch(int channel, int count, boolean wholeChannel) {
    if (wholeChannel) {
      int limit = count == 0 ? UNLIMITED : count;
      core.setChannelLimit(id, channel, limit, clocks.monotonic.get(), clocks.wallMs.getAsLong());
      afterwards.run();
    } else {
      prefetch.put(channel, count);
    }
  }

  @Override
  public void settle(int channel, Object handle, Settlement how) {
    QueueCore.Settlement settlement =
        switch (how) {
          case ACK -> QueueCore.Settlement.ACK;
          case REJECT -> QueueCore.Settlement.REJECT;
          case REQUEUE -> QueueCore.Settlement.REQUEUE;
        };
    core.settle((DeliveryId) handle, settlement, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    afterwards.run();
  }

  @Override
  public void closed(int channel) {
    prefetch.remove(channel);
    core.channelClosed(id, channel, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    afterwards.run();
  }

  @Override
  public void gone() {
    core.sessionClosed(id, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    afterwards.run();
  }

  /** The peer's socket is full, or has drained. */
  void paused(boolean paused) {
    core.setPaused(id, paused, clocks.monotonic.get(), clocks.wallMs.getAsLong());
    afterwards.run();
  }
}
