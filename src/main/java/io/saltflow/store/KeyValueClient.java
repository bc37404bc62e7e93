package io.saltflow.store;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.store.RequestScheduler.StoreRequest;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpCaller;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the key-value store for reads, guarded transactions, listings and watches. Limits the
 * requests to this node's share of the rates; leadership requests are exempt. Each callback runs
 * once, on the event loop.
 */
public final class KeyValueClient extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueClient.class);
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final TimeSpan LIST_TIMEOUT = TimeSpan.seconds(3);

  /** Time to wait for the response to a watch beyond the time for which the store holds it. */
  private static final TimeSpan WATCH_GRACE = TimeSpan.seconds(2);

  /** Minimum duration of an outage whose end is logged. */
  private static final TimeSpan MIN_LOGGED_OUTAGE = TimeSpan.seconds(1);

  private static final int STATUS_NONE = 0;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Request priorities, highest first. */
  public enum RequestPriority {
    /** Elections and leases, which never wait for the rates. */
    LEADERSHIP,
    /** Records that must be written before a launch: the machine ledger and the started jobs. */
    SAFETY,
    /** Requests on behalf of users. */
    USER,
    /** Separate records of jobs that were accepted in a submission batch. */
    UNPACKING,
    /** Records that may be delayed. */
    BACKGROUND,
    /** Status polls of jobs, which are numerous and are repeated by the user. */
    STATUS_POLLS
  }

  /**
   * A key as it was read.
   *
   * @param value {@code null} if the key does not exist
   */
  public record KeyValue(String key, MessageBody value, Revision revision) {}

  /**
   * The store's response to a request.
   *
   * @param status HTTP status, or 0 without a response; the request may then still be executed
   * @param body {@code null} if the response has none
   * @param sentAt when the request was sent
   */
  public record StoreResponse(int status, MessageBody body, MonotonicTime sentAt) {
    /** Returns whether the request was executed. */
    public boolean isSuccess() {
      return status == STATUS_OK;
    }

    /** Returns whether the request will always be rejected, regardless of its guards. */
    public boolean isPermanentlyRejected() {
      return status == STATUS_BAD_REQUEST
          && (body == null || !Wire.NO_SUCH_LEASE.equals(body.get(Wire.ERROR)));
    }

    /** Returns whether the request was definitely not executed, regardless of its guards. */
    public boolean isNotExecuted() {
      return status == STATUS_BAD_REQUEST
          || status == STATUS_TOO_MANY_REQUESTS
          || status == STATUS_UNAVAILABLE;
    }

    /**
     * Returns whether the transaction failed because this key did not have the guarded revision.
     */
    public boolean failedGuardOn(String key) {
      return status == STATUS_CONFLICT
          && body != null
          && body.get(Wire.FAILED) instanceof List<?> failed
          && failed.contains(key);
    }

    /**
     * Returns the changes that a watch reports, ordered by revision. The protocol guarantees no
     * order; processing a deletion before the put that preceded it would leave a cancelled job
     * live.
     *
     * @throws InvalidMessageException if the response holds no list of changes
     */
    public List<MessageBody> events() throws InvalidMessageException {
      List<MessageBody> events = new ArrayList<>(body.maps(Wire.EVENTS));
      events.sort(
          Comparator.comparingLong(
              event ->
                  event.get(Wire.VERSION) instanceof Long revision ? revision : Long.MAX_VALUE));
      return events;
    }

    /** Returns the store's revision at the time of the response, or 0 if the response has none. */
    public long revision() {
      return body != null && body.get(Wire.REVISION) instanceof Long revision ? revision : 0;
    }
  }

  /** All keys of a prefix in key order, each read at this revision or a later one. */
  public record PrefixListing(List<KeyValue> entries, long revision) {}

  private final EventLoop loop;
  private final HttpCaller requestCaller;
  private final HttpCaller watchCaller;
  private final StoreLimits limits;
  private final RequestScheduler scheduler;
  private MonotonicTime lastResponseAt;
  private MonotonicTime failingSince = MonotonicTime.NEVER;

  /**
   * Creates a client with unused rates.
   *
   * @param watchCaller sends watches, which occupy a connection for a long time
   * @param requestsPerSecond maximum request rate of this node
   * @param writesPerSecond write rate of this node for a write share of 1
   * @param limits limits of the store, shared by all writers
   */
  public KeyValueClient(
      Routine parent,
      EventLoop loop,
      HttpCaller requestCaller,
      HttpCaller watchCaller,
      double requestsPerSecond,
      double writesPerSecond,
      StoreLimits limits) {
    super(parent);
    this.limits = limits;
    this.loop = loop;
    this.requestCaller = requestCaller;
    this.watchCaller = watchCaller;
    this.scheduler =
        new RequestScheduler(
            this,
            loop,
            new RequestScheduler.Rates(requestsPerSecond, writesPerSecond),
            limits,
            this::send);
    this.lastResponseAt = loop.now();
  }

  /** Returns the known limits of the store, which may change at any time. */
  public StoreLimits limits() {
    return limits;
  }

  /** Returns the time since the store last responded to a request of this node. */
  public TimeSpan timeSinceLastResponse() {
    return loop.now().since(lastResponseAt);
  }

  /** Returns how long requests have been failing, or 0 if the last one succeeded. */
  public TimeSpan outageDuration() {
    return failingSince == MonotonicTime.NEVER ? new TimeSpan(0) : loop.now().since(failingSince);
  }

  /**
   * Sends a request when its priority and the rates allow it.
   *
   * @param body {@code null} for none
   * @param writeCount number of writes that count towards the write rate
   * @param timeout limits the time until the request is sent, and then the time until the response
   * @param callback receives the response, with status 429 if the request was not sent in time
   */
  public void call(
      RequestPriority priority,
      String method,
      String target,
      MessageBody body,
      int writeCount,
      TimeSpan timeout,
      Consumer<StoreResponse> callback) {
    scheduler.submit(
        new StoreRequest(priority, method, target, body, writeCount, timeout, callback));
  }

  /**
   * Multiplies this node's write rate by a factor, since the leader issues most of the writes. The
   * store still rejects writes beyond its own rate.
   */
  public void setWriteShare(double factor) {
    scheduler.setWriteShare(factor);
  }

  /** Returns whether a user's write would be sent immediately. */
  public boolean canWriteNow() {
    return scheduler.canWriteNow();
  }

  /** Returns whether most of the write rate is unused, so that optional writes may be sent. */
  public boolean hasSpareWriteCapacity() {
    return scheduler.hasSpareWriteCapacity();
  }

  private void send(StoreRequest request) {
    requestCaller.call(
        request.method(),
        request.target(),
        request.body() == null ? EMPTY_BODY : MessagePackCodec.encode(request.body()),
        request.timeout(),
        response -> {
          if (response.status() == STATUS_TOO_MANY_REQUESTS && request.writeCount() > 0) {
            limits.onRateLimited(loop.now());
          }
          onResponse(response, request.callback());
        });
  }

  private void onResponse(HttpClient.Answer response, Consumer<StoreResponse> callback) {
    if (response.status() == STATUS_TOO_MANY_REQUESTS) {
      scheduler.onRateLimited();
    }
    trackAvailability(response.status());
    MessageBody body = null;
    if (response.body().length > 0) {
      try {
        body = MessagePackCodec.decode(response.body());
      } catch (InvalidMessageException exception) {
        LOG.error("cannot decode response of key-value store: {}", exception.getMessage());
        callback.accept(new StoreResponse(STATUS_NONE, null, response.sent()));
        return;
      }
    }
    callback.accept(new StoreResponse(response.status(), body, response.sent()));
  }

  private void trackAvailability(int status) {
    if (status != STATUS_NONE && status != STATUS_UNAVAILABLE) {
      if (outageDuration().longerThan(MIN_LOGGED_OUTAGE)) {
        LOG.info("key-value store available again after {} s", outageDuration().toSeconds());
      }
      lastResponseAt = loop.now();
      failingSince = MonotonicTime.NEVER;
    } else if (failingSince == MonotonicTime.NEVER) {
      failingSince = loop.now();
      LOG.info("key-value store unavailable: status {}", status);
    }
  }

  /** Reads a key. The callback receives {@code null} if it could not be read. */
  public void get(
      RequestPriority priority, String key, TimeSpan timeout, Consumer<KeyValue> callback) {
    call(
        priority,
        "GET",
        KeyValueRequests.keyTarget(key),
        null,
        0,
        timeout,
        response -> callback.accept(KeyValueRequests.decodeKey(key, response)));
  }

  /**
   * Commits a transaction. A permanent rejection lowers the assumed limits before the callback
   * runs.
   */
  public void commit(
      RequestPriority priority,
      Transaction transaction,
      TimeSpan timeout,
      Consumer<StoreResponse> callback) {
    call(
        priority,
        "POST",
        Wire.PATH_TRANSACTION,
        transaction.encode(),
        transaction.writeCount(),
        timeout,
        response -> {
          if (response.isPermanentlyRejected()) {
            limits.onPermanentRejection(transaction);
          } else if (response.isSuccess()) {
            limits.onAccepted(transaction);
          }
          callback.accept(response);
        });
  }

  /**
   * Reads all keys of a prefix, page by page. The callback receives {@code null} if a page could
   * not be read.
   */
  public void list(RequestPriority priority, String prefix, Consumer<PrefixListing> callback) {
    listPage(priority, prefix, new PrefixListing(new ArrayList<>(), Long.MAX_VALUE), callback);
  }

  private void listPage(
      RequestPriority priority,
      String prefix,
      PrefixListing listed,
      Consumer<PrefixListing> callback) {
    call(
        priority,
        "GET",
        KeyValueRequests.listTarget(prefix, listed.entries()),
        null,
        0,
        LIST_TIMEOUT,
        response -> {
          if (!response.isSuccess()) {
            callback.accept(null);
            return;
          }
          PrefixListing next;
          boolean truncated;
          try {
            next = KeyValueRequests.appendPage(listed, response);
            truncated = response.body().flagOr(Wire.TRUNCATED, false);
          } catch (InvalidMessageException exception) {
            LOG.error("cannot decode listing of prefix {}: {}", prefix, exception.getMessage());
            callback.accept(null);
            return;
          }
          if (truncated && !next.entries().isEmpty()) {
            listPage(priority, prefix, next, callback);
          } else {
            callback.accept(next);
          }
        });
  }

  /**
   * Waits for changes of a prefix. The response includes all changes up to the time of the request.
   *
   * @param after the revision after which changes are reported
   * @param timeout how long the store holds the request if there are no changes
   */
  public void watch(String prefix, long after, TimeSpan timeout, Consumer<StoreResponse> callback) {
    scheduler.countUnscheduled();
    watchCaller.call(
        "GET",
        KeyValueRequests.watchTarget(prefix, after, timeout),
        EMPTY_BODY,
        timeout.plus(WATCH_GRACE),
        response -> onResponse(response, callback));
  }
}
