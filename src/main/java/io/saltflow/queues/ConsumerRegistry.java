package io.saltflow.queues;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The consumers of all connections, by connection and channel. */
final class ConsumerRegistry {
  private static final class Channel {
    final Consumer.ChannelWindow window = new Consumer.ChannelWindow(Integer.MAX_VALUE);
    final Map<String, Consumer> consumers = new TreeMap<>();

    /** Cancelled consumers that hold deliveries, and whose tags other consumers have now. */
    final Set<Consumer> replaced = new LinkedHashSet<>();

    List<Consumer> all() {
      List<Consumer> all = new ArrayList<>(replaced);
      all.addAll(consumers.values());
      return all;
    }
  }

  private static final class Session {
    final Consumer.FlowControl flow = new Consumer.FlowControl();
    final Map<Long, Channel> channels = new TreeMap<>();

    void refresh() {
      channels
          .values()
          .forEach(ch -> ch.consumers.values().forEach(c -> c.queue.updateReadiness(c)));
    }
  }

  private final Map<Long, Session> sessions = new HashMap<>();

  private Session session(long session) {
    return sessions.computeIfAbsent(session, s -> new Session());
  }

  private Channel channel(long session, long channel) {
    return session(session).channels.computeIfAbsent(channel, c -> new Channel());
  }

  private Channel findChannel(ConsumerId id) {
    Session session = sessions.get(id.session());
    return session == null ? null : session.channels.get(id.channel());
  }

  Consumer add(ConsumerId id, QueueState queue, boolean noAck, int limit) {
    Channel channel = channel(id.session(), id.channel());
    Consumer consumer =
        new Consumer(id, queue, noAck, limit, channel.window, session(id.session()).flow);
    Consumer former = channel.consumers.put(id.tag(), consumer);
    if (former != null) {
      channel.replaced.add(former);
    }
    return consumer;
  }

  /** Returns the pseudo-consumer for gets from a queue on a channel. */
  Consumer getter(ConsumerId id, QueueState queue, boolean noAck) {
    Channel channel = channel(id.session(), id.channel());
    // Prefetch limits do not apply to gets, because each one is requested explicitly.
    return channel.consumers.computeIfAbsent(
        id.tag() + noAck + queue.policy.id(),
        tag -> {
          Consumer consumer =
              new Consumer(
                  id,
                  queue,
                  noAck,
                  Integer.MAX_VALUE,
                  new Consumer.ChannelWindow(0),
                  session(id.session()).flow);
          consumer.cancelled = true;
          return consumer;
        });
  }

  Consumer find(ConsumerId id) {
    Channel channel = findChannel(id);
    return channel == null ? null : channel.consumers.get(id.tag());
  }

  /** Forgets a consumer that was cancelled and holds nothing any more. */
  void removeIfDone(Consumer consumer) {
    Channel channel = findChannel(consumer.id);
    if (channel != null && consumer.cancelled && consumer.held.isEmpty()) {
      channel.replaced.remove(consumer);
      channel.consumers.values().remove(consumer);
    }
  }

  void setChannelLimit(long session, long channel, int limit) {
    Channel found = channel(session, channel);
    found.window.limit = limit;
    found.consumers.values().forEach(c -> c.queue.updateReadiness(c));
  }

  void setPaused(long session, boolean paused) {
    Session found = session(session);
    found.flow.paused = paused;
    found.refresh();
  }

  /**
   * Adds to the bytes in flight to the consumer's connection. A negative number means that
   * deliveries were sent, or will not be sent.
   */
  void addInFlightBytes(Consumer consumer, int bytes) {
    boolean wasFull = consumer.flow.full();
    consumer.flow.inFlightBytes += bytes;
    Session session = sessions.get(consumer.id.session());
    if (wasFull && !consumer.flow.full() && session != null) {
      session.refresh();
    }
  }

  /** Updates the consumers that may take more deliveries after one was settled or released. */
  void deliverySettled(Consumer consumer) {
    Channel channel = findChannel(consumer.id);
    if (channel == null) {
      return;
    }
    if (channel.window.limit == Integer.MAX_VALUE) {
      consumer.queue.updateReadiness(consumer);
    } else {
      channel.consumers.values().forEach(c -> c.queue.updateReadiness(c));
    }
  }

  List<Consumer> removeChannel(long session, long channel) {
    Session found = sessions.get(session);
    Channel removed = found == null ? null : found.channels.remove(channel);
    return removed == null ? List.of() : removed.all();
  }

  List<Consumer> removeSession(long session) {
    List<Consumer> out = new ArrayList<>();
    Session found = sessions.remove(session);
    if (found != null) {
      found.channels.values().forEach(channel -> out.addAll(channel.all()));
    }
    return out;
  }
}
