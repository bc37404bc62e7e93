package io.saltflow.kvserver;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.Routine;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Forwards client requests to the group's leader over HTTP. */
final class LeaderForwarder {
  /** Path prefix that marks a request as forwarded, so that it is not forwarded again. */
  static final String FORWARDED_PREFIX = "/passed-on";

  private static final TimeSpan TIMEOUT = TimeSpan.seconds(5);

  /** Exceeds the maximum timeout of a watch. */
  private static final TimeSpan WATCH_TIMEOUT = TimeSpan.seconds(65);

  private static final int MAX_FORWARDED = 256;

  private final Routine parent;
  private final EventLoop loop;
  private final Map<String, HttpClient> clients = new TreeMap<>();

  /**
   * Creates a forwarder without members.
   *
   * @param parent the routine that owns the connections to the members
   */
  LeaderForwarder(Routine parent, EventLoop loop) {
    this.parent = parent;
    this.loop = loop;
  }

  /** Adds a member that may become the leader. */
  void addMember(String name, InetSocketAddress clientAddress) {
    clients.put(name, new HttpClient(parent, loop, clientAddress, MAX_FORWARDED, MAX_FORWARDED));
  }

  /**
   * Forwards a request to the leader, or replies 503 if there is no known leader.
   *
   * @param leader the leader's name, or {@code null} if it is not known
   */
  void forward(
      String leader, String method, String target, byte[] body, Consumer<HttpResponse> replyTo) {
    HttpClient client = leader == null ? null : clients.get(leader);
    if (client == null) {
      replyTo.accept(HttpResponse.empty(503));
      return;
    }
    TimeSpan timeout = target.startsWith(Wire.PATH_WATCH) ? WATCH_TIMEOUT : TIMEOUT;
    client.call(
        method,
        FORWARDED_PREFIX + target,
        body,
        timeout,
        response ->
            replyTo.accept(
                response.status() == 0
                    ? HttpResponse.NONE
                    : new HttpResponse(
                        response.status(), response.body(), response.retryAfterS())));
  }
}
