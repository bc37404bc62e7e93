package io.saltflow.controller;

import io.saltflow.api.SchedulingApi;
import io.saltflow.api.ServiceApi;
import io.saltflow.api.UserApi;
import io.saltflow.api.UserResponses;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes HTTP requests by path to the interface that answers them. Not thread-safe: used on the
 * event loop's thread.
 */
final class RequestRouter {
  private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);
  private static final String GET = "GET";
  private static final String POST = "POST";

  /**
   * The interfaces that requests are routed to.
   *
   * @param workers answers a worker's heartbeat, given its body
   * @param healthy returns whether load balancers should send users to this node
   * @param services {@code null} if services are not served
   */
  record Interfaces(
      BiConsumer<byte[], Consumer<HttpResponse>> workers,
      BooleanSupplier healthy,
      UserApi users,
      SchedulingApi scheduling,
      ServiceApi services) {}

  private final EventLoop loop;
  private final Interfaces interfaces;
  private int refusedAfterPause;

  RequestRouter(EventLoop loop, Interfaces interfaces) {
    this.loop = loop;
    this.interfaces = interfaces;
  }

  /** Logs the number of requests refused after a process pause since the last call, if any. */
  void logRefusedAfterPause() {
    if (refusedAfterPause > 0) {
      LOG.info("refused {} requests received during a process pause", refusedAfterPause);
      refusedAfterPause = 0;
    }
  }

  /** Handles a request, calling {@code answer} once, possibly later. */
  void handle(String method, String target, byte[] body, Consumer<HttpResponse> answer) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    if (path.equals(Wire.PATH_HEARTBEAT)) {
      requireMethod(POST, method, answer, () -> interfaces.workers().accept(body, answer));
    } else if (path.equals(Wire.PATH_HEALTH)) {
      requireMethod(GET, method, answer, () -> answer.accept(health()));
    } else if (loop.readingBacklog()) {
      // The request arrived during a process pause and its sender has probably timed out; serving
      // it
      // would delay current requests. Workers are always answered, since their tasks depend on the
      // renewed lease during an outage and a refused worker takes long to return.
      refusedAfterPause++;
      answer.accept(UserResponses.retryLater("it came while this controller stood still", 1));
    } else if (SchedulingApi.serves(path)) {
      interfaces.scheduling().handle(method, path, body, answer);
    } else if (interfaces.services() != null && isAtOrBelow(Wire.PATH_SERVICES, path)) {
      interfaces.services().handle(method, path, body, answer);
    } else if (isAtOrBelow(Wire.PATH_JOBS, path)) {
      handleJob(method, path, body, answer);
    } else {
      answer.accept(UserResponses.error(404, "no such path"));
    }
  }

  private HttpResponse health() {
    return HttpResponse.empty(interfaces.healthy().getAsBoolean() ? 200 : 503);
  }

  private static boolean isAtOrBelow(String prefix, String path) {
    return path.equals(prefix) || path.startsWith(prefix + "/");
  }

  private void handleJob(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    UserApi users = interfaces.users();
    if (path.equals(Wire.PATH_JOBS)) {
      requireMethod(POST, method, answer, () -> users.submit(body, answer));
      return;
    }
    String id = path.substring(Wire.PATH_JOBS.length() + 1);
    if (id.endsWith(Wire.CANCEL_SUFFIX)) {
      String job = id.substring(0, id.length() - Wire.CANCEL_SUFFIX.length());
      requireMethod(POST, method, answer, () -> users.cancel(job, answer));
    } else {
      requireMethod(GET, method, answer, () -> users.poll(id, answer));
    }
  }

  private static void requireMethod(
      String required, String method, Consumer<HttpResponse> answer, Runnable action) {
    if (method.equals(required)) {
      action.run();
    } else {
      answer.accept(UserResponses.error(405, "use " + required));
    }
  }
}
