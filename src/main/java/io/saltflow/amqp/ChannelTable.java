package io.saltflow.amqp;

import java.util.HashMap;
import java.util.Map;

/**
 * The open channels of a connection, by the peer's numbers and by the ids under which the broker
 * knows them. A number may be opened again after its channel was closed; an id never is.
 */
final class ChannelTable {
  private final Map<Integer, AmqpChannel> byNumber = new HashMap<>();
  private final Map<Long, AmqpChannel> byId = new HashMap<>();
  private long lastId;

  long nextId() {
    return ++lastId;
  }

  void add(AmqpChannel channel) {
    byNumber.put(channel.number(), channel);
    byId.put(channel.id(), channel);
  }

  void remove(AmqpChannel channel) {
    byNumber.remove(channel.number());
    byId.remove(channel.id());
  }

  void clear() {
    byNumber.clear();
    byId.clear();
  }

  /** Returns the channel that has this number now, or {@code null} if it is not open. */
  AmqpChannel findByNumber(int number) {
    return byNumber.get(number);
  }

  /** Returns the channel with this id, or {@code null} if it was closed. */
  AmqpChannel findById(long id) {
    return byId.get(id);
  }

  int size() {
    return byNumber.size();
  }
}
