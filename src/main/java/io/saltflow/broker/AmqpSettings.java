package io.saltflow.broker;

import io.saltflow.model.TimeSpan;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Configuration of the AMQP server and its queues.
 *
 * @param listen the address to listen on
 * @param addresses the AMQP addresses of all nodes by node name, possibly empty
 * @param templates the job templates by queue, as JSON
 */
public record AmqpSettings(
    InetSocketAddress listen,
    Map<String, String> addresses,
    Bounds bounds,
    List<User> users,
    List<VirtualHost> hosts,
    List<QueuePolicy> queues,
    Map<QueueId, String> templates) {

  /**
   * Limits of one node, in bytes and counts. The ids of completed messages are bounded in number
   * and age.
   */
  public record Bounds(
      int connections,
      int channels,
      int frameMax,
      TimeSpan heartbeat,
      int mostUnacked,
      int unconfirmedBytes,
      int mostBody,
      long mostBytes,
      int remembered,
      TimeSpan rememberedFor) {}

  /** A user, the bcrypt hash of the password, and the virtual hosts that the user may open. */
  public record User(String name, String hash, List<String> hosts) {}

  /** A virtual host and the networks that may connect to it, as addresses with prefixes. */
  public record VirtualHost(String name, List<String> networks) {}

  /** Returns a copy of these settings with another listen address. */
  public AmqpSettings withListen(InetSocketAddress address) {
    return new AmqpSettings(address, addresses, bounds, users, hosts, queues, templates);
  }
}
