package io.saltflow.transport;

import io.saltflow.model.TimeSpan;
import java.util.function.Consumer;

/**
 * Sends requests to one endpoint. The callback receives one response, with status 0 if none arrives
 * in time.
 */
public interface HttpCaller {
  /**
   * Sends a request as soon as a connection is available.
   *
   * @param timeout time after which the request completes with status 0; the server may have
   *     executed it or may still do so
   * @param then receives the response
   */
  void call(
      String method,
      String target,
      byte[] body,
      TimeSpan timeout,
      Consumer<HttpClient.Answer> then);
}
