package io.saltflow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.TimeSpan;
import io.saltflow.processpause.ProcessPause;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against stale actions after a process pause, simulated with adjustable clocks. */
class EventLoopPauseTest {
  private static final String REQUEST = "GET /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Root root = new Root();
  private final List<String> trace = new ArrayList<>();

  /** Time by which the clocks of the test are ahead of the system clocks, in milliseconds. */
  private long clockOffsetMs;

  private EventLoop loop;

  @BeforeEach
  void start() throws IOException {
    loop =
        new EventLoop(
            () -> System.nanoTime() + clockOffsetMs * 1_000_000,
            () -> System.currentTimeMillis() + clockOffsetMs);
    loop.detectPauses(TimeSpan.millis(10), pause -> trace.add(describe(pause)));
  }

  @AfterEach
  void cancelRoot() {
    root.cancel();
  }

  private static String describe(ProcessPause processPause) {
    return "paused for " + processPause.length().ms() / 1000 + " s";
  }

  private void run() throws IOException {
    loop.schedule(TimeSpan.millis(2), root, loop::pause);
    loop.run();
  }

  /**
   * Guards against I/O after a pause before overdue timers have fired, when earlier checks are no
   * longer valid.
   */
  @Test
  void overdueTimersFireBeforeReadyConnectionsAfterPause() throws IOException {
    Pipe pipe = Pipe.open();
    pipe.source().configureBlocking(false);
    loop.register(
        pipe.source(),
        SelectionKey.OP_READ,
        new EventLoop.ReadinessHandler() {
          @Override
          public void onReady(SelectionKey key) throws IOException {
            pipe.source().read(ByteBuffer.allocate(8));
            trace.add("connection ready");
          }

          @Override
          public void onBroken(IOException cause) {}

          @Override
          public boolean hasPriority() {
            return true;
          }
        });
    run();
    loop.schedule(
        TimeSpan.millis(1),
        root,
        () -> {
          // The process pauses here, after a check.
          clockOffsetMs += 13_000;
          trace.add("action allowed by earlier check");
          writeByte(pipe);
        });
    loop.schedule(TimeSpan.seconds(4), root, () -> trace.add("timer expired"));
    for (int i = 0; i < 100 && !trace.contains("connection ready"); i++) {
      run();
    }
    assertEquals(
        List.of(
            "action allowed by earlier check",
            "paused for 13 s",
            "timer expired",
            "connection ready"),
        trace);
    pipe.sink().close();
    pipe.source().close();
  }

  private static void writeByte(Pipe pipe) {
    try {
      pipe.sink().write(ByteBuffer.wrap(new byte[] {1}));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Guards against serving requests that timed out at their clients during a pause. */
  @Test
  void backlogOfPauseIsDistinguishedFromNewRequests() throws IOException {
    List<String> served = new ArrayList<>();
    HttpServer server =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            1024,
            (method, target, body, answer) -> {
              if (!loop.readingBacklog()) {
                served.add(target);
              }
              answer.accept(HttpResponse.empty(loop.readingBacklog() ? 503 : 200));
            });
    run();
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      clients.add(request(server));
    }
    clockOffsetMs += 6_000;
    int refused = 0;
    for (Socket socket : clients) {
      refused += readStatus(socket).startsWith("HTTP/1.1 503") ? 1 : 0;
    }
    assertEquals(40, refused);
    assertEquals(List.of(), served);
    clockOffsetMs += 1_001;
    assertTrue(readStatus(request(server)).startsWith("HTTP/1.1 200"));
    clockOffsetMs += 3_000;
    assertTrue(
        readStatus(request(server)).startsWith("HTTP/1.1 200"),
        "a pause shorter than the client timeout leaves no backlog");
    assertEquals(List.of("paused for 6 s", "paused for 3 s"), trace);
  }

  private Socket request(HttpServer server) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", server.port()));
    socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private String readStatus(Socket socket) throws IOException {
    for (int i = 0; i < 5_000 && socket.getInputStream().available() == 0; i++) {
      run();
    }
    byte[] head = socket.getInputStream().readNBytes(12);
    socket.close();
    return new String(head, StandardCharsets.US_ASCII);
  }
}
