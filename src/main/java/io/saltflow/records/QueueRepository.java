package io.saltflow.records;

import io.saltflow.model.RateLimiter;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.queues.Entry;
import io.saltflow.queues.EntryCodec;
import io.saltflow.queues.QueueCore;
import io.saltflow.queues.RecordBatch;
import io.saltflow.store.CompressedValues;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the queues in the key-value store, as compressed batches of entries in keys that are
 * reused. The store limits the number of keys written, so a batch holds as many entries as its keys
 * can take, and no key is ever deleted: each batch states below which number batches are obsolete,
 * and their keys are overwritten.
 *
 * <p>Each write is guarded by the leader key and by the revision of every key that it replaces.
 */
public final class QueueRepository extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(QueueRepository.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(200);
  private static final String NUMBER = "b";
  private static final String TERM = "t";
  private static final String TAIL = "f";
  private static final String INDEX = "i";
  private static final String COUNT = "n";
  private static final String DATA = "d";

  /** Largest share of the node's writes that queues may take. */
  private static final double WRITE_SHARE = 0.6;

  /** The result of reading what earlier leaders recorded. */
  public enum ReplayResult {
    REPLAYED,
    /** The key-value store did not answer; the read may be retried. */
    UNAVAILABLE,
    /** A batch is missing or damaged; serving the queues would lose confirmed messages. */
    UNREADABLE
  }

  /**
   * A key and the number of the batch of which it holds a part, or did before it became obsolete.
   */
  private static final class Slot {
    final String key;
    long batch;
    Revision revision;

    Slot(String key, long batch, Revision revision) {
      this.key = key;
      this.batch = batch;
      this.revision = revision;
    }
  }

  private final LeaderContext context;
  private final EventLoop loop;
  private final KeyValueClient store;
  private final ConclusiveWriter writer;
  private final QueueCore core;
  private final CompressedValues compressedValues;
  private final LongSupplier wallMs;
  private final RateLimiter rateLimiter;
  private final Runnable onRecorded;
  private final List<Slot> slots = new ArrayList<>();
  private boolean writing;
  private boolean leadershipLost;
  private long keysWritten;
  private long batchesWritten;

  /**
   * Creates the repository of a leader.
   *
   * @param nodeWritesPerS total writes per second to the key-value store that this node may make
   * @param wallMs reads the wall clock, in milliseconds
   * @param onRecorded runs after each recorded batch
   */
  public QueueRepository(
      Routine parent,
      LeaderContext context,
      QueueCore core,
      CompressedValues compressedValues,
      double nodeWritesPerS,
      LongSupplier wallMs,
      Runnable onRecorded) {
    super(parent);
    this.context = context;
    this.loop = context.loop();
    this.store = context.store();
    this.writer = new ConclusiveWriter(this, context);
    this.core = core;
    this.compressedValues = compressedValues;
    this.wallMs = wallMs;
    this.onRecorded = onRecorded;
    rateLimiter =
        new RateLimiter(nodeWritesPerS * WRITE_SHARE, nodeWritesPerS * WRITE_SHARE, loop.now());
  }

  /** Returns a summary of the batches recorded, the keys written and the keys in use, for logs. */
  public String writeSummary() {
    return batchesWritten + " batches in " + keysWritten + " changes, " + slots.size() + " keys";
  }

  /** Replays the entries that earlier leaders recorded into the core. */
  public void readInherited(Consumer<ReplayResult> then) {
    store.list(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.QUEUES,
        listing -> {
          if (cancelled() || listing == null) {
            then.accept(ReplayResult.UNAVAILABLE);
            return;
          }
          try {
            replay(listing.entries());
            then.accept(ReplayResult.REPLAYED);
          } catch (InvalidMessageException exception) {
            LOG.error(
                "cannot read queue records: {}; queues are not served", exception.getMessage());
            then.accept(ReplayResult.UNREADABLE);
          }
        });
  }

  private void replay(List<KeyValueClient.KeyValue> entries) throws InvalidMessageException {
    TreeMap<Long, Map<Long, MessageBody>> batches = new TreeMap<>();
    for (KeyValueClient.KeyValue keyValue : entries) {
      long number = keyValue.value().integer(NUMBER);
      slots.add(new Slot(keyValue.key(), number, keyValue.revision()));
      batches
          .computeIfAbsent(number, batchNumber -> new TreeMap<>())
          .put(keyValue.value().integer(INDEX), keyValue.value());
    }
    if (batches.isEmpty()) {
      return;
    }
    long tail = batches.lastEntry().getValue().values().iterator().next().integer(TAIL);
    long expected = tail;
    for (Map.Entry<Long, Map<Long, MessageBody>> batch : batches.tailMap(tail, true).entrySet()) {
      // A missing batch is an error, since the messages in it were confirmed.
      if (batch.getKey() != expected++) {
        throw new InvalidMessageException("batch " + (expected - 1) + " is missing");
      }
      core.replay(batch.getKey(), batch.getValue().size(), decodeEntries(batch));
    }
  }

  private List<Entry> decodeEntries(Map.Entry<Long, Map<Long, MessageBody>> batch)
      throws InvalidMessageException {
    List<String> parts = new ArrayList<>();
    for (MessageBody chunk : batch.getValue().values()) {
      if (chunk.integer(COUNT) != batch.getValue().size()) {
        throw new InvalidMessageException("a part of batch " + batch.getKey() + " is missing");
      }
      parts.add(chunk.text(DATA));
    }
    return EntryCodec.decode(compressedValues.decompress(parts));
  }

  /** Records pending entries, unless a write is in flight or the write rate is used up. */
  public void flush() {
    if (writing || leadershipLost || cancelled() || !core.hasPending()) {
      return;
    }
    int affordable = rateLimiter.available(loop.now());
    if (affordable < 1) {
      return;
    }
    RecordBatch batch =
        core.nextBatch(compressedValues.expectedBytes(affordable), wallMs.getAsLong());
    List<String> parts = compressedValues.compress(EntryCodec.encode(batch.entries()));
    if (parts.size() > compressedValues.maxValuesPerTransaction()) {
      // The batch compresses worse than earlier ones, or the limits were lowered. The next attempt
      // is smaller, and a message that is too large by itself is rejected.
      boolean smaller = core.tooLarge();
      if (!smaller) {
        store
            .limits()
            .warnTooLarge(
                Keys.QUEUES + "*",
                EntryCodec.encode(batch.entries()).length,
                "queue records are blocked until the store accepts larger values or transactions");
      }
      loop.schedule(smaller ? TimeSpan.millis(1) : RETRY_DELAY, this, this::flush);
      return;
    }
    writing = true;
    rateLimiter.forceAcquire(parts.size(), loop.now());
    write(batch, parts, slotsFor(parts.size(), batch));
  }

  private List<Slot> slotsFor(int count, RecordBatch batch) {
    List<Slot> chosen = new ArrayList<>(count);
    for (Slot slot : slots) {
      if (chosen.size() < count && slot.batch < batch.tail()) {
        chosen.add(slot);
      }
    }
    while (chosen.size() < count) {
      Slot slot = new Slot(String.format("%s%06d", Keys.QUEUES, slots.size()), 0, Revision.ABSENT);
      slots.add(slot);
      chosen.add(slot);
    }
    return chosen;
  }

  private void write(RecordBatch batch, List<String> parts, List<Slot> targets) {
    Transaction txn = context.guardedTransaction();
    for (int i = 0; i < targets.size(); i++) {
      txn.guard(targets.get(i).key, targets.get(i).revision)
          .put(
              targets.get(i).key,
              MessageBody.of()
                  .with(NUMBER, batch.number())
                  .with(TERM, context.lease().term().number())
                  .with(TAIL, batch.tail())
                  .with(INDEX, i)
                  .with(COUNT, targets.size())
                  .with(DATA, parts.get(i)));
    }
    writer.write(
        KeyValueClient.RequestPriority.USER,
        new ConclusiveWriter.GuardedKey(targets.get(0).key, targets.get(0).revision),
        txn,
        outcome -> onOutcome(batch, targets, outcome));
  }

  private void onOutcome(RecordBatch batch, List<Slot> targets, ConclusiveWriter.Outcome outcome) {
    if (outcome instanceof ConclusiveWriter.Outcome.Executed executed) {
      onBatchRecorded(batch, targets, executed.revision());
    } else if (outcome instanceof ConclusiveWriter.Outcome.LeadershipLost) {
      leadershipLost = true;
    } else {
      // A permanent rejection has lowered the limits that apply to the next batch.
      writing = false;
      core.notRecorded();
      loop.schedule(RETRY_DELAY, this, this::flush);
    }
  }

  private void onBatchRecorded(RecordBatch batch, List<Slot> targets, Revision revision) {
    for (Slot slot : targets) {
      slot.batch = batch.number();
      slot.revision = revision;
    }
    keysWritten += targets.size();
    batchesWritten++;
    writing = false;
    core.recorded(targets.size(), loop.activeNow(), wallMs.getAsLong());
    onRecorded.run();
  }
}
