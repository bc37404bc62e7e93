package io.saltflow.emulator;

import io.saltflow.kv.CommitPipeline;
import io.saltflow.kv.KeyValueCore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kv.KeyValueStore;
import io.saltflow.kv.Reply;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.MonotonicTime;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * In-memory key-value store for tests and benchmarks, based on the production core, with a
 * synchronous journal and outages on demand. Its methods execute the requests of the key-value
 * store's protocol directly.
 */
public final class EmulatedKeyValueStore {
  /** Makes changes durable before their requests are answered. */
  public interface Journal {
    /** Appends changes and returns once they are durable. */
    void append(List<WriteBatch> batches) throws IOException;
  }

  private final KeyValueCore core;
  private final Journal journal;
  private MonotonicTime now;

  /** Creates an empty store with the given limits. */
  public EmulatedKeyValueStore(KeyValueLimits limits, Journal journal, MonotonicTime now) {
    core = new KeyValueCore(limits, now);
    this.journal = journal;
    this.now = now;
  }

  /**
   * Returns the core, for a server that calls it directly and calls {@link #flush} after each
   * request.
   */
  public KeyValueCore core() {
    return core;
  }

  /** Makes pending changes durable and answers their requests. */
  public void flush(MonotonicTime at) {
    now = at;
    List<WriteBatch> batches = core.nextGroup();
    if (batches.isEmpty()) {
      return;
    }
    try {
      journal.append(batches);
      core.onDurable(now);
    } catch (IOException exception) {
      core.onWriteFailed();
    }
  }

  /** Returns the revision of the last change. */
  public long revision() {
    return core.store().revision();
  }

  /** Returns the value of a key, or {@code null} if the key does not exist. */
  public KeyValueStore.Value value(String key) {
    return core.store().value(key);
  }

  /** Returns the number of keys. */
  public int size() {
    return core.store().size();
  }

  /**
   * Starts or ends an outage. At the end of an outage, every lease gets its full duration again.
   */
  public void setDown(boolean isDown, MonotonicTime at) {
    core.setDown(isDown, at);
  }

  /**
   * Returns the rejection of a request with the given number of writes because of the rate limit or
   * an outage, or {@code null} if the request is accepted.
   */
  public Reply rejection(int writeCount, MonotonicTime at) {
    return core.rejection(writeCount, at);
  }

  /** Returns the reply to a read of a key. */
  public Reply get(String key) {
    return core.store().get(key);
  }

  /** Returns the reply to a request for the page of keys that follows the given key. */
  public Reply list(String prefix, String after, int page) {
    return core.store().list(prefix, after, page);
  }

  /**
   * Returns the reply to a watch, or {@code null} if there is no change yet and {@code evenIfEmpty}
   * is false.
   */
  public Reply changes(String prefix, long after, boolean evenIfEmpty) {
    return core.store().changesSince(prefix, after, evenIfEmpty);
  }

  /** Returns the number of writes that a transaction consumes of the rate limit. */
  public static int writeCount(MessageBody txn) {
    return CommitPipeline.writeCount(txn);
  }

  /** Commits a transaction: applies all of its writes if every guard holds, otherwise none. */
  public Reply commit(MessageBody txn) throws InvalidMessageException {
    Reply[] reply = new Reply[1];
    core.commit(txn, r -> reply[0] = r);
    return flushAndReply(reply);
  }

  /** Grants a lease. */
  public Reply grantLease(MessageBody request, MonotonicTime at) throws InvalidMessageException {
    now = at;
    Reply[] reply = new Reply[1];
    core.grantLease(request, r -> reply[0] = r);
    return flushAndReply(reply);
  }

  /** Renews a lease. */
  public Reply renewLease(long id, MonotonicTime at) {
    Reply[] reply = new Reply[1];
    core.renewLease(id, at, r -> reply[0] = r);
    return flushAndReply(reply);
  }

  /** Releases a lease and deletes its keys. */
  public Reply revokeLease(long id) {
    Reply[] reply = new Reply[1];
    Consumer<Reply> callback = r -> reply[0] = r;
    core.revokeLease(id, callback);
    return flushAndReply(reply);
  }

  private Reply flushAndReply(Reply[] reply) {
    flush(now);
    return reply[0];
  }

  /** Expires leases that were not renewed and deletes the keys attached to them. */
  public void expireLeases(MonotonicTime at) {
    core.expireLeases(at);
    flush(at);
  }
}
