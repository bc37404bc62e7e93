package io.saltflow.compat;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.StoreLimits;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpCaller;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * In-memory key-value store that answers immediately, without sockets, and records all requests.
 * Its monotonic clock moves only with {@link #advance}.
 */
final class RecordingStore implements HttpCaller, AutoCloseable {
  static final long WALL_MS = 1_796_189_000_000L;
  static final double RATE = 1e6;
  private static final double VALUE_KB = 64;
  private static final int TRANSACTION_OPERATIONS = 32;
  private static final long START_MS = 1_000_000;
  private static final long NANOS_PER_MS = 1_000_000;

  /** Request as it was sent, with method and target in {@code line}. */
  record Request(String line, byte[] body) {}

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  final List<Request> requests = new ArrayList<>();
  final Routine root = new Root();
  final EventLoop loop;
  final StoreLimits limits = new StoreLimits(TRANSACTION_OPERATIONS, VALUE_KB, RATE);
  private final KeyValueServer server;
  private long clockMs = START_MS;

  RecordingStore() throws IOException {
    loop = new EventLoop(() -> clockMs * NANOS_PER_MS, () -> WALL_MS);
    EmulatedKeyValueStore store =
        new EmulatedKeyValueStore(
            new KeyValueLimits(RATE, RATE, VALUE_KB, TRANSACTION_OPERATIONS),
            batches -> {},
            loop.now());
    server = new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
  }

  /** Returns a client of this store with the given write rate limit. */
  KeyValueClient client(double writesPerSecond) {
    HttpCaller watches =
        (method, target, body, timeout, then) ->
            requests.add(new Request(method + " " + target, body));
    return new KeyValueClient(root, loop, this, watches, RATE, writesPerSecond, limits);
  }

  @Override
  public void call(
      String method,
      String target,
      byte[] body,
      TimeSpan timeout,
      Consumer<HttpClient.Answer> then) {
    requests.add(new Request(method + " " + target, body));
    server.handle(
        method,
        target,
        body,
        reply ->
            then.accept(
                new HttpClient.Answer(
                    reply.status(), reply.body(), loop.now(), reply.retryAfterS())));
  }

  /** Executes the write requests recorded by another store. */
  void replay(List<Request> recorded) {
    for (Request request : recorded) {
      String[] line = request.line().split(" ", 2);
      if (!line[0].equals("GET")) {
        server.handle(line[0], line[1], request.body(), reply -> {});
      }
    }
  }

  /** Advances the clock and runs the tasks that are due. */
  void advance(long ms) throws IOException {
    clockMs += ms;
    loop.schedule(TimeSpan.millis(0), root, loop::pause);
    loop.run();
  }

  @Override
  public void close() {
    root.cancel();
  }
}
