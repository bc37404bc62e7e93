package io.saltflow.records;

import io.saltflow.model.Revision;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
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
  /** The result of a write. */
  public enum WriteResult {
    RECORDED,
    /** The record was not written and will not be written later. */
    NOT_WRITTEN,
    TOO_LARGE,
    /** This node no longer leads, and does not know whether the record was written. */
    LEADERSHIP_LOST
  }

  private final KeyValueClient store;
  private final LeaderContext context;
  private final ConclusiveWriter writer;
  private final Map<String, Revision> revisions = new HashMap<>();

  /** Creates the repository of a leader. */
  public ServiceRepository(Routine parent, LeaderContext context) {
    super(parent);
    this.context = context;
    this.store = context.store();
    this.writer = new ConclusiveWriter(this, context);
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
    String key = recordKey(name);
    Revision replaced = revisions.getOrDefault(name, Revision.ABSENT);
    writer.write(
        urgent ? KeyValueClient.RequestPriority.USER : KeyValueClient.RequestPriority.BACKGROUND,
        new ConclusiveWriter.GuardedKey(key, replaced),
        context.guardedTransaction().guard(key, replaced).put(key, record),
        outcome -> then.accept(resultOf(outcome, name, record)));
  }

  private WriteResult resultOf(ConclusiveWriter.Outcome outcome, String name, MessageBody record) {
    if (outcome instanceof ConclusiveWriter.Outcome.Executed executed) {
      revisions.put(name, executed.revision());
      return WriteResult.RECORDED;
    }
    if (outcome instanceof ConclusiveWriter.Outcome.NotExecuted rejected) {
      boolean tooLarge =
          rejected.response().isPermanentlyRejected() && !store.limits().fits(record);
      return tooLarge ? WriteResult.TOO_LARGE : WriteResult.NOT_WRITTEN;
    }
    return WriteResult.LEADERSHIP_LOST;
  }
}
