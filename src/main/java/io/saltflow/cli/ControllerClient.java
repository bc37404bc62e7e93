package io.saltflow.cli;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Client for a controller's HTTP interfaces that retries requests as the protocol requires of
 * users. Its methods run the event loop while they wait and so block the calling thread.
 */
final class ControllerClient extends Routine {
  private static final byte[] NO_BODY = new byte[0];
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.seconds(5);
  private static final TimeSpan RETRY_DELAY = TimeSpan.seconds(1);
  private static final int MAX_RETRY_AFTER_S = 30;

  private final EventLoop loop;
  private final HttpClient http;
  private final TimeSpan timeout;

  /**
   * Final answer to a request.
   *
   * @param status the HTTP status, or 0 if no answer arrived in time
   * @param body the decoded body, or {@code null} if it is empty or invalid
   */
  record Answer(int status, MessageBody body) {
    String error() {
      return body != null && body.get(Wire.ERROR) instanceof String s ? s : "status " + status;
    }
  }

  ControllerClient(EventLoop loop, InetSocketAddress server, TimeSpan timeout) {
    super(null);
    this.loop = loop;
    this.http = new HttpClient(this, loop, server, 1, 1);
    this.timeout = timeout;
  }

  Answer submit(MessageBody job) throws IOException {
    return callWithRetries("POST", Wire.PATH_JOBS, MessagePackCodec.encode(job));
  }

  /** Returns the status of a job. */
  Answer status(String id) throws IOException {
    return callWithRetries("GET", Wire.PATH_JOBS + "/" + id, NO_BODY);
  }

  Answer cancel(String id) throws IOException {
    return callWithRetries("POST", Wire.PATH_JOBS + "/" + id + Wire.CANCEL_SUFFIX, NO_BODY);
  }

  Answer get(String path) throws IOException {
    return callWithRetries("GET", path, NO_BODY);
  }

  Answer post(String path, MessageBody body) throws IOException {
    return callWithRetries("POST", path, MessagePackCodec.encode(body));
  }

  /**
   * Sends a request and retries it until a final answer or the timeout. Statuses such as 429, 503
   * and 504 are not final.
   */
  private Answer callWithRetries(String method, String path, byte[] body) throws IOException {
    MonotonicTime deadline = loop.now().plus(timeout);
    while (true) {
      HttpClient.Answer answer = call(method, path, body);
      boolean isFinal =
          switch (answer.status()) {
            case 200, 201, 400, 404, 409, 413, 422 -> true;
            default -> false;
          };
      TimeSpan pause =
          TimeSpan.seconds(
              Math.max(RETRY_DELAY.toSeconds(), Math.min(MAX_RETRY_AFTER_S, answer.retryAfterS())));
      if (isFinal || loop.now().plus(pause).after(deadline)) {
        return new Answer(answer.status(), decode(answer.body()));
      }
      sleep(pause);
    }
  }

  /** Runs the event loop for the given time. */
  void sleep(TimeSpan pause) throws IOException {
    loop.schedule(pause, this, loop::pause);
    loop.run();
  }

  private HttpClient.Answer call(String method, String path, byte[] body) throws IOException {
    HttpClient.Answer[] received = new HttpClient.Answer[1];
    http.call(
        method,
        path,
        body,
        REQUEST_TIMEOUT,
        answer -> {
          received[0] = answer;
          loop.pause();
        });
    while (received[0] == null) {
      loop.run();
    }
    return received[0];
  }

  private static MessageBody decode(byte[] body) {
    try {
      return body.length == 0 ? null : MessagePackCodec.decode(body);
    } catch (InvalidMessageException exception) {
      return null;
    }
  }
}
