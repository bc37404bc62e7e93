package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measures a standalone server without a network: the throughput and latency of single-put
 * transactions at several concurrency levels, compared with plain file syncs and with an in-memory
 * server, and the recovery time for up to a million keys. {@code docs/PERFORMANCE.md} describes how
 * to run it.
 */
public final class StandaloneServerBenchmark {
  private static final KeyValueLimits LIMITS = new KeyValueLimits(1e9, 1e9, 64, 32);
  private static final long SECONDS = 4;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Path folder;
  private int sent;
  private int completed;

  private StandaloneServerBenchmark(Path folder) {
    this.folder = folder;
  }

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory(Path.of(args.length > 0 ? args[0] : "."), "state-load");
    StandaloneServerBenchmark benchmark = new StandaloneServerBenchmark(folder);
    benchmark.measureSyncs();
    for (int concurrency : new int[] {1, 16, 256}) {
      benchmark.measureTransactions(concurrency, true, 1L << 40);
      benchmark.measureTransactions(concurrency, false, 1L << 40);
    }
    benchmark.measureTransactions(256, true, 4 << 20);
    for (int keys : new int[] {10_000, 100_000, 1_000_000}) {
      benchmark.measureRecovery(keys, true);
    }
    benchmark.measureRecovery(100_000, false);
  }

  private static byte[] put(int i) {
    return MessagePackCodec.encode(
        MessageBody.of()
            .with("guards", List.of())
            .with(
                "writes",
                List.of(
                    MessageBody.of()
                        .with("put", "key/" + i)
                        .with("data", MessageBody.of().with("x", "v".repeat(100))))));
  }

  /** Measures the baseline: sequential writes and syncs of about the size of a transaction. */
  private void measureSyncs() throws IOException {
    try (FileSystemDirectory disk = FileSystemDirectory.open(folder.resolve("syncs"))) {
      Histogram latencies = new Histogram(3);
      long endsAt = System.nanoTime() + SECONDS * 1_000_000_000L;
      while (System.nanoTime() < endsAt) {
        long startedAt = System.nanoTime();
        disk.append("file", ByteBuffer.allocate(200));
        disk.sync("file");
        latencies.recordValue((System.nanoTime() - startedAt) / 1000);
      }
      print("syncs of 200 bytes", latencies);
    }
  }

  private static void print(String label, Histogram latencies) {
    System.out.printf(
        "%s: %d a second, p50 %d us, p99 %d us, most %d us%n",
        label,
        latencies.getTotalCount() / SECONDS,
        latencies.getValueAtPercentile(50),
        latencies.getValueAtPercentile(99),
        latencies.getMaxValue());
  }

  private StandaloneServer server(Routine root, EventLoop loop, Path data, long snapshot)
      throws IOException {
    return new StandaloneServer(
        root,
        loop,
        new StandaloneServer.Options(LIMITS, snapshot),
        data == null ? null : FileSystemDirectory.open(data),
        new long[] {1, 2});
  }

  private void measureTransactions(int concurrency, boolean durable, long snapshot)
      throws IOException {
    EventLoop loop = new EventLoop();
    Root root = new Root();
    Path data = durable ? folder.resolve("t" + concurrency + "-" + snapshot) : null;
    StandaloneServer server = server(root, loop, data, snapshot);
    Histogram latencies = new Histogram(3);
    sent = 0;
    completed = 0;
    long endsAt = System.nanoTime() + SECONDS * 1_000_000_000L;
    loop.schedule(TimeSpan.seconds(SECONDS), root, loop::pause);
    sendRequests(server, loop, root, latencies, concurrency, endsAt);
    loop.run();
    print(
        concurrency
            + " concurrent"
            + (durable ? "" : ", in memory")
            + (snapshot < 1L << 40 ? ", snapshots" : ""),
        latencies);
    root.cancel();
  }

  private void sendRequests(
      StandaloneServer server,
      EventLoop loop,
      Root root,
      Histogram latencies,
      int concurrency,
      long endsAt) {
    // Yields to the event loop after every 64 requests, as a server with a network would.
    while (sent - completed < concurrency && System.nanoTime() < endsAt) {
      long startedAt = System.nanoTime();
      int key = sent++ % 5000;
      server
          .server()
          .handle(
              "POST",
              "/multi",
              put(key),
              reply -> {
                completed++;
                latencies.recordValue((System.nanoTime() - startedAt) / 1000);
                loop.post(() -> sendRequests(server, loop, root, latencies, concurrency, endsAt));
              });
      if (sent % 64 == 0) {
        loop.post(() -> sendRequests(server, loop, root, latencies, concurrency, endsAt));
        return;
      }
    }
  }

  private void measureRecovery(int keys, boolean snapshot) throws IOException {
    Path data = folder.resolve("r" + keys + snapshot);
    EventLoop loop = new EventLoop();
    Root root = new Root();
    StandaloneServer server = server(root, loop, data, snapshot ? keys * 100L : 1L << 40);
    int[] remaining = {keys};
    for (int i = 0; i < keys; ) {
      for (int n = 0; n < 2000 && i < keys; n++, i++) {
        server.server().handle("POST", "/multi", put(i), reply -> remaining[0]--);
      }
      int before = remaining[0];
      while (remaining[0] > keys - i) {
        loop.schedule(TimeSpan.millis(1), root, loop::pause);
        loop.run();
      }
      if (before < 0) {
        return;
      }
    }
    // The server checks every 200 ms whether a snapshot is due, and writes it in parts.
    loop.schedule(TimeSpan.millis(snapshot ? 3000 + keys / 100 : 300), root, loop::pause);
    loop.run();
    root.cancel();
    System.gc();
    long before = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    Root reopenedRoot = new Root();
    long startedAt = System.nanoTime();
    StandaloneServer reopened = server(reopenedRoot, loop, data, 1L << 40);
    long ms = (System.nanoTime() - startedAt) / 1_000_000;
    System.gc();
    long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() - before;
    long bytes = 0;
    boolean found = false;
    try (var files = Files.list(data)) {
      for (Path file : files.toList()) {
        bytes += Files.size(file);
        found |= file.getFileName().toString().startsWith("snap-");
      }
    }
    System.out.printf(
        "%d keys, %d MB %s: opened in %d ms, %d bytes of heap a key%n",
        reopened.store().size(),
        bytes >> 20,
        found ? "with a snapshot" : "of log",
        ms,
        heap / keys);
    reopenedRoot.cancel();
  }
}
