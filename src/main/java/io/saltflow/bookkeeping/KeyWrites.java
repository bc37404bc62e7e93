package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.transport.Routine;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Single keys that a leader writes again and again. Each write is guarded by the version that it
 * replaces as well as by the leader's key: one that got no answer and is carried out after a newer
 * one of the same leader fails. One write of a key is under way at a time; after an unclear answer
 * its version is read before the next.
 */
final class KeyWrites extends Routine {
  private static final Span TRY = Span.millis(1500);

  private static final class Known {
    Stamp version = Stamp.ABSENT;
    boolean unclear;
    boolean underWay;
  }

  private final StateClient state;
  private final Supplier<Txn> guarded;
  private final Map<String, Known> keys = new HashMap<>();

  KeyWrites(Routine parent, StateClient state, Supplier<Txn> guarded) {
    super(parent);
    this.state = state;
    this.guarded = guarded;
  }

  /** A key as a former leader left it. */
  void found(String key, Stamp version) {
    keys.computeIfAbsent(key, k -> new Known()).version = version;
  }

  /**
   * @param data null: the key is deleted
   * @param then whether it is certainly written; otherwise it may be tried again later
   */
  void write(String key, Body data, Consumer<Boolean> then) {
    Known known = keys.computeIfAbsent(key, k -> new Known());
    if (known.underWay) {
      then.accept(false);
      return;
    }
    if (data != null && !state.limits().fits(data)) {
      state
          .limits()
          .tooLarge(key, JsonSize.of(data), "it is not written, and goes on without a record");
      then.accept(false);
      return;
    }
    known.underWay = true;
    if (known.unclear) {
      learn(key, known, then);
      return;
    }
    Txn txn = guarded.get().guard(key, known.version);
    state.commit(
        StateClient.Rank.BOOKS,
        data == null ? txn.delete(key) : txn.put(key, data),
        TRY,
        a -> {
          known.underWay = false;
          if (cancelled()) {
            return;
          }
          known.unclear = a.status() == 0 || a.status() == 409;
          if (a.ok() && data == null) {
            keys.remove(key);
          } else if (a.ok()) {
            known.version = new Stamp(a.revision());
          }
          then.accept(a.ok());
        });
  }

  private void learn(String key, Known known, Consumer<Boolean> then) {
    state.get(
        StateClient.Rank.BOOKS,
        key,
        TRY,
        e -> {
          known.underWay = false;
          if (cancelled()) {
            return;
          }
          if (e != null) {
            known.version = e.version();
            known.unclear = false;
          }
          then.accept(false);
        });
  }
}
