package io.saltflow.statestore;

import io.saltflow.journal.Disk;
import io.saltflow.journal.Journal;
import io.saltflow.kv.Step;
import io.saltflow.transport.Loop;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes to the journal on a thread of its own, one thing at a time, so that the loop's thread,
 * which owns all else, never waits for a disk. The journal is touched by nobody else.
 */
final class Writer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Writer.class);

  /** Something to be done with the journal. */
  interface Work {
    void run() throws IOException;
  }

  private final Loop loop;
  private final ExecutorService thread =
      Executors.newSingleThreadExecutor(
          r -> {
            Thread t = new Thread(r, "journal");
            t.setDaemon(true);
            return t;
          });
  private boolean busy;

  Writer(Loop loop) {
    this.loop = loop;
  }

  /** Whether something is under way. */
  boolean busy() {
    return busy;
  }

  /** Does it, and tells on the loop's thread: null, or why it could not be done. */
  void run(Work work, Consumer<IOException> then) {
    busy = true;
    thread.execute(
        () -> {
          IOException failure = null;
          try {
            work.run();
          } catch (IOException e) {
            failure = e;
          }
          IOException told = failure;
          loop.post(
              () -> {
                busy = false;
                then.accept(told);
              });
        });
  }

  static void append(Journal journal, List<Step> steps) throws IOException {
    journal.append(steps.stream().map(Step::encode).toList());
  }

  /** Lets the folder go, which another process may then have. */
  static void close(Disk disk) {
    if (disk instanceof AutoCloseable c) {
      try {
        c.close();
      } catch (Exception e) {
        LOG.error("the folder could not be closed: {}", e.getMessage());
      }
    }
  }

  @Override
  public void close() {
    thread.shutdown();
    try {
      // What is under way may be what somebody is answered for.
      thread.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
