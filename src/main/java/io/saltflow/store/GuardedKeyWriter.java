package io.saltflow.store;

import io.saltflow.model.Revision;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.transport.Routine;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Writes single keys that a leader updates repeatedly. Each write is guarded by the leader key and
 * by the key's own revision (see {@link GuardedKey}). Runs on the event loop.
 */
public final class GuardedKeyWriter extends Routine {
  private static final KeyValueClient.RequestPriority PRIORITY =
      KeyValueClient.RequestPriority.BACKGROUND;

  private final KeyValueClient client;
  private final Supplier<Transaction> newGuardedTransaction;
  private final Map<String, GuardedKey> keys = new HashMap<>();

  /**
   * Creates a writer that knows no revisions yet.
   *
   * @param newGuardedTransaction creates a transaction that is guarded by the leader key
   */
  public GuardedKeyWriter(
      Routine parent, KeyValueClient client, Supplier<Transaction> newGuardedTransaction) {
    super(parent);
    this.client = client;
    this.newGuardedTransaction = newGuardedTransaction;
  }

  /** Sets the revision of a key that an earlier leader wrote. */
  public void restore(String key, Revision revision) {
    guardedKey(key).restore(revision);
  }

  /**
   * Writes or deletes a key unless a request for it is in flight.
   *
   * <p>A key must not be deleted soon after it was created: a deleted key has the revision of one
   * that never existed, so an unanswered creation that is executed after the deletion succeeds.
   *
   * @param value the value to write, or {@code null} to delete the key
   * @param callback receives whether the write was confirmed; if not, the caller may retry later
   */
  public void write(String key, MessageBody value, Consumer<Boolean> callback) {
    GuardedKey guardedKey = guardedKey(key);
    if (guardedKey.isInFlight()) {
      callback.accept(false);
    } else if (value != null && !client.limits().fits(value)) {
      client
          .limits()
          .warnTooLarge(key, JsonSize.of(value), "value not written, continuing without a record");
      callback.accept(false);
    } else if (guardedKey.isRevisionUnknown()) {
      readRevision(guardedKey, callback);
    } else {
      commit(guardedKey, value, callback);
    }
  }

  private GuardedKey guardedKey(String key) {
    return keys.computeIfAbsent(key, name -> new GuardedKey(name, Revision.ABSENT));
  }

  private void commit(GuardedKey key, MessageBody value, Consumer<Boolean> callback) {
    Transaction transaction = newGuardedTransaction.get();
    key.commit(
        client,
        PRIORITY,
        value == null ? transaction.delete(key.name()) : transaction.put(key.name(), value),
        response -> {
          if (cancelled()) {
            return;
          }
          key.onCommitted(response);
          if (response.isSuccess() && value == null) {
            keys.remove(key.name());
          }
          callback.accept(response.isSuccess());
        });
  }

  private void readRevision(GuardedKey key, Consumer<Boolean> callback) {
    key.readRevision(
        client,
        PRIORITY,
        entry -> {
          if (cancelled()) {
            return;
          }
          key.onRead(entry);
          callback.accept(false);
        });
  }
}
