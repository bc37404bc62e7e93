package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueCore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import io.saltflow.wal.StorageDirectory;
import io.saltflow.wal.WriteAheadLog;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The key-value store on a single node, with a write-ahead log and group commit. While one group is
 * being synced the next one accumulates; snapshot parts are written between groups. Everything
 * except disk writes runs on the event loop's thread.
 */
public final class StandaloneServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(StandaloneServer.class);
  private static final long MAX_SEGMENT_BYTES = 16 << 20;
  private static final int KEYS_PER_PART = 500;
  private static final TimeSpan DURABILITY_MARK_DELAY = TimeSpan.seconds(1);
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.millis(200);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(500);

  /** Duration of a disk write after which further changes are rejected immediately. */
  private static final TimeSpan WRITE_STALL_THRESHOLD = TimeSpan.seconds(1);

  /**
   * Server settings.
   *
   * @param snapshotBytes number of bytes of log records after which a snapshot is due
   */
  public record Options(KeyValueLimits limits, long snapshotBytes) {}

  private final EventLoop loop;
  private final KeyValueCore core;
  private final KeyValueServer server;
  private final Options options;
  private final StorageDirectory directory;
  private final WriteAheadLog log;
  private final LogWriterThread writer;
  private MonotonicTime writeStartedAt;
  private MonotonicTime lastWriteAt;
  private boolean writeFailed;
  private KeyValueStore.SnapshotIterator contents;
  private WriteAheadLog.SnapshotWriter snapshot;
  private boolean snapshotPartNext;
  private long bytesWrittenAtSnapshot;

  /**
   * Recovers the store from its data directory.
   *
   * @param directory the data directory, or {@code null} to keep the contents in memory only
   * @param storeId two random halves of the store's identity, used if a log is created
   * @throws IOException if the contents cannot be recovered
   */
  public StandaloneServer(
      Routine parent, EventLoop loop, Options options, StorageDirectory directory, long[] storeId)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.options = options;
    this.directory = directory;
    core = new KeyValueCore(options.limits(), loop.now());
    if (directory == null) {
      log = null;
      writer = null;
    } else {
      log = openLog(storeId);
      log.recoveryNotes().forEach(note -> LOG.warn("{}", note));
      writer = new LogWriterThread(loop);
      loop.scheduleRepeating(CHECK_INTERVAL, this, this::checkPeriodically);
    }
    core.onRestored(loop.now());
    lastWriteAt = loop.now();
    server = new KeyValueServer(this, loop, core, this::writeNext);
  }

  private WriteAheadLog openLog(long[] storeId) throws IOException {
    try {
      return StoreRecovery.open(directory, MAX_SEGMENT_BYTES, storeId, core.store(), loop.now());
    } catch (IOException exception) {
      LogWriterThread.close(directory);
      throw exception;
    }
  }

  /** Returns the HTTP request handler. */
  public KeyValueServer server() {
    return server;
  }

  /** Returns the durable contents. */
  public KeyValueStore store() {
    return core.store();
  }

  private void writeNext() {
    if (log == null) {
      while (!core.nextGroup().isEmpty()) {
        core.onDurable(loop.now());
      }
      return;
    }
    if (writer.isBusy() || writeFailed || cancelled()) {
      return;
    }
    if (contents != null && snapshotPartNext) {
      snapshotPartNext = false;
      writeSnapshotPart();
      return;
    }
    List<WriteBatch> batches = core.nextGroup();
    if (!batches.isEmpty()) {
      writeGroup(batches);
    } else if (contents != null) {
      writeSnapshotPart();
    }
  }

  private void writeGroup(List<WriteBatch> batches) {
    writeStartedAt = loop.now();
    snapshotPartNext = true;
    writer.run(
        () -> LogWriterThread.append(log, batches),
        failure -> {
          writeStartedAt = null;
          lastWriteAt = loop.now();
          if (failure == null) {
            core.onDurable(loop.now());
            setStalled(false);
          } else {
            LOG.error("write to disk failed, changes are rejected: {}", failure.getMessage());
            writeFailed = true;
            core.setWritesStalled(true, loop.now());
            core.onWriteFailed();
            loop.schedule(RETRY_DELAY, this, this::probeDisk);
          }
          server.notifyWatches();
          writeNext();
        });
  }

  /** Checks whether the disk accepts writes again. */
  private void probeDisk() {
    writer.run(
        log::probe,
        failure -> {
          if (failure == null) {
            LOG.info("disk accepts writes again");
            writeFailed = false;
            core.setWritesStalled(false, loop.now());
            writeNext();
          } else {
            loop.schedule(RETRY_DELAY, this, this::probeDisk);
          }
        });
  }

  private void setStalled(boolean isStalled) {
    if (isStalled != core.writesStalled() && !writeFailed) {
      LOG.info(
          isStalled ? "disk sync stalled, changes are rejected" : "disk sync no longer stalled");
      core.setWritesStalled(isStalled, loop.now());
    }
  }

  /** Detects a stalled sync, and writes a durability mark or starts a snapshot when due. */
  private void checkPeriodically() {
    if (writeStartedAt != null
        && loop.now().since(writeStartedAt).longerThan(WRITE_STALL_THRESHOLD)) {
      setStalled(true);
    }
    if (writer.isBusy() || writeFailed || !core.isIdle()) {
      return;
    }
    if (contents == null && log.bytesWritten() - bytesWrittenAtSnapshot > options.snapshotBytes()) {
      beginSnapshot();
    } else if (contents == null
        && loop.now().since(lastWriteAt).longerThan(DURABILITY_MARK_DELAY)) {
      writer.run(
          log::writeDurabilityMark,
          failure -> {
            if (failure != null) {
              LOG.error("durability mark could not be written: {}", failure.getMessage());
            }
            writeNext();
          });
      lastWriteAt = loop.now();
    }
  }

  /** Starts a snapshot. No write is in progress, so the store and the log match. */
  private void beginSnapshot() {
    bytesWrittenAtSnapshot = log.bytesWritten();
    contents = core.store().snapshot();
    snapshot = log.beginSnapshot();
    writeNext();
  }

  private void writeSnapshotPart() {
    KeyValueStore.SnapshotIterator iterator = contents;
    List<WriteBatch> batches = iterator.next(KEYS_PER_PART);
    WriteAheadLog.SnapshotWriter snapshotWriter = snapshot;
    boolean isLast = batches.isEmpty();
    if (isLast) {
      contents = null;
      snapshot = null;
    }
    writer.run(
        () -> {
          if (isLast) {
            snapshotWriter.finish();
          } else {
            snapshotWriter.append(batches.stream().map(WriteBatch::encode).toList());
          }
        },
        failure -> {
          if (failure != null) {
            // No data is lost, because the log still holds all entries.
            LOG.error("snapshot could not be written: {}", failure.getMessage());
            iterator.close();
            contents = null;
            snapshot = null;
          } else if (isLast) {
            LOG.info("snapshot written, {} keys", core.store().size());
          }
          writeNext();
        });
  }

  @Override
  protected void onCancel() {
    if (writer != null) {
      writer.close();
    }
    LogWriterThread.close(directory);
  }
}
