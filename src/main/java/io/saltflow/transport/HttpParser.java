package io.saltflow.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An incremental parser for HTTP/1.1 requests or responses. Bodies have a Content-Length or are
 * chunked. Limits are enforced while reading, so that a peer cannot exhaust memory.
 */
public final class HttpParser {
  private static final int MAX_LINE = 4096;
  private static final int FIRST_LINE_BYTES = 128;
  private static final int MAX_HEADERS = 64;

  /** Signals that the input is not valid HTTP or exceeds a limit. */
  public static final class MalformedMessageException extends Exception {
    private final int status;

    MalformedMessageException(int status, String message) {
      super(message, null, false, false);
      this.status = status;
    }

    /** Returns the HTTP status with which to reject the message. */
    public int status() {
      return status;
    }
  }

  private enum State {
    FIRST_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER,
    COMPLETE
  }

  private final boolean requests;
  private final int maxBody;

  /** Grows with the longest line to keep memory small with thousands of connections. */
  private byte[] line = new byte[FIRST_LINE_BYTES];

  private State state = State.FIRST_LINE;
  private int lineLength;
  private int headerCount;
  private String method;
  private String target;
  private int status;
  private int retryAfterS;
  private boolean close;
  private boolean chunked;
  private boolean hasLength;
  private byte[] body = new byte[0];
  private int bodyLength;
  private int remaining;

  /** Creates a parser of requests or responses whose bodies have at most {@code maxBody} bytes. */
  public HttpParser(boolean requests, int maxBody) {
    this.requests = requests;
    this.maxBody = maxBody;
  }

  /** Returns the method of a request. */
  public String method() {
    return method;
  }

  /** Returns the target of a request. */
  public String target() {
    return target;
  }

  /** Returns the status of a response. */
  public int status() {
    return status;
  }

  /** Returns the Retry-After header in seconds, or 0 if it is absent or a date. */
  public int retryAfterS() {
    return retryAfterS;
  }

  /** Returns whether the connection must be closed after this message. */
  public boolean wantsClose() {
    return close;
  }

  /** Returns the body, which is empty if the message has none. */
  public byte[] body() {
    return bodyLength == body.length ? body : Arrays.copyOf(body, bodyLength);
  }

  /** Returns whether a complete message has been read. */
  public boolean complete() {
    return state == State.COMPLETE;
  }

  /** Returns whether the first line and all headers have been read. */
  public boolean headComplete() {
    return state != State.FIRST_LINE && state != State.HEADERS;
  }

  /** Returns whether a message has been read in part. */
  public boolean inProgress() {
    return state != State.COMPLETE && (state != State.FIRST_LINE || lineLength > 0);
  }

  /** Prepares the parser for the next message. */
  public void reset() {
    state = State.FIRST_LINE;
    lineLength = 0;
    headerCount = 0;
    method = null;
    target = null;
    status = 0;
    retryAfterS = 0;
    close = false;
    chunked = false;
    hasLength = false;
    body = new byte[0];
    bodyLength = 0;
    remaining = 0;
  }

  /**
   * Consumes input up to the end of the current message.
   *
   * @return whether a complete message has been read
   * @throws MalformedMessageException if the input is invalid or exceeds a limit
   */
  public boolean feed(ByteBuffer in) throws MalformedMessageException {
    while (state != State.COMPLETE) {
      switch (state) {
        case BODY, CHUNK -> {
          int count = Math.min(remaining, in.remaining());
          reserve(bodyLength + count);
          in.get(body, bodyLength, count);
          bodyLength += count;
          remaining -= count;
          if (remaining > 0) {
            return false;
          }
          state = state == State.BODY ? State.COMPLETE : State.CHUNK_END;
        }
        default -> {
          String text = readLine(in);
          if (text == null) {
            return false;
          }
          parseLine(text);
        }
      }
    }
    return true;
  }

