package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Deterministic core of the leader's work queues. It receives events with their times, and returns
 * batches to record and effects to carry out. It uses no sockets and no clock.
 *
 * <p>Nothing is acknowledged before it is durable. A publish is confirmed, a delivery is sent and a
 * result is made available only after the batch that records it is durable.
 */
public final class QueueCore {
  /** Delivery timeout of a queue that is no longer configured. */
  private static final TimeSpan UNCONFIGURED_DELIVERY_TIMEOUT = TimeSpan.seconds(1800);

  /**
   * Limits on the total memory, the size of a message body, the number and age of completed ids,
   * and the clock skew between nodes.
   */
  public record Limits(
      long maxMemoryBytes,
      int maxBodyBytes,
      int maxCompletedIds,
      TimeSpan completedIdRetention,
      TimeSpan clockSkew) {}

  /** How a consumer settles a delivery. */
  public enum Settlement {
    ACK,
    REJECT,
    REQUEUE
  }

  private final SegmentCleaner cleaner;
  private final Messages messages;
  private final Recorder recorder;
  private final QueueContext context;
  private final Deliveries deliveries;
  private final MessageJobs messageJobs;
  private final Map<QueueId, QueueState> queues = new TreeMap<>();
  private final PublishHandler publishHandler;

  /** Creates a core without messages. The log must be replayed before the core serves clients. */
  public QueueCore(
      Collection<QueuePolicy> policies,
      Limits limits,
      QuotaView quota,
      MessageJobFactory jobs,
      ResultEncoder resultEncoder,
      Term term) {
    policies.forEach(p -> queues.put(p.id(), new QueueState(p)));
    cleaner = new SegmentCleaner();
    messages =
        new Messages(
            cleaner,
            new DeduplicationWindow(
                limits.maxCompletedIds(), limits.completedIdRetention(), cleaner));
    recorder = new Recorder(cleaner, messages);
    context = new QueueContext(recorder);
    MessageCompletion completion =
        new MessageCompletion(context, messages, queues, resultEncoder, this::makeAvailable);
    deliveries = new Deliveries(context, messages, queues, completion, quota, limits.clockSkew());
    messageJobs = new MessageJobs(context, messages, completion, jobs, term);
    publishHandler =
        new PublishHandler(
            context, messages, queues, messageJobs, this::makeAvailable, limits, term);
  }

  /** Returns and clears the effects since the last call. */
  public List<Effect> effects() {
    return context.takeEffects();
  }

  // ---- Replay of the log

  /** Replays one batch of the log, in order and before {@link #begin}. */
  public void replay(long number, int chunks, List<Entry> entries) {
    cleaner.recorded(number, chunks, EntryCodec.size(entries));
    for (Entry entry : entries) {
      if (entry instanceof Entry.Kept kept) {
        replayKept(kept, number);
      } else if (entry instanceof Entry.Started started) {
        replayAttempts(started.no(), started.attempt(), true);
      } else if (entry instanceof Entry.Returned returned) {
        replayAttempts(returned.no(), returned.attempts(), false);
      } else if (entry instanceof Entry.Ended ended) {
        messages.remove(messages.find(ended.no()));
      } else if (entry instanceof Entry.Known known) {
        messages.addCompleted(known.digest(), known.wallMs(), number);
      }
    }
  }

  private void replayKept(Entry.Kept kept, long number) {
    // A queue that is no longer configured keeps its messages until they are consumed.
    QueueState queue =
        queues.computeIfAbsent(
            kept.queue(),
            id ->
                new QueueState(
                    QueuePolicy.internal(id, UNCONFIGURED_DELIVERY_TIMEOUT, Integer.MAX_VALUE)));
    messages.remove(messages.find(kept.no()));
    Message message = new Message(kept, queue);
    messages.add(message);
    messages.setBatch(message, number);
  }

  private void replayAttempts(MessageNo no, int attempts, boolean out) {
    Message message = messages.find(no);
    if (message != null) {
      message.attempts = attempts;
      message.maybeDelivered = out;
    }
  }

  /** Ends the replay of the log. Deliveries of earlier leaders are no longer valid. */
  public void begin(MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    messages.sortCompletedIds();
    messageJobs.resume(messages.all().stream().filter(m -> m.queue.policy.runsAsJobs()).toList());
    for (Message message : messages.all()) {
      if (message.queue.policy.runsAsJobs()) {
        continue;
      }
      if (message.maybeDelivered) {
        deliveries.consumerLost(message, "its consumer was lost with the leader that served it");
      } else {
        deliveries.enqueue(message);
      }
    }
    deliveries.dispatch();
  }

  // ---- Publishing

  /** Publishes a message. An effect answers the publish, either at once or after it is recorded. */
  public void publish(
      PendingPublish pendingPublish, PublishRequest request, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    publishHandler.publish(pendingPublish, request);
  }

  private void makeAvailable(Message message) {
    deliveries.enqueue(message);
  }

  /** Sets whether entries can be recorded. If not, pending publishes are rejected. */
  public void setAccepting(boolean accepting) {
    publishHandler.setAccepting(accepting);
    if (!accepting) {
      recorder.dropPendingPublishes();
      // Publishes in flight may still be recorded. They are rejected as well, because a retry
      // with the same id is answered from the log.
      messages.view().stream().filter(m -> m.batch == 0).forEach(context::reject);
    }
  }

