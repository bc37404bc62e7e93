package io.saltflow.kvserver;

import io.saltflow.kv.WriteBatch;
import io.saltflow.transport.EventLoop;
import io.saltflow.wal.StorageDirectory;
import io.saltflow.wal.WriteAheadLog;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs operations on the write-ahead log on a dedicated thread, one at a time, so that the event
 * loop never blocks on disk I/O. Only this thread accesses the log.
 */
final class LogWriterThread implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LogWriterThread.class);

  /** An operation on the log that may fail with an I/O error. */
  interface LogOperation {
    void run() throws IOException;
  }

  private final EventLoop loop;
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          action -> {
            Thread thread = new Thread(action, "journal");
            thread.setDaemon(true);
            return thread;
          });
  private boolean busy;

  LogWriterThread(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns whether an operation is in progress. */
  boolean isBusy() {
    return busy;
  }

  /**
   * Runs an operation on the writer thread, then the callback on the event loop's thread.
   *
   * @param callback receives {@code null} on success, or the exception that the operation threw
   */
  void run(LogOperation operation, Consumer<IOException> callback) {
    busy = true;
    executor.execute(
        () -> {
          IOException failure = null;
          try {
            operation.run();
          } catch (IOException exception) {
            failure = exception;
          }
          IOException result = failure;
          loop.post(
              () -> {
                busy = false;
                callback.accept(result);
              });
        });
  }

  /** Appends write batches to a log as a single record. */
  static void append(WriteAheadLog log, List<WriteBatch> batches) throws IOException {
    log.append(batches.stream().map(WriteBatch::encode).toList());
  }

  /** Closes a directory so that another process may open it; a failure is only logged. */
  static void close(StorageDirectory directory) {
    if (directory instanceof AutoCloseable closeable) {
      try {
        closeable.close();
      } catch (Exception exception) {
        LOG.error("data directory could not be closed: {}", exception.getMessage());
      }
    }
  }

  /** Stops the thread after waiting up to 5 s for the operation in progress. */
  @Override
  public void close() {
    executor.shutdown();
    try {
      // A client may be waiting for the write in progress.
      executor.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
