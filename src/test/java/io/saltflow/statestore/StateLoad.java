package io.saltflow.statestore;

import io.saltflow.kv.Limits;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measures the state service on one node without a network: transactions of one put, so many under
 * way, beside a baseline that writes and syncs the same bytes, and beside one that keeps nothing;
 * and how long a folder of many keys takes to open. Run by hand: {@code docs/PERFORMANCE.md} says
 * how.
 */
public final class StateLoad {
  private static final Limits LIMITS = new Limits(1e9, 1e9, 64, 32);
  private static final long SECONDS = 4;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final Path folder;
  private int asked;
  private int answered;

  private StateLoad(Path folder) {
    this.folder = folder;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory(Path.of(args.length > 0 ? args[0] : "."), "state-load");
    StateLoad load = new StateLoad(folder);
    load.syncs();
    for (int underWay : new int[] {1, 16, 256}) {
      load.transactions(underWay, true, 1L << 40);
      load.transactions(underWay, false, 1L << 40);
    }
    load.transactions(256, true, 4 << 20);
    for (int keys : new int[] {10_000, 100_000, 1_000_000}) {
      load.recovery(keys, true);
    }
    load.recovery(100_000, false);
  }

  private static byte[] put(int i) {
    return MsgPack.encode(
        Body.of()
            .with("guards", List.of())
            .with(
                "writes",
                List.of(
                    Body.of()
                        .with("put", "key/" + i)
                        .with("data", Body.of().with("x", "v".repeat(100))))));
  }

  /** The machine's own: as many bytes as a transaction takes, written and synced one by one. */
  private void syncs() throws IOException {
    try (FileDisk disk = FileDisk.of(folder.resolve("syncs"))) {
      Histogram h = new Histogram(3);
      long until = System.nanoTime() + SECONDS * 1_000_000_000L;
      while (System.nanoTime() < until) {
        long began = System.nanoTime();
        disk.append("file", ByteBuffer.allocate(200));
        disk.sync("file");
        h.recordValue((System.nanoTime() - began) / 1000);
      }
      told("syncs of 200 bytes", h);
    }
  }

  private static void told(String what, Histogram h) {
    System.out.printf(
        "%s: %d a second, p50 %d us, p99 %d us, most %d us%n",
        what,
        h.getTotalCount() / SECONDS,
        h.getValueAtPercentile(50),
        h.getValueAtPercentile(99),
        h.getMaxValue());
  }

  private StateServer server(Routine root, Loop loop, Path data, long snapshot) throws IOException {
    return new StateServer(
        root,
        loop,
        new StateServer.Options(LIMITS, snapshot),
        data == null ? null : FileDisk.of(data),
        new long[] {1, 2});
  }

  private void transactions(int underWay, boolean kept, long snapshot) throws IOException {
    Loop loop = new Loop();
    Root root = new Root();
    Path data = kept ? folder.resolve("t" + underWay + "-" + snapshot) : null;
    StateServer s = server(root, loop, data, snapshot);
    Histogram h = new Histogram(3);
    asked = 0;
    answered = 0;
    long until = System.nanoTime() + SECONDS * 1_000_000_000L;
    loop.after(Span.seconds(SECONDS), root, loop::pause);
    ask(s, loop, root, h, underWay, until);
    loop.run();
    told(
        underWay
            + " under way"
            + (kept ? "" : ", nothing kept")
            + (snapshot < 1L << 40 ? ", snapshots" : ""),
        h);
    root.cancel();
  }

  private void ask(StateServer s, Loop loop, Root root, Histogram h, int underWay, long until) {
    // A turn of the loop asks as many as there is room for; timers stand in for the network.
    while (asked - answered < underWay && System.nanoTime() < until) {
      long began = System.nanoTime();
      int key = asked++ % 5000;
      s.front()
          .handle(
              "POST",
              "/multi",
              put(key),
              r -> {
                answered++;
                h.recordValue((System.nanoTime() - began) / 1000);
                loop.post(() -> ask(s, loop, root, h, underWay, until));
              });
      if (asked % 64 == 0) {
        loop.post(() -> ask(s, loop, root, h, underWay, until));
        return;
      }
    }
  }

  private void recovery(int keys, boolean snapshot) throws IOException {
    Path data = folder.resolve("r" + keys + snapshot);
    Loop loop = new Loop();
    Root root = new Root();
    StateServer s = server(root, loop, data, snapshot ? keys * 100L : 1L << 40);
    int[] left = {keys};
    for (int i = 0; i < keys; ) {
      for (int n = 0; n < 2000 && i < keys; n++, i++) {
        s.front().handle("POST", "/multi", put(i), r -> left[0]--);
      }
      int before = left[0];
      while (left[0] > keys - i) {
        loop.after(Span.millis(1), root, loop::pause);
        loop.run();
      }
      if (before < 0) {
        return;
      }
    }
    // A snapshot that is due is looked for every 200 ms, and taken in parts.
    loop.after(Span.millis(snapshot ? 3000 + keys / 100 : 300), root, loop::pause);
    loop.run();
    root.cancel();
    System.gc();
    long before = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    Root again = new Root();
    long began = System.nanoTime();
    StateServer t = server(again, loop, data, 1L << 40);
    long ms = (System.nanoTime() - began) / 1_000_000;
    System.gc();
    long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() - before;
    long bytes = 0;
    boolean found = false;
    try (var files = Files.list(data)) {
      for (Path f : files.toList()) {
        bytes += Files.size(f);
        found |= f.getFileName().toString().startsWith("snap-");
      }
    }
    System.out.printf(
        "%d keys, %d MB %s: opened in %d ms, %d bytes of heap a key%n",
        t.store().size(), bytes >> 20, found ? "with a snapshot" : "of log", ms, heap / keys);
    again.cancel();
  }
}
