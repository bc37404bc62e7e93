package io.saltflow.records;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * A leader's repositories with an in-memory key-value store that counts requests and writes.
 * Requests are answered in order by {@link #settle}. The clock moves only in {@link #advance},
 * while no request is in flight, so the counts do not depend on the load of the machine.
 */
final class RequestCountingStore implements AutoCloseable {
  private static final double MAX_VALUE_KB = 64;
  private static final int MAX_OPERATIONS = 32;
  private static final double UNLIMITED_RATE = 1e6;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int PAGE_SIZE = 1000;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  final EventLoop loop;
  final JobRepository jobs;
  final LeaderRepository repository;
  final LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
  private final Root root = new Root();
  private final EmulatedKeyValueStore store;
  private final KeyValueServer keyValueServer;
  private final Deque<Runnable> unanswered = new ArrayDeque<>();
  private long clockMs;
  private long requests;
  private long writes;
  private long bytes;

  /**
   * Creates a store.
   *
   * @param writesPerS write rate assumed of the store, which determines the interval between writes
   *     of a page
   */
  RequestCountingStore(double writesPerS) throws IOException {
    loop = new EventLoop(() -> clockMs * NANOS_PER_MS, System::currentTimeMillis);
    store =
        new EmulatedKeyValueStore(
            new KeyValueLimits(UNLIMITED_RATE, UNLIMITED_RATE, MAX_VALUE_KB, MAX_OPERATIONS),
            steps -> {},
            loop.now());
    keyValueServer = new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    StoreLimits limits = new StoreLimits(MAX_OPERATIONS, MAX_VALUE_KB, writesPerS);
    KeyValueClient client =
        new KeyValueClient(
            root, loop, this::call, this::call, UNLIMITED_RATE, UNLIMITED_RATE, limits);
    jobs = new JobRepository(root, loop, client, "node", LaneRules.NONE);
    repository = new LeaderRepository(root, client, jobs, lease, loop::now);
    elect();
  }

  private void elect() {
    commit(new Transaction().put(Keys.LEADER, MessageBody.of().with("host", "node")));
    lease.onElected(new Term(1), new Revision(store.revision()), loop.now());
  }

  private void call(
      String method,
      String target,
      byte[] body,
      TimeSpan timeout,
      Consumer<HttpClient.Answer> then) {
    MonotonicTime sentAt = loop.now();
    unanswered.add(
        () ->
            handle(
                method,
                target,
                body,
                response ->
                    then.accept(
                        new HttpClient.Answer(
                            response.status(), response.body(), sentAt, response.retryAfterS()))));
  }

  private void handle(String method, String target, byte[] body, Consumer<HttpResponse> answer) {
    requests++;
    bytes += body.length;
    if (target.equals(Wire.PATH_TRANSACTION)) {
      try {
        writes += EmulatedKeyValueStore.writeCount(MessagePackCodec.decode(body));
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }
    keyValueServer.handle(method, target, body, answer);
  }

  long requests() {
    return requests;
  }

  /** Returns the number of puts and deletes. */
  long writes() {
    return writes;
  }

  /** Returns the total size of request bodies, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Commits a transaction that is not counted. */
  void commit(Transaction txn) {
    try {
      if (store.commit(MessagePackCodec.decode(MessagePackCodec.encode(txn.encode()))).status()
          != 200) {
        throw new IllegalStateException("transaction was rejected");
      }
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Answers all requests, moves the clock, and runs what has become due. */
  void advance(TimeSpan span) throws IOException {
    settle();
    clockMs += span.ms();
    settle();
  }

  /** Answers all requests, including those that follow from answers, and runs due timers. */
  void settle() throws IOException {
    do {
      while (!unanswered.isEmpty()) {
        unanswered.poll().run();
      }
      loop.schedule(TimeSpan.millis(0), root, loop::pause);
      loop.run();
    } while (!unanswered.isEmpty());
  }

  /** Returns the total size of the values under a prefix, in bytes as counted by the limits. */
  long valueBytes(String prefix) throws InvalidMessageException {
    long totalBytes = 0;
    String after = "";
    while (true) {
      MessageBody page =
          MessagePackCodec.decode(
              MessagePackCodec.encode(store.list(prefix, after, PAGE_SIZE).body()));
      List<MessageBody> pairs = page.maps(Wire.ITEMS);
      for (MessageBody pair : pairs) {
        totalBytes += JsonSize.of(pair.map(Wire.VALUE));
        after = pair.text(Wire.KEY);
      }
      if (pairs.isEmpty() || !page.flagOr(Wire.TRUNCATED, false)) {
        return totalBytes;
      }
    }
  }

  @Override
  public void close() {
    root.cancel();
  }
}
