package io.saltflow.store;

import io.saltflow.model.AdaptiveRateLimiter;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.RateLimiter;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient.RequestPriority;
import io.saltflow.store.KeyValueClient.StoreResponse;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Delays requests until this node's share of the rates allows them. Requests are sent by priority,
 * and in submission order within a priority; leadership requests never wait. A request that is not
 * sent before its deadline is answered with status 429. Runs on the event loop.
 */
final class RequestScheduler extends Routine {
  private static final TimeSpan DRAIN_INTERVAL = TimeSpan.millis(20);
  private static final TimeSpan MAX_POLL_QUEUE_TIME = TimeSpan.millis(600);

  /** Fraction of the node's request rate that status polls may always use. */
  private static final double MIN_POLL_FRACTION = 0.1;

  /** Fraction of one second's writes that must be available before an optional write is sent. */
  private static final double SPARE_WRITE_FRACTION = 0.75;

  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  /** A node's request rate, and its write rate for a write share of 1. */
  record Rates(double requestsPerSecond, double writesPerSecond) {}

  /** A request and the callback for its response. */
  record StoreRequest(
      RequestPriority priority,
      String method,
      String target,
      MessageBody body,
      int writeCount,
      TimeSpan timeout,
      Consumer<StoreResponse> callback) {}

  private record QueuedRequest(StoreRequest request, MonotonicTime deadline) {}

  private final EventLoop loop;
  private final Rates rates;
  private final StoreLimits limits;
  private final Consumer<StoreRequest> sender;
  private final RateLimiter requestLimiter;

  /** Limits status polls, and reduces their rate when the store rejects requests for its rate. */
  private final AdaptiveRateLimiter pollLimiter;

  private RateLimiter writeLimiter;

  /** Factor by which this node's write rate is multiplied. */
  private double writeShare = 1;

  private final Map<RequestPriority, ArrayDeque<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private boolean drainScheduled;

  /**
   * Creates a scheduler with unused rates.
   *
   * @param sender sends a request immediately
   */
  RequestScheduler(
      Routine parent,
      EventLoop loop,
      Rates rates,
      StoreLimits limits,
      Consumer<StoreRequest> sender) {
    super(parent);
    this.loop = loop;
    this.rates = rates;
    this.limits = limits;
    this.sender = sender;
    double requestsPerSecond = rates.requestsPerSecond();
    double writesPerSecond = rates.writesPerSecond();
    this.requestLimiter = new RateLimiter(requestsPerSecond, requestsPerSecond, loop.now());
    this.pollLimiter =
        new AdaptiveRateLimiter(
            requestsPerSecond * MIN_POLL_FRACTION, requestsPerSecond, loop.now());
    this.writeLimiter = new RateLimiter(writesPerSecond, writesPerSecond, loop.now());
    for (RequestPriority priority : RequestPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  /** Sends a request as soon as its priority and the rates allow it. */
  void submit(StoreRequest request) {
    MonotonicTime now = loop.now();
    if (request.priority() == RequestPriority.LEADERSHIP) {
      requestLimiter.forceAcquire(1, now);
      writeLimiter.forceAcquire(request.writeCount(), now);
      sender.accept(request);
      return;
    }
    queues.get(request.priority()).add(new QueuedRequest(request, now.plus(maxQueueTime(request))));
    drainQueues();
  }

  /** Users wait 2 s for a status poll, so a delayed poll is refused before they give up. */
  private static TimeSpan maxQueueTime(StoreRequest request) {
    boolean poll = request.priority() == RequestPriority.STATUS_POLLS;
    return poll && request.timeout().longerThan(MAX_POLL_QUEUE_TIME)
        ? MAX_POLL_QUEUE_TIME
        : request.timeout();
  }

  /** Counts a request that bypasses this scheduler. */
  void countUnscheduled() {
    requestLimiter.forceAcquire(1, loop.now());
  }

  /** Handles a request that the store rejected for its rate. */
  void onRateLimited() {
    pollLimiter.onRejected(loop.now());
  }

  /** Sets the factor by which this node's write rate is multiplied. */
  void setWriteShare(double factor) {
    writeShare = factor;
    double rate = writeRate(loop.now());
    writeLimiter = new RateLimiter(rate, rate, loop.now());
  }

  private double writeRate(MonotonicTime now) {
    return rates.writesPerSecond() * writeShare * limits.rateFraction(now);
  }

  /** Returns whether a user's write would be sent immediately. */
  boolean canWriteNow() {
    for (RequestPriority priority : List.of(RequestPriority.SAFETY, RequestPriority.USER)) {
      for (QueuedRequest queued : queues.get(priority)) {
        if (queued.request().writeCount() > 0) {
          return false;
        }
      }
    }
    return writeLimiter.canAcquire(1, loop.now());
  }

  /** Returns whether most of the write rate is unused, so that optional writes may be sent. */
  boolean hasSpareWriteCapacity() {
    int spareWrites = (int) Math.ceil(rates.writesPerSecond() * SPARE_WRITE_FRACTION);
    return canWriteNow() && writeLimiter.canAcquire(spareWrites, loop.now());
  }

  /**
   * Sends the requests that the rates allow, by priority and in order. No write is sent while one
   * ahead of it waits for the write rate; otherwise many small transactions would starve a large
   * one.
   */
  private void drainQueues() {
    MonotonicTime now = loop.now();
    writeLimiter.setRate(writeRate(now), now);
    List<StoreRequest> ready = new ArrayList<>();
    List<StoreRequest> expired = new ArrayList<>();
    boolean writesBlocked = false;
    boolean anyQueued = false;
    for (ArrayDeque<QueuedRequest> queue : queues.values()) {
      for (Iterator<QueuedRequest> iterator = queue.iterator(); iterator.hasNext(); ) {
        QueuedRequest queued = iterator.next();
        if (now.after(queued.deadline())) {
          iterator.remove();
          expired.add(queued.request());
        } else if (tryAcquire(queued.request(), writesBlocked, now)) {
          iterator.remove();
          ready.add(queued.request());
        } else {
          writesBlocked |= queued.request().writeCount() > 0;
          anyQueued = true;
        }
      }
    }
    if (anyQueued) {
      scheduleDrain();
    }
    ready.forEach(sender);
    expired.forEach(
        request ->
            request.callback().accept(new StoreResponse(STATUS_TOO_MANY_REQUESTS, null, now)));
  }

  private void scheduleDrain() {
    if (drainScheduled) {
      return;
    }
    drainScheduled = true;
    loop.schedule(
        DRAIN_INTERVAL,
        this,
        () -> {
          drainScheduled = false;
          drainQueues();
        });
  }

  private boolean tryAcquire(StoreRequest request, boolean writesBlocked, MonotonicTime now) {
    int writeCount = request.writeCount();
    if (writeCount > 0) {
      // Background writes leave capacity for writes that users and tasks wait for.
      boolean background = request.priority() == RequestPriority.BACKGROUND;
      int required = background ? writeCount * 2 : writeCount;
      if (writesBlocked || !writeLimiter.canAcquire(required, now)) {
        return false;
      }
    }
    if (request.priority() == RequestPriority.STATUS_POLLS
        && (!requestLimiter.canAcquire(1, now) || !pollLimiter.tryAcquire(now))) {
      return false;
    }
    if (!requestLimiter.tryAcquire(1, now)) {
      return false;
    }
    return writeCount == 0 || writeLimiter.tryAcquire(writeCount, now);
  }
}
