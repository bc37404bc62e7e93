package io.saltflow.amqp;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The optional features that a client announces in the capabilities table of start-ok.
 *
 * @param cancelNotify whether the client accepts basic.cancel from the server
 * @param blocked whether the client accepts connection.blocked and connection.unblocked
 */
record Capabilities(boolean cancelNotify, boolean blocked) {
  /** Capabilities of a client that announces none. */
  static final Capabilities NONE = new Capabilities(false, false);

  private static final List<String> SERVER_CAPABILITIES =
      List.of(
          "publisher_confirms",
          "basic.nack",
          "consumer_cancel_notify",
          "connection.blocked",
          "authentication_failure_close",
          "per_consumer_qos");

  /** Returns the server's properties for connection.start: product name and capabilities. */
  static Map<String, Object> serverProperties() {
    Map<String, Object> capabilities = new HashMap<>();
    for (String name : SERVER_CAPABILITIES) {
      capabilities.put(name, true);
    }
    return Map.of("product", "saltflow", "capabilities", capabilities);
  }

  /**
   * Returns the capabilities in a client's properties of start-ok, or none if there is no such
   * table.
   */
  static Capabilities ofClient(Map<String, Object> properties) {
    if (properties.get("capabilities") instanceof Map<?, ?> table) {
      return new Capabilities(
          Boolean.TRUE.equals(table.get("consumer_cancel_notify")),
          Boolean.TRUE.equals(table.get("connection.blocked")));
    }
    return NONE;
  }
}
