package io.saltflow.controller;

import io.saltflow.broker.AmqpSettings;
import io.saltflow.transport.HttpServer;

/**
 * Division of a node's sockets among the interfaces that it serves.
 *
 * @param probes the maximum number of concurrent replica probes
 * @param amqpClients the maximum number of AMQP connections
 * @param httpConnections the maximum number of HTTP connections of users and workers
 */
record SocketBudget(int probes, int amqpClients, int httpConnections) {
  /** AMQP clients get at most the total number of sockets divided by this number. */
  private static final int AMQP_DIVISOR = 4;

  /** Sockets reserved for this node's own requests and for the mesh. */
  private static final int RESERVED = 100;

  private static final int MIN_HTTP_CONNECTIONS = 16;
  private static final int MAX_PROBES = 24;

  /**
   * Divides a number of sockets.
   *
   * @param amqp {@code null} if AMQP is not served
   * @param probesReplicas whether this node probes replicas
   */
  static SocketBudget of(int sockets, AmqpSettings amqp, boolean probesReplicas) {
    int amqpClients =
        amqp == null ? 0 : Math.min(amqp.bounds().connections(), sockets / AMQP_DIVISOR);
    int probes = probesReplicas ? MAX_PROBES : 0;
    int left = sockets - amqpClients - probes;
    // Connections in the accept backlog use sockets too; without counting them, workers that
    // reconnect after a restart could leave the leader none for its own requests.
    int http = Math.max(MIN_HTTP_CONNECTIONS, left - RESERVED - HttpServer.backlog(left));
    return new SocketBudget(probes, amqpClients, http);
  }
}
