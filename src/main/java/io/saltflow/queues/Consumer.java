package io.saltflow.queues;

import java.util.HashSet;
import java.util.Set;

/** A consumer of a queue with its prefetch limit. */
final class Consumer {
  /**
   * The prefetch limit and the number of outstanding deliveries shared by a channel's consumers.
   */
  static final class ChannelWindow {
    int limit;
    int outstanding;

    ChannelWindow(int limit) {
      this.limit = limit;
    }
  }

  /** Flow control of a connection, shared by all its consumers. */
  static final class FlowControl {
    /** Whether deliveries are paused because the peer reads too slowly. */
    boolean paused;

    /** Bytes of deliveries that are being recorded and will be sent afterwards. */
    int inFlightBytes;

    boolean full() {
      return paused || inFlightBytes >= MAX_IN_FLIGHT_BYTES;
    }
  }

  /**
   * Maximum number of bytes in flight to one connection. With a large prefetch limit, unbounded
   * deliveries could exhaust the memory of a small machine.
   */
  private static final int MAX_IN_FLIGHT_BYTES = 256 * 1024;

  final ConsumerId id;
  final QueueState queue;
  final boolean noAck;
  final int limit;
  final ChannelWindow window;
  final FlowControl flow;
  final Set<Message> held = new HashSet<>();

  /**
   * Whether it was cancelled. A cancelled consumer takes no deliveries, but may still settle those
   * that it holds.
   */
  boolean cancelled;

  /** Position in the rotation of consumers that can take a delivery. */
  long turn;

  Consumer(
      ConsumerId id,
      QueueState queue,
      boolean noAck,
      int limit,
      ChannelWindow window,
      FlowControl flow) {
    this.id = id;
    this.queue = queue;
    this.noAck = noAck;
    this.limit = limit;
    this.window = window;
    this.flow = flow;
  }

  boolean hasCapacity() {
    return !flow.full() && !cancelled && held.size() < limit && window.outstanding < window.limit;
  }
}
