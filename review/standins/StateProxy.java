import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * Stands between one controller and the state service. Does to each request what the state
 * service's page allows: serve it, refuse it with 503, answer late, or execute it and lose the
 * answer. Watches that are open in an outage stay open.
 */
final class StateProxy {
  enum Fate {
    SERVE,
    REFUSE,
    EXECUTE_AND_LOSE_ANSWER,
    /** Executed only after {@link #release}, or never if the caller is gone by then. */
    HOLD
  }

  private final Lab lab;
  private final String owner;
  private final int statePort;
  private final int port;
  private final Object gate = new Object();
  private volatile Function<Http.Request, Fate> rule = request -> Fate.SERVE;
  private volatile boolean outage;
  private long held;
  private long released;
  private volatile int refusedQueueWrites;

  StateProxy(Lab lab, String owner, int statePort) throws IOException {
    this.lab = lab;
    this.owner = owner;
    this.statePort = statePort;
    this.port = Http.accept(this::handle);
  }

  int port() {
    return port;
  }

  void setRule(Function<Http.Request, Fate> newRule) {
    rule = newRule;
  }

  /** Begins or ends an outage: every request is refused with 503, and open watches wait. */
  void setOutage(boolean down) {
    synchronized (gate) {
      outage = down;
      gate.notifyAll();
    }
  }

  boolean inOutage() {
    return outage;
  }

  /** Lets the requests that are held now be executed. */
  void release() {
    synchronized (gate) {
      released = held;
    }
  }

  /** Returns how many requests have been held so far. */
  long heldSoFar() {
    synchronized (gate) {
      return held;
    }
  }

  /** Returns how many writes of queue records were refused with 503 so far. */
  int refusedQueueWrites() {
    return refusedQueueWrites;
  }

  /** Returns whether a request is a transaction that writes records of the work queues. */
  static boolean writesQueues(Http.Request request) {
    return request.target().equals("/multi")
        && new String(request.body(), StandardCharsets.ISO_8859_1).contains("queues/");
  }

  private void handle(Socket client) throws IOException {
    InputStream in = new BufferedInputStream(client.getInputStream());
    try (Socket state = new Socket("127.0.0.1", statePort)) {
      state.setTcpNoDelay(true);
      InputStream stateIn = new BufferedInputStream(state.getInputStream());
      for (Http.Request request = Http.read(in); request != null; request = Http.read(in)) {
        Fate fate = outage ? Fate.REFUSE : rule.apply(request);
        if (fate != Fate.SERVE) {
          lab.record(
              "state service, " + owner + ": " + request.method() + " " + request.target()
                  + " of " + request.body().length + " bytes: " + fate);
        }
        if (fate == Fate.REFUSE) {
          refusedQueueWrites += writesQueues(request) ? 1 : 0;
          Http.write(client.getOutputStream(), new Http.Response(503, new byte[0]));
          continue;
        }
        if (fate == Fate.HOLD && !awaitRelease(client)) {
          lab.record("state service, " + owner + ": the held request's caller is gone; dropped");
          return;
        }
        Http.write(state.getOutputStream(), request);
        Http.Response response = Http.readResponse(stateIn);
        if (fate == Fate.EXECUTE_AND_LOSE_ANSWER) {
          lab.record(
              "state service, " + owner + ": executed with " + response.status()
                  + ", the answer is lost, the connection is closed");
          return;
        }
        if (request.target().startsWith("/changes")) {
          awaitEndOfOutage();
        }
        Http.write(client.getOutputStream(), response);
      }
    }
  }

  private void awaitEndOfOutage() {
    synchronized (gate) {
      while (outage) {
        await();
      }
    }
  }

  private boolean awaitRelease(Socket client) throws IOException {
    long ticket;
    synchronized (gate) {
      ticket = ++held;
    }
    client.setSoTimeout(20);
    while (true) {
      synchronized (gate) {
        if (released >= ticket) {
          client.setSoTimeout(0);
          return true;
        }
      }
      try {
        if (client.getInputStream().read() < 0) {
          return false;
        }
      } catch (java.net.SocketTimeoutException exception) {
        // The caller still waits.
      } catch (IOException exception) {
        return false;
      }
    }
  }

  private void await() {
    try {
      gate.wait(100);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
