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
 * The key-value store on a single node: the core and a write-ahead log with group commit. While one
 * group is being synced the next accumulates; the parts of a snapshot are written between groups.
 * Everything but the writes to disk runs on the loop's thread.
 */
public final class StandaloneServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(StandaloneServer.class);
  private static final long MAX_SEGMENT_BYTES = 16 << 20;
  private static final int KEYS_PER_PART = 500;
  private static final TimeSpan DURABILITY_MARK_DELAY = TimeSpan.seconds(1);
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.millis(200);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(500);

  /** A write that takes longer stalls writes: changes are rejected at once. */
  private static final TimeSpan WRITE_STALL_THRESHOLD = TimeSpan.seconds(1);

  /**
   * The settings of a server.
   *
   * @param snapshotBytes how many bytes of log make a snapshot due
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
   * @param directory the data directory, or null to keep contents in memory only
   * @param storeId random; the two halves of the identity of a log that is created now
   * @throws IOException when the contents can't be recovered
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

  /** Returns the handler of requests. */
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

  /** Detects a stalled sync, and writes a durability mark or begins a snapshot when one is due. */
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

  /** Begins a snapshot. No write is under way, so the store and the log match. */
  private void beginSnapshot() {
    bytesWrittenAtSnapshot = log.bytesWritten();
    contents = core.store().snapshot();
    snapshot = log.beginSnapshot();
    writeNext();
  }

  private void writeSnapshotPart() {
    KeyValueStore.SnapshotIterator partContents = contents;
    List<WriteBatch> batches = partContents.next(KEYS_PER_PART);
    WriteAheadLog.SnapshotWriter partSnapshot = snapshot;
    boolean last = batches.isEmpty();
    if (last) {
      contents = null;
      snapshot = null;
    }
    writer.run(
        () -> {
          if (last) {
            partSnapshot.finish();
          } else {
            partSnapshot.append(batches.stream().map(WriteBatch::encode).toList());
          }
        },
        failure -> {
          if (failure != null) {
            // Nothing is lost: the log still holds everything.
            LOG.error("snapshot could not be written: {}", failure.getMessage());
            partContents.close();
            contents = null;
            snapshot = null;
          } else if (last) {
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
