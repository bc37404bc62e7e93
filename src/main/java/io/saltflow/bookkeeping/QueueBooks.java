package io.saltflow.bookkeeping;

import io.saltflow.coordination.Authority;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Budget;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.queues.Batch;
import io.saltflow.queues.Entry;
import io.saltflow.queues.EntryCodec;
import io.saltflow.queues.QueueCore;
import io.saltflow.transport.Loop;
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
 * The queues' record in the state service: batches of entries, compressed, in keys that are used
 * over again. The service counts keys written, so a batch holds as much as its keys can take, and
 * no key is ever deleted: each batch says below which number batches are of no more use, and their
 * keys are written over.
 *
 * <p>Each write is guarded by the leader's key and by the version of every key that it replaces.
 */
public final class QueueBooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(QueueBooks.class);
  private static final Span TRY = Span.millis(1500);
  private static final Span AGAIN = Span.millis(200);
  private static final String NUMBER = "b";
  private static final String TERM = "t";
  private static final String TAIL = "f";
  private static final String INDEX = "i";
  private static final String COUNT = "n";
  private static final String DATA = "d";

  /** Of the node's part of the writes, what queues may take. */
  private static final double PART = 0.6;

  /** A key that holds, or held, a chunk of that batch. */
  private static final class Slot {
    final String key;
    long batch;
    Stamp version;

    Slot(String key, long batch, Stamp version) {
      this.key = key;
      this.batch = batch;
      this.version = version;
    }
  }

  private final Loop loop;
  private final StateClient state;
  private final Authority authority;
  private final QueueCore core;
  private final Chunks chunks;
  private final LongSupplier wallMs;
  private final Budget pace;
  private final Runnable onRecorded;
  private final Runnable onDeposed;
  private final List<Slot> slots = new ArrayList<>();
  private boolean writing;
  private boolean deposed;
  private long written;
  private long batches;

  public QueueBooks(
      Routine parent,
      Loop loop,
      StateClient state,
      Authority authority,
      QueueCore core,
      Chunks chunks,
      double nodeWritesPerS,
      LongSupplier wallMs,
      Runnable onRecorded,
      Runnable onDeposed) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.authority = authority;
    this.core = core;
    this.chunks = chunks;
    this.wallMs = wallMs;
    this.onRecorded = onRecorded;
    this.onDeposed = onDeposed;
    pace = new Budget(nodeWritesPerS * PART, nodeWritesPerS * PART, loop.now());
  }

  /** Changes written to the state service, and batches: what the record costs. */
  public String cost() {
    return batches + " batches in " + written + " changes, " + slots.size() + " keys";
  }

  /** Reads what former leaders recorded. False: not now; null: it can't be read at all. */
  public void inherit(Consumer<Boolean> then) {
    state.list(
        StateClient.Rank.LEADERSHIP,
        Keys.QUEUES,
        listing -> {
          if (cancelled() || listing == null) {
            then.accept(false);
            return;
          }
          try {
            replay(listing.entries());
            then.accept(true);
          } catch (BadMessage e) {
            LOG.error("the queues' record: {}; queues are not served", e.getMessage());
            then.accept(null);
          }
        });
  }

  private void replay(List<StateClient.Entry> entries) throws BadMessage {
    TreeMap<Long, Map<Long, Body>> found = new TreeMap<>();
    for (StateClient.Entry e : entries) {
      long number = e.value().integer(NUMBER);
      slots.add(new Slot(e.key(), number, e.version()));
      found.computeIfAbsent(number, n -> new TreeMap<>()).put(e.value().integer(INDEX), e.value());
    }
    if (found.isEmpty()) {
      return;
    }
    long tail = found.lastEntry().getValue().values().iterator().next().integer(TAIL);
    long expected = tail;
    for (Map.Entry<Long, Map<Long, Body>> batch : found.tailMap(tail, true).entrySet()) {
      // What is missing is never taken for absence: messages were confirmed by it.
      if (batch.getKey() != expected++) {
        throw new BadMessage("batch " + (expected - 1) + " is missing");
      }
      core.replay(batch.getKey(), batch.getValue().size(), entriesOf(batch));
    }
  }

  private List<Entry> entriesOf(Map.Entry<Long, Map<Long, Body>> batch) throws BadMessage {
    List<String> parts = new ArrayList<>();
    for (Body b : batch.getValue().values()) {
      if (b.integer(COUNT) != batch.getValue().size()) {
        throw new BadMessage("a part of batch " + batch.getKey() + " is missing");
      }
      parts.add(b.text(DATA));
    }
    return EntryCodec.decode(chunks.join(parts));
  }

  /** Records what is pending, if nothing is under way and the rate allows it. */
  public void flush() {
    if (writing || deposed || cancelled() || !core.hasPending()) {
      return;
    }
    int affordable = pace.whole(loop.now());
    if (affordable < 1) {
      return;
    }
    Batch batch = core.nextBatch(chunks.wantedBytes(affordable), wallMs.getAsLong());
    List<String> parts = chunks.split(EntryCodec.encode(batch.entries()));
    if (parts.size() > chunks.most()) {
      // It packed less well than those before, or the limits were lowered; the next try is of
      // fewer bytes, and what is too large by itself is refused.
      boolean smaller = core.tooLarge();
      if (!smaller) {
        state
            .limits()
            .tooLarge(
                Keys.QUEUES + "*",
                EntryCodec.encode(batch.entries()).length,
                "queues go on when larger values or transactions are taken");
      }
      loop.after(smaller ? Span.millis(1) : AGAIN, this, this::flush);
      return;
    }
    writing = true;
    pace.takeAnyway(parts.size(), loop.now());
    write(batch, parts, slotsFor(parts.size(), batch));
  }

  private List<Slot> slotsFor(int count, Batch batch) {
    List<Slot> out = new ArrayList<>(count);
    for (Slot s : slots) {
      if (out.size() < count && s.batch < batch.tail()) {
        out.add(s);
      }
    }
    while (out.size() < count) {
      Slot s = new Slot(String.format("%s%06d", Keys.QUEUES, slots.size()), 0, Stamp.ABSENT);
      slots.add(s);
      out.add(s);
    }
    return out;
  }

  private void write(Batch batch, List<String> parts, List<Slot> to) {
    Txn txn = new Txn().guard(Keys.LEADER, authority.stamp());
    for (int i = 0; i < to.size(); i++) {
      txn.guard(to.get(i).key, to.get(i).version)
          .put(
              to.get(i).key,
              Body.of()
                  .with(NUMBER, batch.number())
                  .with(TERM, authority.term().number())
                  .with(TAIL, batch.tail())
                  .with(INDEX, i)
                  .with(COUNT, to.size())
                  .with(DATA, parts.get(i)));
    }
    state.commit(
        StateClient.Rank.USER,
        txn,
        TRY,
        a -> {
          if (cancelled()) {
            return;
          }
          switch (a.status()) {
            case 200 -> recorded(batch, to, new Stamp(a.revision()));
            case 409 -> refused(a, batch, parts, to);
            // It may have been carried out, or may yet be: only the same again is harmless.
            case 0 -> loop.after(AGAIN, this, () -> write(batch, parts, to));
            default -> {
              // What is refused for good has lowered the limits, by which the next is cut.
              writing = false;
              core.notRecorded();
              loop.after(AGAIN, this, this::flush);
            }
          }
        });
  }

  private void recorded(Batch batch, List<Slot> to, Stamp version) {
    for (Slot s : to) {
      s.batch = batch.number();
      s.version = version;
    }
    written += to.size();
    batches++;
    writing = false;
    core.recorded(to.size(), loop.now(), wallMs.getAsLong());
    onRecorded.run();
  }

  /** A guard failed: we lead no more, or an earlier try of the same was carried out after all. */
  private void refused(StateClient.Answer a, Batch batch, List<String> parts, List<Slot> to) {
    if (a.refusedFor(Keys.LEADER)) {
      deposed = true;
      onDeposed.run();
      return;
    }
    state.get(
        StateClient.Rank.USER,
        to.get(0).key,
        TRY,
        e -> {
          if (cancelled()) {
            return;
          }
          if (e == null) {
            loop.after(AGAIN, this, () -> refused(a, batch, parts, to));
          } else if (e.value() != null
              && Long.valueOf(batch.number()).equals(e.value().get(NUMBER))
              && Long.valueOf(authority.term().number()).equals(e.value().get(TERM))) {
            recorded(batch, to, e.version());
          } else {
            // Nobody but a leader writes here, and we lead: this can't be, so nothing is assumed.
            LOG.error("{} does not hold what was written; queues are not served", to.get(0).key);
            deposed = true;
            onDeposed.run();
          }
        });
  }
}
