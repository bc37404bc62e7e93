package io.saltflow.amqp;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The optional features that a client supports, by the capabilities table of its start-ok.
 *
 * @param cancelNotify it understands that the server cancels a consumer
 * @param blocked it understands connection.blocked and connection.unblocked
 */
record Capabilities(boolean cancelNotify, boolean blocked) {
  /** What a client supports that has not said anything. */
  static final Capabilities NONE = new Capabilities(false, false);

  private static final List<String> SERVER_CAPABILITIES =
      List.of(
          "publisher_confirms",
          "basic.nack",
          "consumer_cancel_notify",
          "connection.blocked",
          "authentication_failure_close",
          "per_consumer_qos");

  /** The server's properties in connection.start: its product name and its own capabilities. */
  static Map<String, Object> serverProperties() {
    Map<String, Object> capabilities = new HashMap<>();
    for (String name : SERVER_CAPABILITIES) {
      capabilities.put(name, true);
    }
    return Map.of("product", "saltflow", "capabilities", capabilities);
  }

  /** Reads the client's properties of start-ok; an absent table means no capabilities. */
  static Capabilities ofClient(Map<String, Object> properties) {
    if (properties.get("capabilities") instanceof Map<?, ?> table) {
      return new Capabilities(
          Boolean.TRUE.equals(table.get("consumer_cancel_notify")),
          Boolean.TRUE.equals(table.get("connection.blocked")));
    }
    return NONE;
  }
}
