package io.saltflow.kvserver;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.raft.Ready;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves a node's Raft state on a dedicated thread, one save at a time, and retries a failed save
 * until it succeeds. All methods run on the event loop's thread.
 */
final class RaftStateSaver implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RaftStateSaver.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(500);

  private final Routine owner;
  private final EventLoop loop;
  private final RaftStorage storage;
  private final LogWriterThread writer;
  private boolean saving;
  private MonotonicTime savingSince;
  private boolean markWritten;

  /**
   * Creates a saver.
   *
   * @param owner the routine whose cancellation stops the retries
   */
  RaftStateSaver(Routine owner, EventLoop loop, RaftStorage storage) {
    this.owner = owner;
    this.loop = loop;
    this.storage = storage;
    this.writer = new LogWriterThread(loop);
  }

  /** Saves a state and runs the callback once it is durable. */
  void save(Ready.Save save, Runnable onSaved) {
    saving = true;
    markWritten = false;
    savingSince = loop.now();
    write(save, onSaved);
  }

  private void write(Ready.Save save, Runnable onSaved) {
    writer.run(
        () -> storage.save(save),
        failure -> {
          if (failure == null) {
            saving = false;
            onSaved.run();
          } else if (!owner.cancelled()) {
            // Messages that depend on the save are held back, so another member takes over
            // meanwhile.
            LOG.error(
                "Raft state could not be written to disk, retrying: {}", failure.getMessage());
            scheduleProbe(save, onSaved);
          }
        });
  }

  private void scheduleProbe(Ready.Save save, Runnable onSaved) {
    loop.schedule(RETRY_DELAY, owner, () -> probe(save, onSaved));
  }

  private void probe(Ready.Save save, Runnable onSaved) {
    writer.run(
        storage::probe,
        failure -> {
          if (failure == null) {
            write(save, onSaved);
          } else if (!owner.cancelled()) {
            scheduleProbe(save, onSaved);
          }
        });
  }

  /** Returns whether a save has been in progress for longer than a threshold. */
  boolean isStalled(TimeSpan threshold) {
    return saving && loop.now().since(savingSince).longerThan(threshold);
  }

  /** Writes a durability mark unless a write is in progress or the last write was a mark. */
  void writeDurabilityMark() {
    if (saving || writer.isBusy() || markWritten) {
      return;
    }
    markWritten = true;
    writer.run(storage::writeDurabilityMark, RaftStateSaver::logMarkFailure);
  }

  private static void logMarkFailure(IOException failure) {
    if (failure != null) {
      LOG.error("durability mark could not be written: {}", failure.getMessage());
    }
  }

  /** Stops the writer thread after the write in progress. */
  @Override
  public void close() {
    writer.close();
  }
}
