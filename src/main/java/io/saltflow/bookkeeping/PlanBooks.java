package io.saltflow.bookkeeping;

import io.saltflow.coordination.Decided;
import io.saltflow.deadlines.Morning;
import io.saltflow.lanes.Basis;
import io.saltflow.packing.Kept;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader decides beside launches, under {@code plan/}: written under its key, read at once
 * by its successor. Former builds never look there. What can't be read costs order or time, never a
 * job: it is said and left out.
 */
public final class PlanBooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(PlanBooks.class);
  private static final Span TRY = Span.millis(1500);

  /**
   * What former leaders decided.
   *
   * @param basis null: nothing was recorded
   * @param moved what operators did with jobs
   * @param versions of the keys that leaders write
   * @param at from when on changes are to be watched
   */
  public record Plans(
      List<Kept> moves,
      Basis basis,
      List<Morning> mornings,
      List<StateClient.Entry> moved,
      Map<String, Stamp> versions,
      long at) {}

  private final StateClient state;
  private final Supplier<Txn> guarded;
  private final Supplier<Time> now;
  private final KeyWrites writes;
  private Decided decided;

  PlanBooks(Routine parent, StateClient state, Supplier<Txn> guarded, Supplier<Time> now) {
    super(parent);
    this.state = state;
    this.guarded = guarded;
    this.now = now;
    this.writes = new KeyWrites(this, state, guarded);
  }

  /** What stands under {@link Keys#PLANS}. */
  static Plans read(StateClient.Listing listing) {
    List<Kept> moves = new ArrayList<>();
    List<Morning> mornings = new ArrayList<>();
    List<StateClient.Entry> moved = new ArrayList<>();
    Map<String, Stamp> versions = new HashMap<>();
    Basis basis = null;
    for (StateClient.Entry e : listing.entries()) {
      versions.put(e.key(), e.version());
      try {
        if (e.key().startsWith(Keys.MOVES)) {
          moves.add(MoveBooks.decode(e.key().substring(Keys.MOVES.length()), e.value()));
        } else if (e.key().startsWith(Keys.READY)) {
          mornings.add(ReadyBooks.decode(e.key(), e.value()));
        } else if (e.key().equals(Keys.BASIS)) {
          basis = OrderBooks.decode(e.value());
        } else {
          moved.add(e);
        }
      } catch (BadMessage bad) {
        LOG.error("{} can't be read: {}; it is decided anew", e.key(), bad.getMessage());
      }
    }
    return new Plans(moves, basis, mornings, moved, versions, listing.revision());
  }

  /** A leader goes on with what was decided. */
  void adopt(Plans plans, Decided by) {
    decided = by;
    plans.versions().forEach(writes::found);
    decided.moves(plans.moves(), now.get());
    decided.basis(plans.basis());
    decided.mornings(plans.mornings());
    plans.moved().forEach(e -> planned(e.key(), e.value(), e.version()));
  }

  /** Plans of moves: each is written before its first step, and once more when it has ended. */
  public void moves() {
    for (Kept plan : decided.movesToRecord()) {
      writes.write(
          Keys.MOVES + plan.name(), MoveBooks.encode(plan), ok -> decided.recorded(plan, ok));
    }
    for (String name : decided.movesToForget()) {
      // One that stays for want of an answer is forgotten by a later decided.
      writes.write(
          Keys.MOVES + name, null, ok -> LOG.debug("the plan {} is forgotten: {}", name, ok));
    }
  }

  /**
   * What the order of jobs rests on, when it has changed; operators' moves of jobs that are over.
   */
  public void record() {
    Basis basis = decided.basisToRecord(now.get());
    if (basis != null) {
      Body value = OrderBooks.encode(basis, state.limits());
      writes.write(Keys.BASIS, value, ok -> decided.basisRecorded(basis, ok));
    }
    Morning morning = decided.morningToRecord(now.get());
    if (morning != null) {
      writes.write(
          Keys.READY + morning.name(),
          state.limits().shortened(ReadyBooks.encode(morning), ReadyBooks.DETAILS),
          ok -> decided.morningRecorded(morning, ok));
    }
    for (String name : decided.morningsToForget()) {
      writes.write(
          Keys.READY + name, null, ok -> LOG.debug("the morning {} is forgotten: {}", name, ok));
    }
    List<JobId> over = decided.movedAndOver(now.get());
    if (!over.isEmpty()) {
      List<JobId> some = over.subList(0, Math.min(state.limits().operations(), over.size()));
      Txn txn = guarded.get();
      some.forEach(id -> txn.delete(Keys.moved(id)));
      state.commit(
          StateClient.Rank.BOOKS,
          txn,
          TRY,
          a -> {
            if (!cancelled()) {
              decided.forgotten(some, a.ok());
            }
          });
    }
  }

  /** A change beneath {@link Keys#PLANS}, which operators write to as well. */
  private void planned(String key, Body value, Stamp version) {
    if (key.startsWith(Keys.MOVED) && JobId.valid(key.substring(Keys.MOVED.length()))) {
      JobId id = new JobId(key.substring(Keys.MOVED.length()));
      decided.moved(id, OrderBooks.decode(value, version));
    }
  }

  /** Waits for what operators decide. */
  public void watch(long after, Span hold, LongConsumer then) {
    state.watch(
        Keys.MOVED,
        after,
        hold,
        a -> {
          if (cancelled()) {
            return;
          }
          try {
            for (Body event : a.ok() ? a.events() : List.<Body>of()) {
              String key = event.textOr(Wire.PUT, null);
              if (key != null) {
                planned(key, event.map(Wire.VALUE), new Stamp(event.integer(Wire.VERSION)));
              }
            }
          } catch (BadMessage bad) {
            LOG.error("watch of {}: {}", Keys.MOVED, bad.getMessage());
          }
          // What was missed because the service no longer keeps it is read at the next election.
          then.accept(a.ok() ? Math.max(after, a.revision()) : a.status() == 410 ? -1 : after);
        });
  }
}
