import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 as far as the stand-ins need it: bodies with a Content-Length, no pipelining. */
final class Http {
  record Request(String method, String target, byte[] body) {}

  record Response(int status, byte[] body) {}

  interface Handler {
    Response handle(Request request) throws IOException;
  }

  interface ConnectionHandler {
    void handle(Socket socket) throws IOException;
  }

  private Http() {}

  /** Accepts connections on a free loopback port, one thread each, and returns the port. */
  static int accept(ConnectionHandler handler) throws IOException {
    ServerSocket listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    daemon(
        () -> {
          while (true) {
            try {
              Socket socket = listener.accept();
              socket.setTcpNoDelay(true);
              daemon(
                  () -> {
                    try (socket) {
                      handler.handle(socket);
                    } catch (IOException exception) {
                      // The peer is gone.
                    }
                  });
            } catch (IOException exception) {
              return;
            }
          }
        });
    return listener.getLocalPort();
  }

  static void daemon(Runnable action) {
    Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  /** Serves requests on a free loopback port. */
  static int serve(Handler handler) throws IOException {
    return accept(
        socket -> {
          InputStream in = new BufferedInputStream(socket.getInputStream());
          for (Request request = read(in); request != null; request = read(in)) {
            write(socket.getOutputStream(), handler.handle(request));
          }
        });
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder out = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        if (out.length() == 0) {
          return null;
        }
        throw new EOFException();
      }
      out.append((char) c);
    }
    return out.toString().trim();
  }

  private static byte[] body(InputStream in) throws IOException {
    int length = 0;
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      if (header.substring(0, colon).equalsIgnoreCase("Content-Length")) {
        length = Integer.parseInt(header.substring(colon + 1).trim());
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    return body;
  }

  /** Reads a request, or returns {@code null} at the end of the connection. */
  static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] words = first.split(" ");
    return new Request(words[0], words[1], body(in));
  }

  static Response readResponse(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      throw new EOFException();
    }
    return new Response(Integer.parseInt(first.split(" ")[1]), body(in));
  }

  static void write(OutputStream out, Request request) throws IOException {
    String head =
        request.method()
            + " "
            + request.target()
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
            + request.body().length
            + "\r\n\r\n";
    write(out, head, request.body());
  }

  static void write(OutputStream out, Response response) throws IOException {
    String head =
        "HTTP/1.1 "
            + response.status()
            + " Status\r\nContent-Length: "
            + response.body().length
            + "\r\n\r\n";
    write(out, head, response.body());
  }

  private static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    out.write(all);
    out.flush();
  }
}
