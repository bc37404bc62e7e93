package io.saltflow.transport;

import java.nio.ByteBuffer;

/**
 * An HTTP response.
 *
 * @param retryAfterS the Retry-After header in seconds, or 0 for none
 */
public record HttpResponse(int status, byte[] body, int retryAfterS) {
  private static final byte[] NO_BODY = new byte[0];

  /** Closes the connection without a response. */
  public static final HttpResponse NONE = new HttpResponse(0, NO_BODY, 0);

  /** Returns a response with a body. */
  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0);
  }

  /** Returns a response without a body. */
  public static HttpResponse empty(int status) {
    return new HttpResponse(status, NO_BODY, 0);
  }

  ByteBuffer bytes(boolean close) {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ").append(status).append(' ').append(reason()).append("\r\n");
    if (body.length > 0) {
      head.append("Content-Type: application/msgpack\r\n");
    }
    head.append("Content-Length: ").append(body.length).append("\r\n");
    if (retryAfterS > 0) {
      head.append("Retry-After: ").append(retryAfterS).append("\r\n");
    }
    if (close) {
      head.append("Connection: close\r\n");
    }
    head.append("\r\n");
    return HttpEncoder.join(head, body);
  }

  private String reason() {
    return switch (status) {
      case 200 -> "OK";
      case 201 -> "Created";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      case 421 -> "Misdirected Request";
      case 422 -> "Unprocessable Content";
      case 503 -> "Service Unavailable";
      default -> "Status";
    };
  }
}
