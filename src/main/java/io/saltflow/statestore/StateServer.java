package io.saltflow.statestore;

import io.saltflow.journal.Disk;
import io.saltflow.journal.Journal;
import io.saltflow.kv.KeyStore;
import io.saltflow.kv.Limits;
import io.saltflow.kv.StateCore;
import io.saltflow.kv.Step;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A state service on one node: the core, and a journal that is written in batches. While one batch
 * is being synced the next gathers. A snapshot is taken out between batches, part by part.
 */
public final class StateServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(StateServer.class);
  private static final long MOST_SEGMENT = 16 << 20;
  private static final int KEYS_A_PART = 500;
  private static final Span MARK_AFTER = Span.seconds(1);
  private static final Span TRY_AGAIN = Span.millis(500);

  /** A batch that takes longer than this holds nobody else up: they are refused at once. */
  private static final Span SLOW = Span.seconds(1);

  /** How a server is to be. */
  public record Options(Limits limits, long snapshotBytes) {}

  private final Loop loop;
  private final StateCore core;
  private final StateFront front;
  private final Options options;
  private final Disk disk;
  private final Journal journal;
  private final Writer writer;
  private Time batchSince;
  private Time lastBatch;
  private boolean broken;
  private KeyStore.Copy copy;
  private Journal.Snapshot snapshot;
  private boolean partNext;
  private long writtenAtSnapshot;

  /**
   * Opens what a former process left.
   *
   * @param disk null: nothing is kept
   * @param identity of a store that begins now: random, so that no other store has it
   */
  public StateServer(Routine parent, Loop loop, Options options, Disk disk, long[] identity)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.options = options;
    this.disk = disk;
    core = new StateCore(options.limits(), loop.now());
    if (disk == null) {
      journal = null;
      writer = null;
    } else {
      journal = opened(identity);
      journal.notes().forEach(n -> LOG.warn("{}", n));
      writer = new Writer(loop);
      loop.every(Span.millis(200), this, this::look);
    }
    core.restored(loop.now());
    lastBatch = loop.now();
    front = new StateFront(this, loop, core, this::pump);
  }

  private Journal opened(long[] identity) throws IOException {
    try {
      return Contents.open(disk, MOST_SEGMENT, identity, core.store(), loop.now());
    } catch (IOException e) {
      Writer.close(disk);
      throw e;
    }
  }

  /** Where requests go. */
  public StateFront front() {
    return front;
  }

  /** The contents as far as they are durable. */
  public KeyStore store() {
    return core.store();
  }

  private void pump() {
    if (journal == null) {
      while (!core.next().isEmpty()) {
        core.durable(loop.now());
      }
      return;
    }
    if (writer.busy() || broken || cancelled()) {
      return;
    }
    if (copy != null && partNext) {
      partNext = false;
      part();
      return;
    }
    List<Step> steps = core.next();
    if (!steps.isEmpty()) {
      batch(steps);
    } else if (copy != null) {
      part();
    }
  }

  private void batch(List<Step> steps) {
    batchSince = loop.now();
    partNext = true;
    writer.run(
        () -> Writer.append(journal, steps),
        failure -> {
          batchSince = null;
          lastBatch = loop.now();
          if (failure == null) {
            core.durable(loop.now());
            slow(false);
          } else {
            LOG.error("nothing can be written down: {}; changes are refused", failure.getMessage());
            broken = true;
            core.setStuck(true, loop.now());
            core.failed();
            loop.after(TRY_AGAIN, this, this::mend);
          }
          front.tellWatches();
          pump();
        });
  }

  /** Tries whether the disk takes something again. */
  private void mend() {
    writer.run(
        journal::mend,
        failure -> {
          if (failure == null) {
            LOG.info("the disk takes changes again");
            broken = false;
            core.setStuck(false, loop.now());
            pump();
          } else {
            loop.after(TRY_AGAIN, this, this::mend);
          }
        });
  }

  private void slow(boolean is) {
    if (is != core.stuck() && !broken) {
      LOG.info(is ? "a sync takes long; changes are refused meanwhile" : "syncs are fast again");
      core.setStuck(is, loop.now());
    }
  }

  /** Once in a while: a sync that takes long, a mark of what is durable, the next snapshot. */
  private void look() {
    if (batchSince != null && loop.now().since(batchSince).longerThan(SLOW)) {
      slow(true);
    }
    if (writer.busy() || broken || !core.idle()) {
      return;
    }
    if (copy == null && journal.written() - writtenAtSnapshot > options.snapshotBytes()) {
      beginSnapshot();
    } else if (copy == null && loop.now().since(lastBatch).longerThan(MARK_AFTER)) {
      writer.run(
          journal::mark,
          failure -> {
            if (failure != null) {
              LOG.error("a mark could not be written: {}", failure.getMessage());
            }
            pump();
          });
      lastBatch = loop.now();
    }
  }

  /** Begun when nothing is being written down: the copy and the journal are then of one moment. */
  private void beginSnapshot() {
    writtenAtSnapshot = journal.written();
    copy = core.store().copy();
    snapshot = journal.snapshot();
    pump();
  }

  private void part() {
    KeyStore.Copy c = copy;
    List<Step> steps = c.next(KEYS_A_PART);
    Journal.Snapshot s = snapshot;
    boolean last = steps.isEmpty();
    if (last) {
      copy = null;
      snapshot = null;
    }
    writer.run(
        () -> {
          if (last) {
            s.done();
          } else {
            s.part(steps.stream().map(Step::encode).toList());
          }
        },
        failure -> {
          if (failure != null) {
            // The journal still holds all that the snapshot would have.
            LOG.error("a snapshot could not be written: {}", failure.getMessage());
            c.end();
            copy = null;
            snapshot = null;
          } else if (last) {
            LOG.info("a snapshot of {} keys is durable", core.store().size());
          }
          pump();
        });
  }

  @Override
  protected void onCancel() {
    if (writer != null) {
      writer.close();
    }
    Writer.close(disk);
  }
}
