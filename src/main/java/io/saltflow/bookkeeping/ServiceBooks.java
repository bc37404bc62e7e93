package io.saltflow.bookkeeping;

import io.saltflow.coordination.Authority;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The services' records, one key each. Every write is guarded by the leader's key and by the
 * record's own version: two leaders can't both move a roll-out, and nothing is moved twice.
 */
public final class ServiceBooks extends Routine {
  private static final Span TRY = Span.millis(1500);
  private static final Span AGAIN = Span.millis(200);

  /** What became of a write. */
  public enum Result {
    RECORDED,
    /** Certainly not, and never will be. */
    NOT_NOW,
    TOO_LARGE
  }

  private final Loop loop;
  private final StateClient state;
  private final Authority authority;
  private final Runnable onDeposed;
  private final Map<String, Stamp> versions = new HashMap<>();

  public ServiceBooks(
      Routine parent, Loop loop, StateClient state, Authority authority, Runnable onDeposed) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.authority = authority;
    this.onDeposed = onDeposed;
  }

  /** Where a service's record is. */
  public static String keyOf(String name) {
    return Keys.SERVICES + name;
  }

  /** All records by name; null when they can't be read now. */
  public void inherit(Consumer<Map<String, Body>> then) {
    state.list(
        StateClient.Rank.LEADERSHIP,
        Keys.SERVICES,
        listing -> {
          if (cancelled() || listing == null) {
            then.accept(null);
            return;
          }
          Map<String, Body> out = new LinkedHashMap<>();
          for (StateClient.Entry e : listing.entries()) {
            String name = e.key().substring(Keys.SERVICES.length());
            versions.put(name, e.version());
            out.put(name, e.value());
          }
          then.accept(out);
        });
  }

  /**
   * Replaces a record; one write of a name at a time.
   *
   * @param urgent somebody waits for it, or a service is being taken back; else users' writes go
   *     first
   */
  public void write(String name, Body record, boolean urgent, Consumer<Result> then) {
    if (!state.limits().fits(record)) {
      state.limits().tooLarge(keyOf(name), JsonSize.of(record), "the change is refused");
      then.accept(Result.TOO_LARGE);
      return;
    }
    String key = Keys.SERVICES + name;
    Stamp before = versions.getOrDefault(name, Stamp.ABSENT);
    Txn txn = new Txn().guard(Keys.LEADER, authority.stamp()).guard(key, before).put(key, record);
    state.commit(
        urgent ? StateClient.Rank.USER : StateClient.Rank.BOOKS,
        txn,
        TRY,
        a -> {
          if (cancelled()) {
            return;
          }
          if (a.ok()) {
            versions.put(name, new Stamp(a.revision()));
            then.accept(Result.RECORDED);
          } else if (a.status() == 0) {
            // It may have been carried out, or may yet be: only the same again is harmless.
            loop.after(AGAIN, this, () -> write(name, record, urgent, then));
          } else if (a.status() == 409) {
            refused(a, name, then);
          } else {
            boolean tooLarge = a.refusedForGood() && !state.limits().fits(record);
            then.accept(tooLarge ? Result.TOO_LARGE : Result.NOT_NOW);
          }
        });
  }

  /**
   * A guard failed. If it was not the leader's key, the record is newer than this leader knows, and
   * nobody else writes it: an earlier try of the same write was carried out after all.
   */
  private void refused(StateClient.Answer a, String name, Consumer<Result> then) {
    if (a.refusedFor(Keys.LEADER)) {
      onDeposed.run();
      then.accept(Result.NOT_NOW);
      return;
    }
    state.get(
        StateClient.Rank.USER,
        Keys.SERVICES + name,
        TRY,
        e -> {
          if (cancelled()) {
            return;
          }
          if (e == null || e.version().equals(versions.getOrDefault(name, Stamp.ABSENT))) {
            then.accept(Result.NOT_NOW);
          } else {
            versions.put(name, e.version());
            then.accept(Result.RECORDED);
          }
        });
  }
}