  private void parseLine(String text) throws MalformedMessageException {
    switch (state) {
      case FIRST_LINE -> {
        if (text.isEmpty()) {
          return;
        }
        parseFirstLine(text);
        state = State.HEADERS;
      }
      case HEADERS -> {
        if (text.isEmpty()) {
          endHeaders();
        } else {
          parseHeader(text);
        }
      }
      case CHUNK_SIZE -> {
        remaining = parseChunkSize(text);
        state = remaining == 0 ? State.TRAILER : State.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new MalformedMessageException(400, "chunk data exceeds the chunk size");
        }
        state = State.CHUNK_SIZE;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          state = State.COMPLETE;
        }
      }
      default -> throw new IllegalStateException(state.name());
    }
  }

  private void parseFirstLine(String text) throws MalformedMessageException {
    int firstSpace = text.indexOf(' ');
    int secondSpace = text.indexOf(' ', firstSpace + 1);
    if (requests) {
      if (firstSpace <= 0
          || secondSpace <= firstSpace + 1
          || !text.startsWith("HTTP/1.", secondSpace + 1)) {
        throw new MalformedMessageException(400, "malformed request line");
      }
      method = text.substring(0, firstSpace);
      target = text.substring(firstSpace + 1, secondSpace);
      close = text.endsWith("/1.0");
    } else {
      if (!text.startsWith("HTTP/1.") || firstSpace < 0 || text.length() < firstSpace + 4) {
        throw new MalformedMessageException(400, "malformed status line");
      }
      status = parseNumber(text.substring(firstSpace + 1, firstSpace + 4), 10);
    }
  }

  private void parseHeader(String text) throws MalformedMessageException {
    if (++headerCount > MAX_HEADERS) {
      throw new MalformedMessageException(431, "too many headers");
    }
    int colon = text.indexOf(':');
    if (colon <= 0) {
      throw new MalformedMessageException(400, "malformed header");
    }
    String name = text.substring(0, colon);
    String value = text.substring(colon + 1).trim();
    if (name.equalsIgnoreCase("Content-Length")) {
      int length = parseNumber(value, 10);
      if (hasLength && length != remaining) {
        throw new MalformedMessageException(400, "conflicting Content-Length headers");
      }
      hasLength = true;
      remaining = length;
    } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
      if (!value.equalsIgnoreCase("chunked")) {
        throw new MalformedMessageException(501, "unknown transfer encoding");
      }
      chunked = true;
    } else if (name.equalsIgnoreCase("Retry-After")) {
      retryAfterS = value.matches("\\d{1,6}") ? Integer.parseInt(value) : 0;
    } else if (name.equalsIgnoreCase("Connection")) {
      close = value.equalsIgnoreCase("close") || (close && !value.equalsIgnoreCase("keep-alive"));
    }
  }

  private void endHeaders() throws MalformedMessageException {
    if (chunked && hasLength) {
      throw new MalformedMessageException(400, "both Content-Length and chunked transfer encoding");
    }
    if (chunked) {
      remaining = 0;
      state = State.CHUNK_SIZE;
    } else if (hasLength && remaining > 0) {
      if (remaining > maxBody) {
        throw new MalformedMessageException(413, "body too large");
      }
      reserve(remaining);
      state = State.BODY;
    } else {
      state = State.COMPLETE;
    }
  }

  private int parseChunkSize(String text) throws MalformedMessageException {
    int semicolon = text.indexOf(';');
    return parseNumber((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
  }

  private static int parseNumber(String text, int radix) throws MalformedMessageException {
    if (text.isEmpty() || text.length() > 9) {
      throw new MalformedMessageException(text.isEmpty() ? 400 : 413, "number empty or too long");
    }
    int value = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = Character.digit(text.charAt(i), radix);
      if (digit < 0 || value > (Integer.MAX_VALUE - digit) / radix) {
        throw new MalformedMessageException(400, "malformed number");
      }
      value = value * radix + digit;
    }
    return value;
  }

  private void reserve(int size) throws MalformedMessageException {
    if (size > maxBody) {
      throw new MalformedMessageException(413, "body too large");
    }
    if (size > body.length) {
      // Grows with the received data, so that a declared length alone allocates little memory.
      int grown = hasLength ? Math.min(size, 65536) : Math.max(size, body.length * 2);
      body = Arrays.copyOf(body, Math.min(maxBody, Math.max(grown, size)));
    }
  }

  private String readLine(ByteBuffer in) throws MalformedMessageException {
    while (in.hasRemaining()) {
      byte nextByte = in.get();
      if (nextByte == '\n') {
        int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        lineLength = 0;
        return new String(line, 0, end, StandardCharsets.ISO_8859_1);
      }
      if (nextByte < ' ' && nextByte != '\r' && nextByte != '\t') {
        throw new MalformedMessageException(400, "invalid control character");
      }
      if (lineLength == MAX_LINE) {
        throw new MalformedMessageException(state == State.FIRST_LINE ? 414 : 431, "line too long");
      }
      if (lineLength == line.length) {
        line = Arrays.copyOf(line, Math.min(MAX_LINE, 2 * line.length));
      }
      line[lineLength++] = nextByte;
    }
    return null;
  }
}