  // ---- Consumers

  /**
   * Adds a consumer with a prefetch limit. Returns whether the queue exists and allows consumers.
   */
  public boolean consume(
      ConsumerId id, QueueId queueId, boolean noAck, int limit, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    boolean added = deliveries.consume(id, queueId, noAck, limit);
    deliveries.dispatch();
    return added;
  }

  /** Cancels a consumer. Its outstanding deliveries may still be settled. */
  public void cancel(ConsumerId id) {
    deliveries.cancel(id);
  }

  /** Sets the prefetch limit that all consumers of a channel share. */
  public void setChannelLimit(
      long session, long channel, int limit, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.setChannelLimit(session, channel, limit);
    deliveries.dispatch();
  }

  /** Pauses or resumes deliveries to a connection. */
  public void setPaused(long session, boolean paused, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.setPaused(session, paused);
    deliveries.dispatch();
  }

  /** Removes a channel's consumers and releases their outstanding deliveries. */
  public void channelClosed(long session, long channel, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.channelClosed(session, channel);
    deliveries.dispatch();
  }

  /**
   * Removes the consumers of all channels of a connection, as {@link #channelClosed} does for one
   * channel.
   */
  public void sessionClosed(long session, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.sessionClosed(session);
    deliveries.dispatch();
  }

  /** Requests one message. The answer is an effect, also if the queue is empty. */
  public void get(
      long session, long channel, QueueId queueId, boolean noAck, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.get(session, channel, queueId, noAck);
  }

  /**
   * Settles a delivery. Returns {@code false} and has no effect if the consumer no longer holds it.
   */
  public boolean settle(DeliveryId id, Settlement settlement, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    boolean settled = deliveries.settle(id, settlement);
    deliveries.dispatch();
    return settled;
  }

  /** Requeues a delivery that could not be sent. The attempt does not count. */
  public void deliveryNotSent(DeliveryId id, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.deliveryNotSent(id);
    deliveries.dispatch();
  }

  // ---- Jobs

  /** Returns the jobs of messages that are not completed. */
  public Map<MessageNo, JobId> jobs() {
    return messageJobs.jobs();
  }

  /** Reports the number of failures of a job that this leader has seen so far. */
  public void jobFailures(MessageNo no, int failuresInTerm, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    messageJobs.jobFailures(no, failuresInTerm);
  }

  /**
   * Completes the message of a job that is done, was cancelled or was never admitted.
   *
   * @param refused the reason why the job was not admitted, or null if it was admitted
   */
  public void jobEnded(
      MessageNo no, boolean done, String refused, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    messageJobs.jobEnded(no, done, refused);
  }

  // ---- Recording, time

  /** Returns whether {@link #nextBatch} would return a batch. */
  public boolean hasPending() {
    return recorder.hasPending();
  }

  /**
   * Returns the next batch to record, of about the given size. Returns {@code null} while a batch
   * is in flight or if there is nothing to record.
   */
  public RecordBatch nextBatch(int maxBytes, long wallMs) {
    if (recorder.hasPending()) {
      messages.expireCompletedIds(wallMs);
    }
    return recorder.next(maxBytes);
  }

  /** Marks the batch in flight as durable. It takes the given number of chunks. */
  public void recorded(int chunks, MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    recorder.recorded(chunks);
    deliveries.dispatch();
  }

  /**
   * Returns the entries of the batch in flight to the queue. The batch must be known never to
   * become durable.
   */
  public void notRecorded() {
    recorder.notRecorded();
    if (!publishHandler.accepting()) {
      recorder.dropPendingPublishes();
    }
  }

  /**
   * Handles a batch in flight that is too large to be recorded. Returns whether recording can
   * continue, either with smaller batches or after the oversized publish was rejected.
   */
  public boolean tooLarge() {
    return recorder.tooLarge();
  }

  /** Handles expired retry delays, times to live and delivery timeouts. */
  public void tick(MonotonicTime time, long wallMs) {
    context.setTime(time, wallMs);
    deliveries.tick();
    deliveries.dispatch();
  }

  // ---- Status

  /** The numbers of waiting messages and of consumers of a queue. */
  public record Status(int waiting, int consumers) {}

  /** Returns the status of a queue, or {@code null} if the queue does not exist. */
  public Status status(QueueId id) {
    QueueState queueState = queues.get(id);
    return queueState == null ? null : new Status(queueState.waiting.size(), queueState.consumers);
  }

  /** Returns the ids of all queues. */
  public Collection<QueueId> queueIds() {
    return queues.keySet();
  }

  /** Returns the quota that the messages of each queue use and request. */
  public List<Demand> demands() {
    List<Demand> out = new ArrayList<>();
    for (QueueState queueState : queues.values()) {
      Demand demand = queueState.demand();
      if (demand != null) {
        out.add(demand);
      }
    }
    return out;
  }

  /** Returns the number of messages that are not completed. */
  public int size() {
    return messages.size();
  }

  /** Returns the estimated memory of these messages in bytes. */
  public long bytes() {
    return messages.memoryBytes();
  }

  /** Returns the number of settlements that arrived too late to have an effect. */
  public long staleSettlements() {
    return deliveries.staleSettlements();
  }

  /** Returns the number of chunks that the log takes. */
  public long usedChunks() {
    return cleaner.usedChunks();
  }
}
