package io.saltflow.records;

import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores the records of services, one key each. Every write is guarded by the leader key and by the
 * revision of the record, so two leaders cannot both advance a rollout and no step is taken twice.
 */
public final class ServiceRepository extends Routine {
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(200);

  /** The result of a write. */
  public enum WriteResult {
    RECORDED,
    /** The record was not written and will not be written later. */
    NOT_WRITTEN,
    TOO_LARGE
  }

  private final EventLoop loop;
  private final KeyValueClient store;
  private final LeaderContext context;
  private final Map<String, Revision> revisions = new HashMap<>();

  /** Creates the repository of a leader. */
  public ServiceRepository(Routine parent, LeaderContext context) {
    super(parent);
    this.context = context;
    this.loop = context.loop();
    this.store = context.store();
  }

  /** Returns the key of a service's record. */
  public static String recordKey(String name) {
    return Keys.SERVICES + name;
  }

  /**
   * Reads the records of all services.
   *
   * @param then receives the records by service name, or {@code null} if the key-value store does
   *     not answer
   */
  public void readInherited(Consumer<Map<String, MessageBody>> then) {
    store.list(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.SERVICES,
        listing -> {
          if (cancelled() || listing == null) {
            then.accept(null);
            return;
          }
          Map<String, MessageBody> records = new LinkedHashMap<>();
          for (KeyValueClient.KeyValue keyValue : listing.entries()) {
            String name = keyValue.key().substring(Keys.SERVICES.length());
            revisions.put(name, keyValue.revision());
            records.put(name, keyValue.value());
          }
          then.accept(records);
        });
  }

  /**
   * Replaces the record of a service. At most one write per service may be in flight.
   *
   * @param urgent whether the write has the priority of users' writes, because a client waits for
   *     it or a rollout is being rolled back
   */
  public void write(String name, MessageBody record, boolean urgent, Consumer<WriteResult> then) {
    if (!store.limits().fits(record)) {
      store.limits().warnTooLarge(recordKey(name), JsonSize.of(record), "the change is rejected");
      then.accept(WriteResult.TOO_LARGE);
      return;
    }
    String key = Keys.SERVICES + name;
    Revision expected = revisions.getOrDefault(name, Revision.ABSENT);
    Transaction txn = context.guardedTransaction().guard(key, expected).put(key, record);
    store.commit(
        urgent ? KeyValueClient.RequestPriority.USER : KeyValueClient.RequestPriority.BACKGROUND,
        txn,
        REQUEST_TIMEOUT,
        answer -> {
          if (cancelled()) {
            return;
          }
          if (answer.isSuccess()) {
            revisions.put(name, new Revision(answer.revision()));
            then.accept(WriteResult.RECORDED);
          } else if (answer.status() == 0) {
            // The write may have been or may yet be carried out, so only the same write is safe to
            // retry.
            loop.schedule(RETRY_DELAY, this, () -> write(name, record, urgent, then));
          } else if (answer.status() == 409) {
            onRefused(answer, name, then);
          } else {
            boolean tooLarge = answer.isPermanentlyRejected() && !store.limits().fits(record);
            then.accept(tooLarge ? WriteResult.TOO_LARGE : WriteResult.NOT_WRITTEN);
          }
        });
  }

  /**
   * Handles a failed guard. If the leader key is unchanged, the record has a newer revision than
   * this leader knows. As only the leader writes it, an earlier attempt of the same write was
   * carried out.
   */
  private void onRefused(
      KeyValueClient.StoreResponse answer, String name, Consumer<WriteResult> then) {
    if (answer.failedGuardOn(Keys.LEADER)) {
      context.onLeadershipLost().run();
      then.accept(WriteResult.NOT_WRITTEN);
      return;
    }
    store.get(
        KeyValueClient.RequestPriority.USER,
        Keys.SERVICES + name,
        REQUEST_TIMEOUT,
        keyValue -> {
          if (cancelled()) {
            return;
          }
          if (keyValue == null
              || keyValue.revision().equals(revisions.getOrDefault(name, Revision.ABSENT))) {
            then.accept(WriteResult.NOT_WRITTEN);
          } else {
            revisions.put(name, keyValue.revision());
            then.accept(WriteResult.RECORDED);
          }
        });
  }
}
