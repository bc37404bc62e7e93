package io.saltflow.queues;

import io.saltflow.model.Term;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Accepts or rejects publishes, and confirms them once they are recorded. */
final class PublishHandler {
  /**
   * Maximum size of the properties, which a log entry and a result carry in addition to the body.
   */
  private static final int MAX_PROPERTIES_BYTES = 1024;

  private final QueueContext context;
  private final Messages messages;
  private final Map<QueueId, QueueState> queues;
  private final MessageJobs messageJobs;
  private final Consumer<Message> makeAvailable;
  private final QueueCore.Limits limits;
  private final Term term;
  private boolean accepting = true;

  /**
   * @param makeAvailable receives each recorded message that consumers may take
   */
  PublishHandler(
      QueueContext context,
      Messages messages,
      Map<QueueId, QueueState> queues,
      MessageJobs messageJobs,
      Consumer<Message> makeAvailable,
      QueueCore.Limits limits,
      Term term) {
    this.context = context;
    this.messages = messages;
    this.queues = queues;
    this.messageJobs = messageJobs;
    this.makeAvailable = makeAvailable;
    this.limits = limits;
    this.term = term;
  }

  /** Returns whether entries can be recorded, so that publishes are accepted. */
  boolean accepting() {
    return accepting;
  }

  void setAccepting(boolean accepting) {
    this.accepting = accepting;
  }

  void publish(PendingPublish pendingPublish, PublishRequest request) {
    QueueState queue = queues.get(request.queue());
    String id = request.id();
    if (id != null && isKnown(MessageDigest128.of(request.queue(), id), pendingPublish)) {
      return;
    }
    PublishRejection rejection =
        rejection(queue, request.properties().length, request.body().length);
    if (rejection != null) {
      context.emit(new Effect.Refuse(pendingPublish, rejection));
      return;
    }
    Entry.Kept entry = entry(request, queue.policy);
    Message message = new Message(entry, queue);
    message.pendingPublishes.add(pendingPublish);
    messages.add(message);
    if (!queue.policy.runsAsJobs() || messageJobs.canCreateJob(message)) {
      context.recorder.add(List.of(entry), () -> onRecorded(message), () -> onNotRecorded(message));
    }
  }

  private Entry.Kept entry(PublishRequest request, QueuePolicy policy) {
    MessageNo no = messages.nextNo();
    MessageIdentity identity = identity(request.id(), no, policy);
    return new Entry.Kept(
        no,
        request.queue(),
        identity.text(),
        identity.named(),
        context.wallMs,
        expiry(policy, request.ttlMs()),
        0,
        false,
        request.properties(),
        request.body());
  }

  private MessageIdentity identity(String chosenId, MessageNo no, QueuePolicy policy) {
    if (chosenId == null) {
      return MessageIdentity.assigned(term, no);
    }
    return policy.runsAsJobs()
        ? MessageIdentity.chosenForJob(chosenId)
        : MessageIdentity.chosen(chosenId);
  }

  /**
   * Returns whether a message with this digest was accepted before. In that case the earlier
   * message's record confirms this publish, which is rejected while nothing can be recorded.
   */
  private boolean isKnown(MessageDigest128 digest, PendingPublish pendingPublish) {
    Message known = messages.find(digest);
    if (known != null && known.batch == 0) {
      if (accepting) {
        known.pendingPublishes.add(pendingPublish);
      } else {
        context.emit(new Effect.Refuse(pendingPublish, PublishRejection.NOT_NOW));
      }
      return true;
    }
    if (known != null || messages.isCompleted(digest)) {
      context.emit(new Effect.Confirm(pendingPublish));
      return true;
    }
    return false;
  }

  /** Returns why a publish is rejected, or {@code null} if it is accepted. */
  private PublishRejection rejection(QueueState queue, int propertyBytes, int bodyBytes) {
    if (queue == null) {
      return PublishRejection.NO_SUCH_QUEUE;
    }
    if (queue.policy.internal()) {
      return PublishRejection.INWARD;
    }
    if (!accepting) {
      return PublishRejection.NOT_NOW;
    }
    if (bodyBytes > limits.maxBodyBytes() || propertyBytes > MAX_PROPERTIES_BYTES) {
      return PublishRejection.TOO_LARGE;
    }
    return isFull(queue, propertyBytes + bodyBytes) ? PublishRejection.FULL : null;
  }

  private boolean isFull(QueueState queue, int bytes) {
    // Checks the limit of the results queue here, because a result must always fit later.
    QueueId resultsId = queue.policy.results();
    QueueState results = resultsId == null ? null : queues.get(resultsId);
    long memory = messages.memoryBytes() + bytes + Message.OVERHEAD_BYTES;
    return queue.messages >= queue.policy.maxMessages()
        || memory > limits.maxMemoryBytes()
        || (results != null && results.messages >= results.policy.maxMessages());
  }

  private long expiry(QueuePolicy policy, long ttlMs) {
    long maxTtlMs = policy.timeToLive() == null ? Long.MAX_VALUE : policy.timeToLive().ms();
    long effectiveTtlMs = ttlMs < 0 ? maxTtlMs : Math.min(maxTtlMs, ttlMs);
    return effectiveTtlMs > Long.MAX_VALUE - context.wallMs
        ? Message.NEVER
        : context.wallMs + effectiveTtlMs;
  }

  private void onRecorded(Message message) {
    messages.setBatch(message, context.recorder.batchNumber());
    context.confirm(message);
    if (message.queue.policy.runsAsJobs()) {
      messageJobs.requestAdmission(message);
    } else {
      makeAvailable.accept(message);
    }
  }

  private void onNotRecorded(Message message) {
    context.reject(message);
    messages.remove(message);
  }
}
