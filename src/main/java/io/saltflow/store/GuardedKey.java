package io.saltflow.store;

import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient.KeyValue;
import io.saltflow.store.KeyValueClient.RequestPriority;
import io.saltflow.store.KeyValueClient.StoreResponse;
import java.util.function.Consumer;

/**
 * A key that one leader writes repeatedly. Each write is guarded by the revision that it replaces,
 * so a delayed write whose response was lost fails if a later one was executed first. At most one
 * request for the key is in flight. After an indefinite response the revision must be read before
 * the next write. Runs on the event loop.
 */
final class GuardedKey {
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final int STATUS_CONFLICT = 409;

  private final String name;
  private Revision revision;
  private boolean revisionUnknown;
  private boolean inFlight;

  /**
   * Creates a key with a known revision.
   *
   * @param revision {@link Revision#ABSENT} if the key does not exist
   */
  GuardedKey(String name, Revision revision) {
    this.name = name;
    this.revision = revision;
  }

  String name() {
    return name;
  }

  /** Returns the revision that the next write replaces. */
  Revision revision() {
    return revision;
  }

  /** Sets the revision that another component has read. */
  void restore(Revision readRevision) {
    revision = readRevision;
  }

  /** Returns whether a request for the key is in flight. */
  boolean isInFlight() {
    return inFlight;
  }

  /** Returns whether the revision must be read before the next write. */
  boolean isRevisionUnknown() {
    return revisionUnknown;
  }

  /**
   * Commits a transaction that writes this key, guarded by its revision.
   *
   * @param callback must pass the response to {@link #onCommitted}, unless the caller was cancelled
   */
  void commit(
      KeyValueClient client,
      RequestPriority priority,
      Transaction transaction,
      Consumer<StoreResponse> callback) {
    inFlight = true;
    client.commit(
        priority,
        transaction.guard(name, revision),
        REQUEST_TIMEOUT,
        response -> {
          inFlight = false;
          callback.accept(response);
        });
  }

  /** Updates the key's revision from the response to a commit. */
  void onCommitted(StoreResponse response) {
    revisionUnknown = response.status() == 0 || response.status() == STATUS_CONFLICT;
    if (response.isSuccess()) {
      revision = new Revision(response.revision());
    }
  }

  /**
   * Reads the key after a write without a definite response, which may have been executed or may
   * still be.
   *
   * @param callback must pass the entry, or {@code null} if the read failed, to {@link #onRead},
   *     unless the caller was cancelled
   */
  void readRevision(KeyValueClient client, RequestPriority priority, Consumer<KeyValue> callback) {
    inFlight = true;
    client.get(
        priority,
        name,
        REQUEST_TIMEOUT,
        entry -> {
          inFlight = false;
          callback.accept(entry);
        });
  }

  /**
   * Updates the revision after a read.
   *
   * @param entry {@code null} if the read failed
   */
  void onRead(KeyValue entry) {
    if (entry != null) {
      revision = entry.revision();
      revisionUnknown = false;
    }
  }
}
